package endpoint

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/result"
)

// The simulation has three zones with one gate each. The offered load is 0.9 of the capacity of
// three zones and 1.35 of that of two.
const (
	simulatedSlots       = 6 // as in fixture
	simulatedServiceTime = 60 * time.Millisecond
	callDeadline         = 500 * time.Millisecond
	callsPerStep         = 0.27
	stepLength           = time.Millisecond
)

// zoneSimulation simulates, in virtual time, a calling daemon and a gate in each zone.
type zoneSimulation struct {
	random  *rand.Rand
	now     time.Duration
	callers []*Set
	gates   map[string]*admission.Gate
	running []*simulatedCall
	// started counts the calls started, by zone. done, refused and refusedAfterQueueing
	// count calls that completed, that found no untried endpoint, and that a gate refused after
	// they had queued.
	started                             map[string]int
	done, refused, refusedAfterQueueing int
}

// simulatedCall is a call in flight.
type simulatedCall struct {
	simulation *zoneSimulation
	caller     *Set
	endpoint   *Endpoint
	tried      Tried
	ticket     *admission.Ticket
	endsAt     time.Duration
}

func newZoneSimulation(names ...string) *zoneSimulation {
	simulation := &zoneSimulation{
		random: rand.New(rand.NewPCG(3, 4)), gates: map[string]*admission.Gate{}, started: map[string]int{},
		callers: make([]*Set, len(names)),
	}
	for _, name := range names {
		simulation.gates[name] = admission.New(0, admission.Config{
			Slots: simulatedSlots, QueueLength: 64, QueueWait: time.Second, KeyWindow: time.Minute, KeyCount: 1 << 10,
		})
	}
	simulation.rebuildSets(names)
	return simulation
}

// rebuildSets rebuilds the endpoint set of each zone's calling daemon with the evacuated zones.
func (z *zoneSimulation) rebuildSets(names []string, evacuated ...string) {
	backends, members := fixture(names...)
	for index, name := range names {
		self := homeWithEvacuated(evacuated...)
		self.Zone = name
		z.callers[index] = Build(z.callers[index], self, backends, members, z.now)
	}
}

func (z *zoneSimulation) run(duration time.Duration) {
	for until := z.now + duration; z.now < until; z.now += stepLength {
		z.endCalls()
		if z.random.Float64() < callsPerStep {
			call := &simulatedCall{simulation: z, caller: z.callers[z.random.IntN(len(z.callers))]}
			call.send()
		}
	}
}

// endCalls ends the calls whose service time has elapsed.
func (z *zoneSimulation) endCalls() {
	ending := z.running
	z.running = nil
	for _, call := range ending {
		if call.endsAt > z.now {
			z.running = append(z.running, call)
			continue
		}
		z.done++
		call.endpoint.End(z.now, Succeeded)
		z.gates[call.endpoint.Zone].Done(z.now, call.ticket, true)
	}
}

// send sends the call to an untried gate or, if there is none, refuses it.
func (c *simulatedCall) send() {
	z := c.simulation
	c.endpoint = c.caller.Choose(z.now, z.random.Uint64(), c.tried)
	if c.endpoint == nil || c.tried.contains(c.endpoint) {
		z.refused++
		return
	}
	c.tried = append(c.tried, c.endpoint)
	c.endpoint.Begin()
	c.ticket = admission.NewTicket(admission.Call{Deadline: z.now + callDeadline}, c)
	if decision := z.gates[c.endpoint.Zone].Admit(z.now, c.ticket); decision.State != admission.StateQueued {
		c.handleDecision(decision)
	}
}

// Settle receives the decision on a call that was queued.
func (c *simulatedCall) Settle(decision admission.Decision) {
	if decision.State == admission.StateRefused {
		c.simulation.refusedAfterQueueing++
	}
	c.handleDecision(decision)
}

func (c *simulatedCall) handleDecision(decision admission.Decision) {
	z := c.simulation
	if decision.State == admission.StateStarted {
		z.started[c.endpoint.Zone]++
		c.endsAt = z.now + simulatedServiceTime
		z.running = append(z.running, c)
		return
	}
	outcome := Overloaded
	if decision.Code == result.ZoneEvacuated {
		outcome = NotAccepting
	}
	c.endpoint.End(z.now, outcome)
	c.send()
}

// One of three zones is evacuated at high load. The other two run at capacity and refuse the
// excess at once, not after queueing. When the zone resumes, no call is refused any more.
func TestOtherZonesStayAtCapacityDuringAnEvacuation(t *testing.T) {
	check := is.New(t)
	names := []string{"a", "b", "c"}
	zones := newZoneSimulation(names...)
	zones.run(5 * time.Second)
	zones.rebuildSets(names, "a")
	zones.gates["a"].Evacuate()
	startedBefore := zones.started["a"]
	zones.run(callDeadline + simulatedServiceTime) // calls queued or running there end
	done, refused, refusedAfterQueueing := zones.done, zones.refused, zones.refusedAfterQueueing
	const measured = 20 * time.Second
	zones.run(measured)
	capacity := 2 * simulatedSlots * int(measured/simulatedServiceTime)
	check.Equal(zones.started["a"], startedBefore)                // no new calls in the evacuated zone
	check.True(zones.done-done > capacity*95/100)                 // the other zones run at capacity
	check.True(zones.refused > refused)                           // the excess is refused
	check.Equal(zones.refusedAfterQueueing, refusedAfterQueueing) // none of it after queueing
	check.True(zones.gates["b"].Load().Queued < 6*simulatedSlots) // calls in the queue meet the deadline
	check.True(zones.gates["c"].Load().Queued < 6*simulatedSlots) // the same here
	zones.rebuildSets(names)
	zones.gates["a"].Resume()
	zones.run(2 * time.Second)
	refused = zones.refused
	zones.run(measured)
	check.Equal(zones.refused, refused)
}
