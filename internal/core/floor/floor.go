// Package floor keeps every proxy of a region from moving back to an older
// version over restarts. A version is stored by a write quorum of the region's
// keepers before it is released to any proxy; a daemon that starts learns its
// floor from a read quorum, or from a fresh read of the platform's head.
// See docs/FLOOR.md for the argument.
package floor
