package calls

import (
	"fmt"
	"time"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/region"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/sim/oracle"
)

// call is one request of a caller.
type call struct {
	id         string
	side       *side
	partner    resource.Partner
	priority   resource.Priority
	repeatable bool
	key        uint64
	// allowed is where it may run by the versions of its side and its gates.
	allowed  region.Set
	deadline time.Duration
	state    *retry.Call
	tried    endpoint.Tried
	attempts int
	// current is the attempt under way; nil between attempts.
	current *attempt
	ended   bool
}

// attempt is one sending of a call to a gate.
type attempt struct {
	world  *world
	call   *call
	number int
	chosen *endpoint.Endpoint
	gate   *gate
	life   *life
	ticket *admission.Ticket
	// holdsSlot is set while the gate counts the attempt as running, reached
	// once the back end was called, cancelled when the caller has gone.
	holdsSlot bool
	reached   bool
	cancelled bool
	run       int
	// sent is set once a byte of the request may have been written.
	sent     bool
	received ending
	// closed is set once the callers' side takes no more of the connection.
	closed bool
}

// ending is how an attempt ended, as it travels back to the callers' side.
type ending struct {
	// answered is set for the back end's own answer, code for a refusal.
	answered bool
	status   int
	code     result.Code
	body     string
	whole    bool
	running  int
	queued   int
}

// Patience of callers and the share of calls that may be repeated.
const (
	shortestTimeout = 300 * time.Millisecond
	longestTimeout  = 12 * time.Second
	attemptsAllowed = 3
)

// send starts a call at a side.
func (w *world) send(s *side) {
	w.nextCall++
	random := w.timeline.Random()
	c := &call{
		id:         fmt.Sprintf("call-%06d", w.nextCall),
		side:       s,
		partner:    [...]resource.Partner{"kameeldoring", "adomako"}[random.IntN(2)],
		priority:   resource.Priority(random.IntN(3)),
		repeatable: random.IntN(3) == 0,
		deadline:   w.now() + w.timeline.Between(shortestTimeout, longestTimeout),
	}
	if random.IntN(4) == 0 {
		c.key = uint64(w.nextCall)
	}
	policy := retry.Policy{
		Repeatable: c.repeatable, Attempts: attemptsAllowed,
		Deadline: c.deadline, NoRetry: random.IntN(6) == 0,
	}
	c.state = retry.NewCall(policy, s.budget)
	w.open[c] = true
	w.oracle.CallSent(c.id, c.repeatable, answerTo(c.id))
	w.keepToRegions(c)
	w.timeline.After(c.deadline-w.now(), func() { w.expire(c) })
	w.try(c)
}

// endpoints are those that a call may be sent to.
func (c *call) endpoints() *endpoint.Set {
	if !c.allowed.Restricted() {
		return c.side.set
	}
	return c.side.set.InRegions(c.allowed)
}

// try makes one attempt of a call.
func (w *world) try(c *call) {
	if c.ended {
		return
	}
	chosen := c.endpoints().Choose(w.now(), w.timeline.Random().Uint64(), c.tried)
	if chosen == nil && c.allowed.Restricted() {
		w.next(c, retry.Outcome{Kind: retry.Refused, Code: result.RegionNotAllowed, Ran: result.RanNo})
		return
	}
	if chosen == nil {
		w.next(c, retry.Outcome{Kind: retry.NoEndpoint})
		return
	}
	chosen.Begin()
	c.tried = append(c.tried, chosen)
	c.attempts++
	a := &attempt{world: w, call: c, number: c.attempts, chosen: chosen, gate: w.gateOf(chosen)}
	c.current = a
	w.connect(a)
}

func (w *world) gateOf(chosen *endpoint.Endpoint) *gate {
	for _, g := range w.gates {
		if g.name() == chosen.Backend {
			return g
		}
	}
	return nil
}

// connectTimeout is how long a connection is waited for, and resetDelay the
// longest until a broken one is noticed.
const (
	connectTimeout = 400 * time.Millisecond
	resetDelay     = 500 * time.Millisecond
)

// connect opens a connection; only then is the request written.
func (w *world) connect(a *attempt) {
	c := a.call
	w.network.SendOnce(c.side.place, a.gate.place, func() {
		a.life = a.gate.life
		w.network.SendOnce(a.gate.place, c.side.place, func() {
			if a.life == nil {
				w.attemptEnded(a, endpoint.Unreachable, retry.Outcome{Kind: retry.NotSent})
				return
			}
			w.write(a)
		})
	})
	// A lost packet shows as the timeout.
	w.timeline.After(connectTimeout, func() {
		if !a.sent {
			w.attemptEnded(a, endpoint.Unreachable, retry.Outcome{Kind: retry.NotSent})
		}
	})
}

// write sends the request over an open connection. From here on it may run.
func (w *world) write(a *attempt) {
	if a.closed {
		return
	}
	a.sent = true
	arrived := false
	sent := w.network.Send(a.call.side.place, a.gate.place, func() {
		if arrived {
			w.again(a)
			return
		}
		arrived = true
		if a.gate.life != a.life {
			w.breakLater(a)
			return
		}
		w.receive(a)
	})
	if !sent {
		w.breakLater(a)
	}
}

// breakLater lets the callers' side notice a broken connection.
func (w *world) breakLater(a *attempt) {
	w.timeline.After(w.timeline.Between(0, resetDelay), func() {
		w.attemptEnded(a, endpoint.Broken, retry.Outcome{Kind: retry.Broken})
	})
}

// arrived takes what a gate sent back.
func (w *world) arrived(a *attempt, end ending) {
	if a.closed {
		return
	}
	a.chosen.ApplyLoadReport(w.now(), endpoint.LoadReport{Running: end.running, Queued: end.queued, Own: -1})
	if !end.answered {
		w.refusedBy(a, end.code)
		return
	}
	a.received = end
	w.attemptEnded(a, endpoint.Succeeded, retry.Outcome{Kind: retry.Answered})
}

// refusedBy takes a gate's refusal.
func (w *world) refusedBy(a *attempt, code result.Code) {
	entry, _ := result.Lookup(code)
	evidence := endpoint.Succeeded
	switch code {
	case result.Draining, result.WrongBackend:
		evidence = endpoint.NotAccepting
	case result.BrokenInFlight, result.DeadlineInFlight:
		evidence = endpoint.Broken
	case result.ConnectFailed:
		evidence = endpoint.Unreachable
	}
	w.attemptEnded(a, evidence, retry.Outcome{Kind: retry.Refused, Code: code, Ran: entry.Ran})
}

// attemptEnded closes an attempt and asks the retry core what follows.
func (w *world) attemptEnded(a *attempt, evidence endpoint.Outcome, outcome retry.Outcome) {
	if a.closed {
		return
	}
	a.closed = true
	a.chosen.End(w.now(), evidence)
	if a.sent && outcome.Kind != retry.Answered && outcome.Kind != retry.Refused {
		w.hangUp(a)
	}
	outcome.Replayable = true
	outcome.Others = a.call.endpoints().HasUntried(w.now(), a.call.tried)
	w.next(a.call, outcome)
}

// hangUp tells the gate that nobody waits any more; the news may be lost.
func (w *world) hangUp(a *attempt) {
	w.network.SendOnce(a.call.side.place, a.gate.place, func() { w.cancel(a) })
}

// next asks the retry core and does as it says.
func (w *world) next(c *call, outcome retry.Outcome) {
	if c.ended {
		return
	}
	a := c.current
	c.current = nil
	step := c.state.NextStep(w.now(), outcome)
	switch step.Action {
	case retry.Send:
		w.timeline.After(step.Wait, func() { w.try(c) })
	case retry.Deliver:
		w.deliver(c, a.received)
	case retry.Refuse:
		w.end(c, oracle.Outcome{Code: step.Code, Ran: step.Ran})
	}
}

// deliver passes an answer on. One that breaks off breaks the caller's
// connection, which the caller sees.
func (w *world) deliver(c *call, received ending) {
	switch {
	case !received.answered:
		// The core delivers where there is nothing: the oracle will object.
		w.end(c, oracle.Outcome{Code: result.OK, Ran: result.RanYes, Body: received.body, Whole: received.whole})
	case received.status == statusUnavailable:
		w.end(c, oracle.Outcome{Code: result.Shed, Ran: result.RanUnknown, Whole: true})
	case !received.whole:
		w.end(c, oracle.Outcome{Code: result.BrokenInFlight, Ran: result.RanUnknown, Body: received.body})
	default:
		w.end(c, oracle.Outcome{Code: result.OK, Ran: result.RanYes, Body: received.body, Whole: true})
	}
}

func (w *world) end(c *call, outcome oracle.Outcome) {
	c.ended = true
	delete(w.open, c)
	w.outcome.Answers["call_"+outcome.Code.Name()]++
	w.oracle.CallEnded(w.now(), c.id, outcome)
}

// expire ends a call at its deadline.
func (w *world) expire(c *call) { w.interrupt(c, retry.Expired, endpoint.Broken) }

// interrupt ends a call under way: at its deadline or as its caller hangs up.
func (w *world) interrupt(c *call, kind retry.OutcomeKind, evidence endpoint.Outcome) {
	if c.ended {
		return
	}
	a := c.current
	switch {
	case a == nil:
		w.next(c, retry.Outcome{Kind: waitingKind(kind)})
	case a.sent:
		w.attemptEnded(a, evidence, retry.Outcome{Kind: kind})
	default:
		w.attemptEnded(a, endpoint.Cancelled, retry.Outcome{Kind: retry.NotSent})
	}
}

// waitingKind is the end of a call that is between two attempts.
func waitingKind(kind retry.OutcomeKind) retry.OutcomeKind {
	if kind == retry.Expired {
		return retry.NotSent
	}
	return kind
}
