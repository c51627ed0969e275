package admission

import (
	"time"

	"github.com/springstack/springstack/internal/result"
)

// SetColdLimit sets the maximum number of calls that start within a window while the back end
// is cold, as computed by warmup.Tolerance.Limit; 0 means no limit.
// uncountedStarts is true if calls may have started before without being counted.
func (g *Gate) SetColdLimit(now time.Duration, limit int, uncountedStarts bool) {
	g.coldLimiter.SetLimit(now, limit, uncountedStarts)
}

// SetColdUntil sets the time until which the back end is cold. Before the first call of
// SetColdUntil the back end counts as cold.
func (g *Gate) SetColdUntil(now, until time.Duration) { g.coldLimiter.SetColdUntil(now, until) }

// ColdWait returns the time for which a call can't start because the back end is cold; 0 if it
// can start now.
func (g *Gate) ColdWait(now time.Duration, ticket *Ticket) time.Duration {
	return g.coldLimiter.Wait(now, ticket.startClass())
}

// SetCallRate sets the number of calls a second that the back end accepts, as it states; 0 means that it
// states none.
func (g *Gate) SetCallRate(now time.Duration, perSecond float64) {
	g.rateLimiter.SetRate(now, perSecond)
}

// CallRate returns the number of calls a second that the back end accepts; 0 means no limit.
func (g *Gate) CallRate() float64 { return g.rateLimiter.Rate() }

// checkStartLimits refuses a call that can't start now because the starts at the back end are limited.
// It counts no start.
func (g *Gate) checkStartLimits(now time.Duration, ticket *Ticket) (Decision, bool) {
	if wait := g.ColdWait(now, ticket); wait > 0 {
		return refused(result.WarmingUp, wait), true
	}
	if wait := g.rateLimiter.Wait(now, ticket.startClass()); wait > 0 {
		return refused(result.BackendLimited, wait), true
	}
	return Decision{}, false
}

// tryStart counts a start within the limits of the back end, or refuses it.
func (g *Gate) tryStart(now time.Duration, ticket *Ticket) (Decision, bool) {
	if wait := g.coldLimiter.TryStart(now, ticket.startClass()); wait > 0 {
		return refused(result.WarmingUp, wait), true
	}
	if wait := g.rateLimiter.TryStart(now, ticket.startClass()); wait > 0 {
		return refused(result.BackendLimited, wait), true
	}
	return Decision{}, false
}

// RefuseEarly refuses a new call, before any other work is done for it, if it can't start because the
// starts at the back end are limited, and reports whether it was refused. The id of a refused attempt
// is recorded as in Admit.
func (g *Gate) RefuseEarly(now time.Duration, ticket *Ticket) (Decision, bool) {
	limited, isRefused := g.checkStartLimits(now, ticket)
	if !isRefused {
		return Decision{}, false
	}
	if decision := register(g.requests, now, ticket.Request); decision.State == StateRefused {
		return decision, true
	}
	return limited, true
}

// TryResend reports whether a started call may be sent to the back end again, and counts the
// repeated sending as another start while starts are limited.
func (g *Gate) TryResend(now time.Duration, ticket *Ticket) bool {
	_, isRefused := g.tryStart(now, ticket)
	return !isRefused
}

// IsColdLimited reports whether starts are limited now because the back end is cold.
func (g *Gate) IsColdLimited(now time.Duration) bool { return g.coldLimiter.IsLimiting(now) }
