// Package floor prevents the proxies of a region from returning to an older
// configuration version after restarts. A version is stored by a write quorum
// of the region's keepers, the daemons chosen to store it, before it is released
// to any proxy. A daemon that starts obtains its version floor, the lowest
// version it may use, from a read quorum of the keepers or from a fresh read of
// the platform's head. The proof is in docs/FLOOR.md.
package floor
