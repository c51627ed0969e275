// Package hosted implements the daemon for a platform that stores the configuration
// itself: an external authority accepts each version before any daemon receives it,
// back ends report their own state, and the machines have no disks. The package
// connects the packages below internal/core to sockets and to the ports of package
// authority. It contains no code for a particular platform.
package hosted
