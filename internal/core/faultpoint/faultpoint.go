// Package faultpoint marks the lines of the cores at which a mutant puts a
// one-line fault. The mutants show that the oracle's checks bite. All points
// are off unless internal/sim/mutant turns one on; a test holds every other
// package to never call Activate, so in the daemon and the operators' client
// nothing can turn a point on, and Active costs one load.
package faultpoint

import "sync/atomic"

// Point names one fault.
type Point uint32

var active atomic.Uint32

// Active reports whether a point is on.
func Active(point Point) bool { return Point(active.Load()) == point }

// Activate turns one point on, in place of any other, for the whole process;
// None turns all off. Only internal/sim/mutant may call it.
func Activate(point Point) { active.Store(uint32(point)) }
