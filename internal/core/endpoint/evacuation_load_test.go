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
	loadSlots    = 6 // as in fixture
	loadService  = 60 * time.Millisecond
	loadDeadline = 500 * time.Millisecond
	loadPerStep  = 0.27
	loadStep     = time.Millisecond
)

// zoneSimulation simulates, in virtual time, a calling daemon and a gate in each zone.
type zoneSimulation struct {
	random  *rand.Rand
	now     time.Duration
	entries []*Set
	gates   map[string]*admission.Gate
	running []*simulatedCall
	// started counts the calls started, by zone. done, refused and refusedLate count those that
	// completed, found no gate, and were refused after they had queued.
	started                    map[string]int
	done, refused, refusedLate int
}

// simulatedCall is a call in flight.
type simulatedCall struct {
	zones  *zoneSimulation
	entry  *Set
	at     *Endpoint
	tried  Tried
	ticket *admission.Ticket
	endsAt time.Duration
}

func newZoneSimulation(names ...string) *zoneSimulation {
	made := &zoneSimulation{
		random: rand.New(rand.NewPCG(3, 4)), gates: map[string]*admission.Gate{}, started: map[string]int{},
		entries: make([]*Set, len(names)),
	}
	for _, name := range names {
		made.gates[name] = admission.New(0, admission.Config{
			Slots: loadSlots, QueueLength: 64, QueueWait: time.Second, KeyWindow: time.Minute, KeyCount: 1 << 10,
		})
	}
	made.build(names)
	return made
}

// build rebuilds the endpoint set of each zone's calling daemon with the evacuated zones.
func (z *zoneSimulation) build(names []string, emptied ...string) {
	backends, members := fixture(names...)
	for index, name := range names {
		self := evacuating(emptied...)
		self.Zone = name
		z.entries[index] = Build(z.entries[index], self, backends, members, z.now)
	}
}

func (z *zoneSimulation) run(duration time.Duration) {
	for until := z.now + duration; z.now < until; z.now += loadStep {
		z.endCalls()
		if z.random.Float64() < loadPerStep {
			call := &simulatedCall{zones: z, entry: z.entries[z.random.IntN(len(z.entries))]}
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
		call.at.End(z.now, Succeeded)
		z.gates[call.at.Zone].Done(z.now, call.ticket, true)
	}
}

// send sends the call to an untried gate or, if there is none, refuses it.
func (c *simulatedCall) send() {
	z := c.zones
	c.at = c.entry.Choose(z.now, z.random.Uint64(), c.tried)
	if c.at == nil || c.tried.contains(c.at) {
		z.refused++
		return
	}
	c.tried = append(c.tried, c.at)
	c.at.Begin()
	c.ticket = admission.NewTicket(admission.Call{Deadline: z.now + loadDeadline}, c)
	if verdict := z.gates[c.at.Zone].Admit(z.now, c.ticket); verdict.State != admission.StateQueued {
		c.settle(verdict)
	}
}

// Settle receives the verdict on a call that was queued.
func (c *simulatedCall) Settle(verdict admission.Decision) {
	if verdict.State == admission.StateRefused {
		c.zones.refusedLate++
	}
	c.settle(verdict)
}

func (c *simulatedCall) settle(verdict admission.Decision) {
	z := c.zones
	if verdict.State == admission.StateStarted {
		z.started[c.at.Zone]++
		c.endsAt = z.now + loadService
		z.running = append(z.running, c)
		return
	}
	evidence := Overloaded
	if verdict.Code == result.ZoneEvacuated {
		evidence = NotAccepting
	}
	c.at.End(z.now, evidence)
	c.send()
}

// One of three zones is evacuated at high load. The other two run at capacity and refuse the
// excess at once, not after queueing. When the zone resumes, no call is refused any more.
func TestOtherZonesStayAtCapacityDuringAnEvacuation(t *testing.T) {
	check := is.New(t)
	names := []string{"a", "b", "c"}
	zones := newZoneSimulation(names...)
	zones.run(5 * time.Second)
	zones.build(names, "a")
	zones.gates["a"].Evacuate()
	startedThere := zones.started["a"]
	zones.run(loadDeadline + loadService) // calls queued or running there end
	done, refused, refusedLate := zones.done, zones.refused, zones.refusedLate
	const measured = 20 * time.Second
	zones.run(measured)
	borne := 2 * loadSlots * int(measured/loadService)
	check.Equal(zones.started["a"], startedThere)            // no new calls in the evacuated zone
	check.True(zones.done-done > borne*95/100)               // the other zones run at capacity
	check.True(zones.refused > refused)                      // the excess is refused
	check.Equal(zones.refusedLate, refusedLate)              // none of it after queueing
	check.True(zones.gates["b"].Load().Queued < 6*loadSlots) // calls in the queue meet the deadline
	check.True(zones.gates["c"].Load().Queued < 6*loadSlots) // the same here
	zones.build(names)
	zones.gates["a"].Resume()
	zones.run(2 * time.Second)
	refused = zones.refused
	zones.run(measured)
	check.Equal(zones.refused, refused)
}
