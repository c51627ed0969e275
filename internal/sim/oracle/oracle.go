// Package oracle judges a run against the invariants I1 to I10. It knows
// nothing of the implementation: it sees what operators submitted and were
// told, what each proxy held and when it served, what each back end ran and
// what each caller got. The simulator and the runs of real processes feed the
// same oracle.
package oracle

import (
	"fmt"
	"time"
)

// Invariant numbers the rules of docs/INVARIANTS.md in their order.
type Invariant int

// The invariants, and liveness, which is judged once faults have stopped.
const (
	NoOlderVersion    Invariant = 1
	NoDangling        Invariant = 2
	WholeOrNothing    Invariant = 3
	OwnWholeAnswer    Invariant = 4
	RefusalIsTrue     Invariant = 5
	AtMostOnce        Invariant = 6
	LeavingTakesNone  Invariant = 7
	PlannedStopIsSoft Invariant = 8
	InForceHolds      Invariant = 9
	Liveness          Invariant = 10
	// KeepsToRegions is I10 of docs/INVARIANTS.md.
	KeepsToRegions Invariant = 11
)

// String returns I1 to I10, or "liveness".
func (i Invariant) String() string {
	switch i {
	case Liveness:
		return "liveness"
	case KeepsToRegions:
		return "I10"
	}
	return fmt.Sprintf("I%d", int(i))
}

// Violation is one broken invariant.
type Violation struct {
	Invariant Invariant
	// At is the virtual time, or the time since the start of a real run.
	At     time.Duration
	Detail string
}

// String returns one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %v: %s", v.Invariant, v.At, v.Detail)
}

// maxViolations bounds what one run records.
const maxViolations = 32

// Oracle collects observations and violations. It is not safe for use by
// several goroutines.
type Oracle struct {
	violations []Violation

	changes  map[string]*change
	files    map[FileName]*fileHistory
	proxies  map[ProxyName]*proxy
	contents map[contentKey]content
	// claimed is the highest version that anyone was told is in force.
	claimed uint64
	// accepted is the highest version that an operator was told of.
	accepted uint64

	calls    map[string]*call
	backends map[string]*backend
	// regions are those of back ends, for the ones that were told.
	regions map[string]string
}

// New returns an oracle that has seen nothing.
func New() *Oracle {
	return &Oracle{
		changes:  map[string]*change{},
		files:    map[FileName]*fileHistory{},
		proxies:  map[ProxyName]*proxy{},
		contents: map[contentKey]content{},
		calls:    map[string]*call{},
		backends: map[string]*backend{},
		regions:  map[string]string{},
	}
}

// Violations returns what was found so far, in order.
func (o *Oracle) Violations() []Violation { return o.violations }

// Accepted returns the highest version that an operator was told of.
func (o *Oracle) Accepted() uint64 { return o.accepted }

func (o *Oracle) violate(at time.Duration, broken Invariant, format string, arguments ...any) {
	if len(o.violations) >= maxViolations {
		return
	}
	detail := fmt.Sprintf(format, arguments...)
	o.violations = append(o.violations, Violation{Invariant: broken, At: at, Detail: detail})
}
