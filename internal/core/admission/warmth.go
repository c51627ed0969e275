package admission

import (
	"time"

	"github.com/springstack/springstack/internal/result"
)

// LimitCold bounds the calls that start in a window (warmup.Terms.Limit) while the back end is
// cold; 0 bounds nothing. Opened says that calls may have started before.
func (g *Gate) SetColdLimit(now time.Duration, limit int, opened bool) {
	g.warmth.SetLimit(now, limit, opened)
}

// SetCold says until when the back end is cold. Until it is first called the back end counts
// as cold.
func (g *Gate) SetColdUntil(now, until time.Duration) { g.warmth.SetColdUntil(now, until) }

// ColdWait is how long a call can't start because the back end is cold; 0 when it can.
func (g *Gate) ColdWait(now time.Duration, ticket *Ticket) time.Duration {
	return g.warmth.Wait(now, ticket.class())
}

// RefuseCold tells whether a call that has come is refused since the back end is cold, before
// anything else is done for it. Its id is remembered then, as by Admit.
func (g *Gate) RefuseIfCold(now time.Duration, ticket *Ticket) (Decision, bool) {
	wait := g.ColdWait(now, ticket)
	if wait == 0 {
		return Decision{}, false
	}
	if verdict := register(g.requests, now, ticket.Request); verdict.State == StateRefused {
		return verdict, true
	}
	return refused(result.WarmingUp, wait), true
}

// StartAgain counts another sending of a started call, and tells whether a cold back end
// bears it.
func (g *Gate) TryResend(now time.Duration, ticket *Ticket) bool {
	return g.warmth.TryStart(now, ticket.class()) == 0
}

// Cold tells whether starts are bounded since the back end is cold.
func (g *Gate) IsColdLimited(now time.Duration) bool { return g.warmth.IsLimiting(now) }
