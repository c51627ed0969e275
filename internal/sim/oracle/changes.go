package oracle

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/result"
)

// FileName names an operators' file as partner/name.
type FileName string

// Change is one operator's change. Every resource of its file carries the
// marker, so that what proxies hold tells which change put it there.
type Change struct {
	// Operation is the operation id; a resend keeps it.
	Operation string
	File      FileName
	Withdraw  bool
	// Marker is unique to the operation; empty for a withdrawal.
	Marker string
	// Declares lists the resources of the file.
	Declares []Declared
	// NeverValid is set when no state can accept the file, MustSucceed when
	// every state must accept it in the end.
	NeverValid  bool
	MustSucceed bool
}

// Declared is one resource that a file declares.
type Declared struct {
	Key string
	// Owner is set for a route: proxies whose scope includes this partner must
	// hold it.
	Owner string
	// Of is set for a back end: proxies that hold this service must hold it.
	Of string
}

// Answer is what an operator was told of one sending of a change.
type Answer struct {
	Code result.Code
	// Version is the accepted version when Code is OK.
	Version uint64
}

// change is the oracle's record of a Change.
type change struct {
	Change
	sent int
	// refused counts the sendings answered with "did not run".
	refused int
	// accepted is the version told with OK; 0 when none was.
	accepted uint64
	held     bool
	seen     bool
}

// impossible reports whether every sending was answered with "did not run".
func (c *change) impossible() bool {
	return c.sent > 0 && c.refused == c.sent
}

// fileHistory is what is known of one file.
type fileHistory struct {
	byMarker map[string]*change
	changes  []*change
	// shown maps a version to the marker that proxies held at it.
	shown map[uint64]string
}

// Submitted records one sending of a change, before it leaves the operator.
func (o *Oracle) Submitted(submitted Change) {
	known, found := o.changes[submitted.Operation]
	if !found {
		known = &change{Change: submitted}
		o.changes[submitted.Operation] = known
		history := o.history(submitted.File)
		history.changes = append(history.changes, known)
		if submitted.Marker != "" {
			history.byMarker[submitted.Marker] = known
		}
	}
	known.sent++
}

// Answered records the answer to one sending. A sending whose answer never
// comes is simply not answered.
func (o *Oracle) Answered(at time.Duration, operation string, answer Answer) {
	known := o.changes[operation]
	if known == nil {
		o.violate(at, OwnWholeAnswer, "answer to operation %s, which nobody sent", operation)
		return
	}
	switch {
	case answer.Code == result.OK:
		o.toldAccepted(at, known, answer.Version)
	case answer.Code == result.Held:
		known.held = true
	default:
		entry, _ := result.Lookup(answer.Code)
		if entry.Ran == result.RanNo {
			known.refused++
		}
		if known.accepted != 0 && decidesChange(answer.Code) {
			o.violate(at, RefusalIsTrue, "operation %s told %s after it was accepted at %d",
				operation, answer.Code.Name(), known.accepted)
		}
		o.toldRefused(at, known, answer.Code)
	}
}

// decidesChange reports whether a refusal speaks of the change itself and not
// of one sending that got nowhere.
func decidesChange(code result.Code) bool {
	switch code {
	case result.RevisionMismatch, result.StillNeeded, result.NameTaken, result.NoSuchFile, result.OperationReused:
		return true
	default:
		return false
	}
}

// Unsucceeded counts the changes that must succeed and were not yet told
// accepted.
func (o *Oracle) Unsucceeded() int {
	count := 0
	for _, known := range o.changes {
		if known.MustSucceed && known.accepted == 0 {
			count++
		}
	}
	return count
}

func (o *Oracle) toldAccepted(at time.Duration, known *change, version uint64) {
	if known.NeverValid {
		o.violate(at, WholeOrNothing, "operation %s accepted although its file is bad", known.Operation)
	}
	if known.accepted != 0 && known.accepted != version {
		o.violate(at, AtMostOnce, "operation %s accepted at %d and again at %d",
			known.Operation, known.accepted, version)
	}
	known.accepted = version
	o.accepted = max(o.accepted, version)
	o.checkShownAfter(at, known, version)
}

// toldRefused checks a refusal against what was seen before it.
func (o *Oracle) toldRefused(at time.Duration, known *change, code result.Code) {
	if known.impossible() && known.seen {
		o.violate(at, RefusalIsTrue, "operation %s told %s after a proxy held it",
			known.Operation, code.Name())
	}
}

// checkShownAfter looks for proxies that held, at the accepted version or
// later, an older change of the same file.
func (o *Oracle) checkShownAfter(at time.Duration, known *change, version uint64) {
	history := o.history(known.File)
	for shownAt, marker := range history.shown {
		if shownAt < version || marker == known.Marker {
			continue
		}
		older := history.byMarker[marker]
		if older != nil && older.accepted != 0 && older.accepted < version {
			o.violate(at, InForceHolds, "version %d shows %s of %s, replaced by %s at %d",
				shownAt, marker, known.File, known.Operation, version)
		}
	}
}

func (o *Oracle) history(file FileName) *fileHistory {
	history, found := o.files[file]
	if !found {
		history = &fileHistory{byMarker: map[string]*change{}, shown: map[uint64]string{}}
		o.files[file] = history
	}
	return history
}

// expectedIn reports whether a holding must have a declared resource.
func (d Declared) expectedIn(holding Holding, present map[string]bool) bool {
	if d.Owner != "" {
		return slices.Contains(holding.Partners, d.Owner)
	}
	return d.Of != "" && present[d.Of]
}

// visibleIn reports whether a holding must show something of a change
// whatever else it holds.
func (c *change) visibleIn(holding Holding) bool {
	return slices.ContainsFunc(c.Declares, func(declared Declared) bool {
		return declared.Owner != "" && slices.Contains(holding.Partners, declared.Owner)
	})
}

// lastAccepted returns the change told accepted at the highest version no
// later than limit; nil when there is none.
func (h *fileHistory) lastAccepted(limit uint64) *change {
	var last *change
	for _, known := range h.changes {
		if known.accepted == 0 || known.accepted > limit {
			continue
		}
		if last == nil || known.accepted > last.accepted {
			last = known
		}
	}
	return last
}
