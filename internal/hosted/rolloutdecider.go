package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
	"github.com/springstack/springstack/internal/pause"
)

const (
	// deciderCount is how many daemons follow the orders in the store and decide: the
	// first of all by rank, so that some are left when others end or are refused.
	deciderCount = 3
	// decidePeriod is the time between two steps of a decision: a version that turns bad
	// gets nothing more within some seconds of its 50th bad answer.
	decidePeriod = 300 * time.Millisecond
	// deciderStagger is how much later than the one before it by rank a decider acts, so
	// that usually one alone writes.
	deciderStagger = 700 * time.Millisecond
	// respreadPeriod is the time between two tellings of a stage that all must hear of. A
	// stage lasts some seconds; without it one that was told while its decider was cut off
	// took up to 5 s to reach all (of 1,000 orders 0 to 3 were completed with calls at the
	// old version).
	rebroadcastPeriod = time.Second
	// evidenceLimit bounds the gates of each version that are asked for what they have
	// counted; all stable ones are asked while their last calls are waited for.
	maxEvidenceGates = 12
	// deciderPurpose names the ranking by which deciders are chosen.
	deciderPurpose = "rollout"
)

// rolloutDecider follows the operator's orders in the store where this daemon is one of
// those that do, decides by what gates have counted, and writes the outcome. Several may
// decide at a time: the store takes a status only over the revision that it was decided
// on, and an outcome that was written is never replaced.
type rolloutDecider struct {
	mesh     *mesh
	port     authority.Rollouts
	follower *orderFollower

	mutex  sync.Mutex
	orders map[resource.ServiceRef]*followedOrder
}

// followedOrder is one order as a decider knows it.
type followedOrder struct {
	order   authority.RolloutOrder
	decider *rollout.Decider
	// spreadAt is when all daemons were last told of the present stage again.
	broadcastAt time.Duration
	// dueAt is since when a stage other than the present one is decided on; 0 for not.
	pendingSince time.Duration
	// faultLogged is set once the order's fault has been written.
	faultLogged bool
}

func newRolloutDecider(mesh *mesh, port authority.Rollouts) *rolloutDecider {
	made := &rolloutDecider{mesh: mesh, port: port, orders: map[resource.ServiceRef]*followedOrder{}}
	made.follower = made.newOrderFollower()
	return made
}

// start begins to follow orders, where the settings say that there may be any.
func (d *rolloutDecider) start() {
	if d.mesh.rollouts.exposureShare == 0 || d.port == nil {
		return
	}
	d.mesh.mutex.Lock()
	d.mesh.listRolloutOrders = d.readAndMerge
	d.mesh.mutex.Unlock()
	for _, loop := range []func(){d.follower.run, d.decideLoop} {
		d.mesh.running.Add(1)
		go func() {
			defer d.mesh.running.Done()
			loop()
		}()
	}
}

// decideForever steps the decisions on the orders that are under way.
func (d *rolloutDecider) decideLoop() {
	for pause.For(d.mesh.context, decidePeriod) {
		for _, service := range d.openServices() {
			d.decide(service)
		}
	}
}

// openOrders are the services whose orders have no outcome yet.
func (d *rolloutDecider) openServices() []resource.ServiceRef {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var open []resource.ServiceRef
	for service, known := range d.orders {
		if known.order.Fault == nil && !recordOf(known.order).Stage.Final() {
			open = append(open, service)
		}
	}
	return open
}

// decide makes one step on the order of a service.
func (d *rolloutDecider) decide(service resource.ServiceRef) {
	rank := d.follower.rank()
	if rank >= deciderCount {
		return
	}
	m := d.mesh
	m.mutex.Lock()
	record, found := m.rollouts.orders.Lookup(service)
	elapsed := m.rollouts.orders.Elapsed(m.clock(), service)
	target, stable := m.rolloutGates(record)
	m.mutex.Unlock()
	switch {
	case !found:
		return
	case record.Stage.Final():
		d.rewriteLostOutcome(record, time.Duration(rank+1)*deciderStagger)
		return
	}
	seen := d.collectEvidence(record, target, stable)
	decision, order, due := d.step(record, elapsed, seen, time.Duration(rank)*deciderStagger)
	if due {
		d.writeStatus(order, record, decision)
	}
}

// writeLost writes the outcome of an order again that the store has held and has lost, once that
// has stood for a time.
func (d *rolloutDecider) rewriteLostOutcome(record rollout.Record, stood time.Duration) {
	d.mutex.Lock()
	known, now := d.orders[record.Service], d.mesh.clock()
	if known == nil || recordOf(known.order).Generation != record.Generation || known.order.Status.Stage == record.Stage {
		d.mutex.Unlock()
		return
	}
	if known.pendingSince == 0 {
		known.pendingSince = now
	}
	order, due := known.order, now-known.pendingSince >= stood
	d.mutex.Unlock()
	if due {
		d.writeStatus(order, record, rollout.Decision{Stage: record.Stage, Reason: "the store has lost the outcome"})
	}
}

// step steps the decision on an order, and tells whether it is due to be written over the
// order as it was read: it has stood for a time.
func (d *rolloutDecider) step(
	record rollout.Record, elapsed time.Duration, seen rollout.Observation, stood time.Duration,
) (decision rollout.Decision, order authority.RolloutOrder, due bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.mesh.clock()
	known := d.orders[record.Service]
	d.rebroadcast(known, record, now)
	decision = known.decider.Step(now, record, elapsed, seen)
	if decision.Stage == record.Stage && known.order.Status.Stage == record.Stage {
		known.pendingSince = 0
		return decision, known.order, false
	}
	if known.pendingSince == 0 {
		known.pendingSince = now
	}
	if decision.Stage == rollout.StageHalted {
		d.halt(record, decision.Reason) // nobody needs to agree to less
		decision.Stage = rollout.StageRolledBack
	}
	return decision, known.order, now-known.pendingSince >= stood
}

// respread tells all daemons again of a stage that they should have heard of; the lock is
// held.
func (d *rolloutDecider) rebroadcast(known *followedOrder, record rollout.Record, now time.Duration) {
	if !record.Stage.IsUrgent() || now-known.broadcastAt < rebroadcastPeriod {
		return
	}
	known.broadcastAt = now
	d.mesh.mutex.Lock()
	defer d.mesh.mutex.Unlock()
	d.mesh.broadcastOrders()
}

// halt ends the calls to the target version on all daemons.
func (d *rolloutDecider) halt(record rollout.Record, reason string) {
	m := d.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record.Stage = rollout.StageHalted
	record.Elapsed = m.rollouts.orders.Elapsed(m.clock(), record.Service)
	if m.mergeRollouts([]rollout.Record{record}) {
		m.events.event("rollout_decided", field("service", record.Service.Name), field("target", record.Target),
			field("stage", record.Stage.String()), field("reason", reason))
		m.broadcastOrders()
	}
}

// write writes a stage into the store over an order as it was read and, when it stands
// there, tells all daemons. A write that met another one's is read again. It holds no lock while
// the store is called, which may be slow, so that other orders and news are not held up.
func (d *rolloutDecider) writeStatus(order authority.RolloutOrder, record rollout.Record, decision rollout.Decision) {
	if d.mesh.eras.hasEnded(order.At) {
		d.reread() // the position may be given out again, to another change
		return
	}
	status := authority.RolloutStatus{Stage: decision.Stage, Target: record.Target, Generation: record.Generation}
	ctx, cancel := context.WithTimeout(d.mesh.context, storeReadTimeout)
	defer cancel()
	written, err := d.port.Write(ctx, order, status)
	d.mesh.storeCalls.recordError(purposeRollout, err)
	d.mesh.events.event("rollout_decided", field("service", record.Service.Name), field("target", record.Target),
		field("stage", decision.Stage.String()), field("reason", decision.Reason), field("code", formatCode(codeOf(err))))
	if err != nil {
		d.reread()
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.orders[record.Service].pendingSince = 0
	written.At = d.mesh.eras.withEra(written.At)
	d.handleOrder(written)
}

// reread lists the orders after a write that failed or was not answered: it may have
// been done.
func (d *rolloutDecider) reread() {
	orders, _ := d.listLogged() // where it failed, the watch or the next write tells
	d.handleOrders(orders)
}
