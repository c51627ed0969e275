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
	return g.coldLimiter.Wait(now, ticket.coldClass())
}

// RefuseIfCold refuses a new call, before any other work is done for it, if it can't start
// because the back end is cold, and reports whether it was refused. The id of a refused attempt
// is recorded as in Admit.
func (g *Gate) RefuseIfCold(now time.Duration, ticket *Ticket) (Decision, bool) {
	wait := g.ColdWait(now, ticket)
	if wait == 0 {
		return Decision{}, false
	}
	if decision := register(g.requests, now, ticket.Request); decision.State == StateRefused {
		return decision, true
	}
	return refused(result.WarmingUp, wait), true
}

// TryResend reports whether a started call may be sent to the back end again, and counts the
// repeated sending as another start while the back end is cold.
func (g *Gate) TryResend(now time.Duration, ticket *Ticket) bool {
	return g.coldLimiter.TryStart(now, ticket.coldClass()) == 0
}

// IsColdLimited reports whether starts are limited now because the back end is cold.
func (g *Gate) IsColdLimited(now time.Duration) bool { return g.coldLimiter.IsLimiting(now) }
