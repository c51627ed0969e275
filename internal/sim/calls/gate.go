package calls

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/sim/network"
)

// gate is the place of one daemon beside a back end.
type gate struct {
	index int
	place network.Place
	model *backend.Model
	// life is the running daemon; nil while it is dead.
	life        *life
	incarnation protocol.Incarnation
	sequence    uint64
	leaving     bool
	// runs are the attempts that the back end works on.
	runs map[*attempt]bool
}

// life is one life of a gate's daemon.
type life struct {
	admission *admission.Gate
	attempts  map[*attempt]bool
}

func newGate(w *world, index int) *gate {
	g := &gate{
		index: index,
		place: network.Place{Region: w.regionOf(index), Zone: zones[index%len(zones)], Node: index},
		runs:  map[*attempt]bool{},
	}
	g.model = backend.NewModel(backend.Config{
		Slots:        slotCount,
		MeanService:  80 * time.Millisecond,
		Distribution: backend.DistributionLogNormal,
		ShedAbove:    2 * slotCount,
		Seed:         w.timeline.Random().Uint64(),
	}, 0)
	w.oracle.BackendIn(g.name(), g.place.Region)
	w.beginLife(g)
	return g
}

func (w *world) beginLife(g *gate) {
	g.incarnation++
	g.sequence = 1
	g.leaving = false
	g.life = &life{
		admission: admission.New(w.now(), admission.Config{
			Slots: slotCount, QueueLength: queueLength, QueueWait: queueWait,
			KeyWindow: keyWindow, KeyCount: keyCount,
		}),
		attempts: map[*attempt]bool{},
	}
}

func (g *gate) name() string { return backendName(g.index) }

func (g *gate) resource() resource.Backend {
	return resource.Backend{
		Partner: service.Partner, Name: g.name(), Service: service.Name, Address: "10.0.0.1:9000",
		Region: g.place.Region, Zone: g.place.Zone, Slots: slotCount,
	}
}

func (g *gate) member() protocol.Member {
	state := protocol.EndpointReady
	if g.leaving {
		state = protocol.EndpointDraining
	}
	return protocol.Member{
		ID: protocol.NodeID(g.name()), Incarnation: g.incarnation, Sequence: g.sequence,
		State: protocol.MemberAlive, Region: g.place.Region, Zone: g.place.Zone,
		Service: service, Backend: g.name(), Endpoint: state, Slots: slotCount,
	}
}

// receive takes a request that has arrived whole at a gate.
func (w *world) receive(a *attempt) {
	l := a.life
	if a.gate.life != l || l.attempts[a] {
		return
	}
	l.attempts[a] = true
	a.ticket = admission.NewTicket(admission.Call{
		Partner:  a.call.partner,
		Priority: a.call.priority,
		Deadline: a.call.deadline - hopMargin,
		Request:  admission.Fingerprint(a.fingerprint()),
		Key:      admission.Fingerprint(a.call.key),
	}, a)
	w.decide(a, l.admission.Admit(w.now(), a.ticket))
	w.timeline.After(a.call.deadline-hopMargin-w.now(), func() { w.gateDeadline(a) })
}

// hopMargin is by how much a deadline shrinks on the way to the gate, so that
// the gate's word is back in time.
const hopMargin = 20 * time.Millisecond

// again lets a late duplicate of a request reach the gate.
func (w *world) again(a *attempt) {
	duplicate := &attempt{world: w, call: a.call, number: a.number, gate: a.gate, life: a.life, closed: true}
	w.receive(duplicate)
}

func (a *attempt) fingerprint() uint64 {
	return xxhash.Sum64String(a.call.id) + uint64(a.number)
}

// Settle takes the fate of a queued call. The gate is locked meanwhile, so it
// is carried out afterwards.
func (a *attempt) Settle(verdict admission.Decision) {
	a.world.timeline.After(0, func() { a.world.decide(a, verdict) })
}

// decide carries out a verdict of the gate.
func (w *world) decide(a *attempt, verdict admission.Decision) {
	switch verdict.State {
	case admission.StateRefused:
		w.finish(a, ending{code: verdict.Code})
	case admission.StateStarted:
		a.holdsSlot = true
		if a.cancelled {
			w.releaseSlot(a, false)
			return
		}
		const localLatency = 50 * time.Microsecond
		w.timeline.After(localLatency, func() { w.runBackend(a) })
	}
}

// releaseSlot ends a started call at the gate.
func (w *world) releaseSlot(a *attempt, ran bool) {
	if !a.holdsSlot || a.gate.life != a.life {
		return
	}
	a.holdsSlot = false
	a.life.admission.Done(w.now(), a.ticket, ran)
}

// gateDeadline ends a call that is still at the gate at its deadline.
func (w *world) gateDeadline(a *attempt) {
	if !a.life.attempts[a] || a.gate.life != a.life {
		return
	}
	if a.life.admission.Cancel(a.ticket) {
		w.finish(a, ending{code: result.DeadlineBeforeStart})
		return
	}
	w.stopRun(a)
	w.releaseSlot(a, true)
	w.finish(a, ending{code: result.DeadlineInFlight})
}

// cancel withdraws an attempt whose caller has gone.
func (w *world) cancel(a *attempt) {
	if a.ticket == nil || a.gate.life != a.life || !a.life.attempts[a] {
		return
	}
	delete(a.life.attempts, a)
	if a.life.admission.Cancel(a.ticket) {
		return
	}
	a.cancelled = true
	if a.holdsSlot {
		ran := a.reached
		w.stopRun(a)
		w.releaseSlot(a, ran)
	}
}

// finish sends the end of an attempt to its caller's side.
func (w *world) finish(a *attempt, end ending) {
	if a.gate.life != a.life || !a.life.attempts[a] {
		return
	}
	delete(a.life.attempts, a)
	load := a.life.admission.Load()
	end.running, end.queued = load.Running, load.Queued
	sent := w.network.SendOnce(a.gate.place, a.call.side.place, func() { w.arrived(a, end) })
	if !sent {
		w.breakLater(a)
	}
}

// killGate ends a gate's daemon; its connections break.
func (w *world) killGate(g *gate) {
	if g.life == nil {
		return
	}
	old := g.life
	g.life = nil
	for _, a := range sortedAttempts(old.attempts) {
		w.breakLater(a)
	}
	for _, a := range sortedAttempts(g.runs) {
		if w.timeline.Chance(0.5) {
			w.stopRun(a)
		}
	}
}

// bringBack starts what is dead or leaving at a gate's place.
func (w *world) bringBack(g *gate) {
	if g.model.Down() {
		g.model.Restart(w.now())
		w.oracle.BackendReturned(g.name())
	}
	if g.life != nil {
		return
	}
	if g.leaving {
		w.endStop(g)
	}
	w.beginLife(g)
	w.announce(g)
}

// endStop restarts a back end whose gate died while it was leaving.
func (w *world) endStop(g *gate) {
	for _, a := range sortedAttempts(g.runs) {
		w.stopRun(a)
	}
	g.model.Restart(w.now())
	w.oracle.BackendReturned(g.name())
}

// drainPoll is how often a draining gate looks whether it is empty, drainBound
// the longest drain, and lingerLimit bounds how long the platform leaves a
// drained machine running; half of them go at once.
const (
	drainPoll   = 100 * time.Millisecond
	drainBound  = 25 * time.Second
	lingerLimit = 14 * time.Second
)

// drain begins the planned stop of a back end.
func (w *world) drain(g *gate) {
	if g.life == nil || g.leaving {
		return
	}
	g.leaving = true
	g.sequence++
	w.oracle.BackendLeaving(w.now(), g.name())
	g.model.Drain(w.now())
	g.life.admission.Drain()
	w.announce(g)
	drained := g.life
	w.timeline.After(w.timeline.Between(-lingerLimit, lingerLimit), func() { w.awaitDrained(g, drained, w.now()+drainBound) })
}

func (w *world) awaitDrained(g *gate, l *life, limit time.Duration) {
	w.timeline.After(drainPoll, func() {
		if g.life != l {
			return
		}
		if l.admission.Load().Running > 0 && w.now() < limit {
			w.awaitDrained(g, l, limit)
			return
		}
		w.stopPlanned(g)
	})
}

// stopPlanned ends a drained back end and starts it anew a little later.
func (w *world) stopPlanned(g *gate) {
	w.oracle.BackendStopped(w.now(), g.name())
	for _, a := range sortedAttempts(g.runs) {
		w.stopRun(a)
	}
	w.killGate(g)
	g.model.Restart(w.now())
	const downTime = 500 * time.Millisecond
	w.timeline.After(downTime, func() {
		w.oracle.BackendReturned(g.name())
		w.bringBack(g)
	})
}
