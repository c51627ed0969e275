package endpoint

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/result"
)

// The load of three zones with a gate each: 0.9 of what the three bear, so 1.35 of two.
const (
	loadSlots    = 6 // as fixture has it
	loadService  = 60 * time.Millisecond
	loadDeadline = 500 * time.Millisecond
	loadPerStep  = 0.27
	loadStep     = time.Millisecond
)

// loadedZones is an entry and a gate in each of three zones, in virtual time.
type loadedZones struct {
	random  *rand.Rand
	now     time.Duration
	entries []*Set
	gates   map[string]*admission.Gate
	running []*loadedCall
	// started counts the calls that began by zone; done, refused and refusedLate those that
	// ended so, the last after they had waited.
	started                    map[string]int
	done, refused, refusedLate int
}

// loadedCall is a call on its way.
type loadedCall struct {
	zones  *loadedZones
	entry  *Set
	at     *Endpoint
	tried  Tried
	ticket *admission.Ticket
	endsAt time.Duration
}

func newLoadedZones(names ...string) *loadedZones {
	made := &loadedZones{
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

// build has each zone's entry know which zones are to be empty.
func (z *loadedZones) build(names []string, emptied ...string) {
	backends, members := fixture(names...)
	for index, name := range names {
		self := evacuating(emptied...)
		self.Zone = name
		z.entries[index] = Build(z.entries[index], self, backends, members, z.now)
	}
}

func (z *loadedZones) run(duration time.Duration) {
	for until := z.now + duration; z.now < until; z.now += loadStep {
		z.endCalls()
		if z.random.Float64() < loadPerStep {
			call := &loadedCall{zones: z, entry: z.entries[z.random.IntN(len(z.entries))]}
			call.send()
		}
	}
}

// endCalls ends the calls that have run for their time.
func (z *loadedZones) endCalls() {
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

// send sends the call to a gate that it has not tried, or refuses it.
func (c *loadedCall) send() {
	z := c.zones
	c.at = c.entry.Choose(z.now, z.random.Uint64(), c.tried)
	if c.at == nil || c.tried.has(c.at) {
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

// Settle is called for a call that has waited.
func (c *loadedCall) Settle(verdict admission.Decision) {
	if verdict.State == admission.StateRefused {
		c.zones.refusedLate++
	}
	c.settle(verdict)
}

func (c *loadedCall) settle(verdict admission.Decision) {
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

// A zone of three is emptied at high load: the other two do all that they can bear and refuse
// the rest at once, and when the zone is taken back nothing is refused any more.
func TestTheOtherZonesBearAnEvacuationAtHighLoad(t *testing.T) {
	check := is.New(t)
	names := []string{"a", "b", "c"}
	zones := newLoadedZones(names...)
	zones.run(5 * time.Second)
	zones.build(names, "a")
	zones.gates["a"].Evacuate()
	startedThere := zones.started["a"]
	zones.run(loadDeadline + loadService) // what waited or ran ends
	done, refused, refusedLate := zones.done, zones.refused, zones.refusedLate
	const measured = 20 * time.Second
	zones.run(measured)
	borne := 2 * loadSlots * int(measured/loadService)
	check.Equal(zones.started["a"], startedThere)            // nothing arrives there
	check.True(zones.done-done > borne*95/100)               // neither of the others falls over
	check.True(zones.refused > refused)                      // the rest is refused,
	check.Equal(zones.refusedLate, refusedLate)              // and at once
	check.True(zones.gates["b"].Load().Queued < 6*loadSlots) // no queue outgrows the deadline
	check.True(zones.gates["c"].Load().Queued < 6*loadSlots) // nor here
	zones.build(names)
	zones.gates["a"].Resume()
	zones.run(2 * time.Second)
	refused = zones.refused
	zones.run(measured)
	check.Equal(zones.refused, refused)
}
