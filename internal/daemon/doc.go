// Package daemon is everything round the core of one springstackd: the shell
// that steps the node and carries out its effects, the life cycle from start
// to drain, and the addresses it listens on. Nothing in it is global, so many
// daemons run in one process.
package daemon
