// Package hosted is the daemon on a platform that holds the configuration
// itself: an external authority has accepted each version before a daemon
// hears of it, back ends report their own state, and no machine has a disk.
// The package wires the product's cores to sockets and to the ports of
// package authority; it knows no platform by name.
package hosted
