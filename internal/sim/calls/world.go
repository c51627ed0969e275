// Package calls simulates the path of a request: callers' sides with the
// retry and endpoint cores, gates with the admission core, and emulated back
// ends, over a faulty network on virtual time. The oracle judges I4 to I8.
package calls

import (
	"fmt"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/sim/network"
	"github.com/springstack/springstack/internal/sim/oracle"
	"github.com/springstack/springstack/internal/sim/script"
	"github.com/springstack/springstack/internal/sim/timeline"
)

// Sizes of the simulated deployment.
const (
	backendCount = 6
	sideCount    = 4
	slotCount    = 4
	queueLength  = 12
	queueWait    = 2 * time.Second
	keyWindow    = time.Minute
	keyCount     = 1 << 12
)

// zones are where sides and gates stand, in turn.
var zones = []string{"klein-hall", "eros-hall"}

// regions are those of the deployment. Runs of odd seeds have the first one only; in the others
// each zone is in a region of its own, and some calls are kept to regions.
var regions = [...]string{"windhoek", "swakopmund"}

// service is the one service that is called.
var service = resource.ServiceRef{Partner: "kameeldoring", Name: "plans"}

// world is one run.
type world struct {
	timeline *timeline.Timeline
	network  *network.Network
	oracle   *oracle.Oracle
	gates    []*gate
	// apart says that the zones are in regions of their own.
	apart    bool
	sides    []*side
	nextCall int
	// open are the calls without an answer yet.
	open    map[*call]bool
	outcome script.Outcome
}

// side is the callers' side of one daemon.
type side struct {
	place    network.Place
	locality endpoint.Locality
	set      *endpoint.Set
	budget   *retry.Budget
	members  []protocol.Member
}

func newWorld(seed uint64) *world {
	line := timeline.New(seed)
	w := &world{
		timeline: line,
		network:  network.New(line),
		oracle:   oracle.New(),
		apart:    seed%2 == 0,
		open:     map[*call]bool{},
		outcome:  script.NewOutcome(),
	}
	for index := range backendCount {
		w.gates = append(w.gates, newGate(w, index))
	}
	for index := range sideCount {
		w.addSide(index)
	}
	return w
}

func (w *world) addSide(index int) {
	zone := zones[index%len(zones)]
	region := w.regionOf(index)
	s := &side{
		place:    network.Place{Region: region, Zone: zone, Node: backendCount + index},
		locality: endpoint.Locality{Region: region, Zone: zone},
		budget:   retry.NewBudget(),
	}
	for _, g := range w.gates {
		s.members = append(s.members, g.member())
	}
	w.sides = append(w.sides, s)
	w.rebuild(s)
}

// regionOf is the region of a side or gate.
func (w *world) regionOf(index int) string {
	if !w.apart {
		return regions[0]
	}
	return regions[index%len(zones)]
}

// rebuild gives a side the set of endpoints of its newest member records.
func (w *world) rebuild(s *side) {
	var backends []resource.Backend
	for _, g := range w.gates {
		backends = append(backends, g.resource())
	}
	s.set = endpoint.Build(s.set, s.locality, backends, s.members, w.now())
}

func (w *world) now() time.Duration { return w.timeline.Now() }

// spread limits how long news of a member take to reach a side.
const spread = 2 * time.Second

// announce sends a gate's record to all sides; it reaches each at its own
// time, and not those that are cut off.
func (w *world) announce(g *gate) {
	record := g.member()
	for _, s := range w.sides {
		w.timeline.After(w.timeline.Between(0, spread), func() {
			if w.network.Blocked(g.place, s.place) {
				return
			}
			w.learn(s, record)
		})
	}
}

// learn merges a record as membership does: by incarnation, then sequence.
func (w *world) learn(s *side, record protocol.Member) {
	for index, known := range s.members {
		if known.ID != record.ID {
			continue
		}
		newer := record.Incarnation > known.Incarnation ||
			record.Incarnation == known.Incarnation && record.Sequence > known.Sequence
		if newer {
			s.members[index] = record
			w.rebuild(s)
		}
	}
}

// run lets virtual time pass.
func (w *world) run(duration time.Duration) {
	limit := w.now() + duration
	for w.timeline.Step(limit) {
		w.outcome.Steps++
		if w.failed() {
			return
		}
	}
	w.timeline.AdvanceTo(limit)
}

func (w *world) failed() bool { return len(w.oracle.Violations()) > 0 }

// Bounds of liveness: after the faults every call has its answer by the
// longest deadline, and slots, queues and counts are empty again.
const settleBound = 30 * time.Second

// settle stops all faults and judges that nothing is left behind.
func (w *world) settle() time.Duration {
	if w.failed() {
		return 0
	}
	w.network.Heal()
	w.network.SetFaults(network.Faults{})
	for _, g := range w.gates {
		w.bringBack(g)
	}
	start := w.now()
	w.run(settleBound)
	if w.failed() {
		return w.now() - start
	}
	w.oracle.CallsSettled(w.now())
	for _, g := range w.gates {
		load := g.life.admission.Load()
		w.oracle.Idle(w.now(), g.name(), load.Running, load.Queued)
		w.oracle.Idle(w.now(), g.name()+" back end", g.model.Running(), 0)
	}
	for _, s := range w.sides {
		for _, one := range s.set.All {
			w.oracle.Idle(w.now(), "calls to "+one.Backend, one.Outstanding(), 0)
		}
	}
	return w.now() - start
}

// Run carries out a script and judges liveness at its end.
func Run(drawn script.Script) script.Outcome {
	w := newWorld(drawn.Seed)
	for _, action := range drawn.Actions {
		if w.failed() {
			break
		}
		w.perform(action)
		w.outcome.Performed++
	}
	w.outcome.Settled = w.settle()
	w.outcome.Violations = w.oracle.Violations()
	return w.outcome
}

// Simulation returns the simulation of the path of a request.
func Simulation() script.Simulation {
	return script.Simulation{Name: "calls", Table: Table, Run: Run}
}

func backendName(index int) string { return fmt.Sprintf("plans-%d", index) }
