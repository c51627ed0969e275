package proxy

import (
	"context"
	"sync/atomic"
)

// AbandonReason is why this daemon ended an attempt that it had sent and that was not
// answered yet.
type AbandonReason int

// The reasons.
const (
	// AbandonedByCaller: the caller has hung up.
	AbandonedByCaller AbandonReason = iota
	// AbandonedAtDeadline: the call's time is over.
	AbandonedAtDeadline
	// AbandonedAtDrainBound: the hard bound of this daemon's drain has passed.
	AbandonedAtDrainBound
	// AbandonedForAnswer: another attempt of the call was answered.
	AbandonedForOtherAnswer
	// AbandonedForRefusal: the call was refused while the attempt was under way.
	AbandonedForCallRefusal
	abandonReasonCount
)

var abandonReasonNames = [abandonReasonCount]string{
	AbandonedByCaller:       "caller_gone",
	AbandonedAtDeadline:     "deadline",
	AbandonedAtDrainBound:   "drain_bound",
	AbandonedForOtherAnswer: "answered_elsewhere",
	AbandonedForCallRefusal: "refused",
}

// String is the reason as logs and metrics name it.
func (r AbandonReason) String() string { return abandonReasonNames[r] }

// abandonTally counts abandoned attempts by reason.
type abandonedCounts [abandonReasonCount]atomic.Uint64

// snapshot is a copy of the counts that are not 0.
func (t *abandonedCounts) snapshot() map[AbandonReason]uint64 {
	counts := map[AbandonReason]uint64{}
	for reason := range t {
		if count := t[reason].Load(); count > 0 {
			counts[AbandonReason(reason)] = count
		}
	}
	return counts
}

// endReason is why the call itself has ended; false while it has not.
func (c *callerCall) endReason() (AbandonReason, bool) {
	switch {
	case context.Cause(c.context) == errDrainBound:
		return AbandonedAtDrainBound, true
	case c.request.Context().Err() != nil:
		return AbandonedByCaller, true
	case c.context.Err() != nil:
		return AbandonedAtDeadline, true
	}
	return 0, false
}

// noteAbandoned counts an attempt that this daemon has ended, and logs what was known of
// its endpoint.
func (c *callerCall) recordAbandoned(tried *attempt, reason AbandonReason) {
	p := c.proxy
	p.counters.abandoned[reason].Add(1)
	p.trace("attempt_abandoned", func() []EventField {
		now := p.config.Clock()
		fields := append(c.identityFields(),
			textField("reason", reason.String()),
			textField("ran_ms", formatMillis(now-tried.sentAt)),
			textField("left_ms", formatMillis(c.deadline-now)),
			p.drainField())
		return append(fields, endpointFields(tried.endpoint, now)...)
	})
}
