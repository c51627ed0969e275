package proxy

import (
	"context"
	"sync/atomic"
)

// AbandonReason is the reason why this daemon ended an attempt that it had sent and that was
// not answered yet.
type AbandonReason int

// The reasons for abandoning an attempt.
const (
	// AbandonedByCaller: the caller closed its connection.
	AbandonedByCaller AbandonReason = iota
	// AbandonedAtDeadline: the call's deadline has passed.
	AbandonedAtDeadline
	// AbandonedAtDrainBound: the deadline of this daemon's drain has passed; see
	// Limits.DrainBound.
	AbandonedAtDrainBound
	// AbandonedForOtherAnswer: another attempt of the call was answered.
	AbandonedForOtherAnswer
	// AbandonedForCallRefusal: the call was refused while the attempt was in progress.
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

// String returns the reason's name in logs and metrics.
func (r AbandonReason) String() string { return abandonReasonNames[r] }

// abandonedCounts counts abandoned attempts by reason.
type abandonedCounts [abandonReasonCount]atomic.Uint64

// snapshot returns a copy of the nonzero counts.
func (c *abandonedCounts) snapshot() map[AbandonReason]uint64 {
	counts := map[AbandonReason]uint64{}
	for reason := range c {
		if count := c[reason].Load(); count > 0 {
			counts[AbandonReason(reason)] = count
		}
	}
	return counts
}

// endReason returns the reason why the call's context has ended; false if it has not.
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

// recordAbandoned counts an abandoned attempt and logs it with the state of its endpoint.
func (c *callerCall) recordAbandoned(abandoned *attempt, reason AbandonReason) {
	p := c.proxy
	p.counters.abandonedAttempts[reason].Add(1)
	p.trace("attempt_abandoned", func() []EventField {
		now := p.config.Clock()
		fields := append(c.identityFields(),
			textField("reason", reason.String()),
			textField("ran_ms", formatMillis(now-abandoned.sentAt)),
			textField("left_ms", formatMillis(c.deadline-now)),
			p.drainField())
		return append(fields, endpointFields(abandoned.endpoint, now)...)
	})
}
