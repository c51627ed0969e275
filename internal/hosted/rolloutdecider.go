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
	// deciderCount is the number of daemons that follow the orders in the store and decide on
	// them: the first by rank. It is more than one so that some remain when others stop or the
	// store refuses them.
	deciderCount = 3
	// decidePeriod is the time between two steps of a decision. It is short because calls to a
	// version that turns bad must stop within a few seconds of its 50th bad answer.
	decidePeriod = 300 * time.Millisecond
	// deciderStagger is the additional delay of each decider relative to the one ranked before
	// it, so that usually only one of them writes.
	deciderStagger = 700 * time.Millisecond
	// rebroadcastPeriod is the time between two broadcasts of a stage that all daemons must
	// receive. A stage lasts some seconds. Without rebroadcasts, a stage that was broadcast while
	// its decider was disconnected took up to 5 s to reach all daemons (of 1,000 orders, 0 to 3
	// were completed while the old version still had calls).
	rebroadcastPeriod = time.Second
	// maxEvidenceGates bounds the gates of each version that are queried for their counts. After
	// the canary stage it does not apply to the stable version: the decider waits for the last
	// calls at all gates of that version.
	maxEvidenceGates = 12
	// deciderPurpose is the name of the ranking that selects the deciders.
	deciderPurpose = "rollout"
)

// rolloutDecider follows the operator's roll-out orders in the store while this daemon is one of
// the first deciderCount by rank, decides on them from the counts of gates, and writes the
// outcome. Several daemons may decide at the same time: the store accepts a status only for the
// revision on which it was decided, and an outcome is never replaced once written.
type rolloutDecider struct {
	mesh     *mesh
	port     authority.Rollouts
	follower *orderFollower

	mutex  sync.Mutex
	orders map[resource.ServiceRef]*followedOrder
}

// followedOrder is an order with the state of its decision.
type followedOrder struct {
	order   authority.RolloutOrder
	decider *rollout.Decider
	// broadcastAt is the time of the last rebroadcast.
	broadcastAt time.Duration
	// stageUnwrittenSince is the time since which the decided stage has differed from the one in the
	// store; 0 if they are the same.
	stageUnwrittenSince time.Duration
	// faultLogged is set once the order's fault has been logged.
	faultLogged bool
}

func newRolloutDecider(mesh *mesh, port authority.Rollouts) *rolloutDecider {
	decider := &rolloutDecider{mesh: mesh, port: port, orders: map[resource.ServiceRef]*followedOrder{}}
	decider.follower = decider.newOrderFollower()
	return decider
}

// start begins to follow orders, unless the settings exclude roll-outs or the platform does not
// support them.
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

// decideLoop steps the decisions on all open orders every decidePeriod until the daemon stops.
func (d *rolloutDecider) decideLoop() {
	for pause.For(d.mesh.context, decidePeriod) {
		for _, service := range d.openServices() {
			d.decide(service)
		}
	}
}

// openServices returns the services whose order is valid and has no outcome in the store yet.
func (d *rolloutDecider) openServices() []resource.ServiceRef {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var open []resource.ServiceRef
	for service, followed := range d.orders {
		if followed.order.Fault == nil && !recordOf(followed.order).Stage.Final() {
			open = append(open, service)
		}
	}
	return open
}

// decide makes one step of the decision on the order of a service, if this daemon is one of the
// deciders.
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
	observation := d.collectEvidence(record, target, stable)
	decision, order, due := d.step(record, elapsed, observation, time.Duration(rank)*deciderStagger)
	if due {
		d.writeStatus(order, record, decision)
	}
}

// rewriteLostOutcome writes the outcome of an order again after the store has lost it, once the
// loss has been known for minUnwrittenTime.
func (d *rolloutDecider) rewriteLostOutcome(record rollout.Record, minUnwrittenTime time.Duration) {
	d.mutex.Lock()
	followed, now := d.orders[record.Service], d.mesh.clock()
	if followed == nil || recordOf(followed.order).Generation != record.Generation || followed.order.Status.Stage == record.Stage {
		d.mutex.Unlock()
		return
	}
	if followed.stageUnwrittenSince == 0 {
		followed.stageUnwrittenSince = now
	}
	order, due := followed.order, now-followed.stageUnwrittenSince >= minUnwrittenTime
	d.mutex.Unlock()
	if due {
		d.writeStatus(order, record, rollout.Decision{Stage: record.Stage, Reason: "the store has lost the outcome"})
	}
}

// step makes one step of the decision on an order. It returns the decision and the order as it was
// last read from the store. due reports whether the decision must now be written to the store,
// because the decided stage has differed from the stored one for minUnwrittenTime.
func (d *rolloutDecider) step(
	record rollout.Record, elapsed time.Duration, observation rollout.Observation, minUnwrittenTime time.Duration,
) (decision rollout.Decision, order authority.RolloutOrder, due bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.mesh.clock()
	followed := d.orders[record.Service]
	d.rebroadcast(followed, record, now)
	decision = followed.decider.Step(now, record, elapsed, observation)
	if decision.Stage == record.Stage && followed.order.Status.Stage == record.Stage {
		followed.stageUnwrittenSince = 0
		return decision, followed.order, false
	}
	if followed.stageUnwrittenSince == 0 {
		followed.stageUnwrittenSince = now
	}
	if decision.Stage == rollout.StageHalted {
		d.halt(record, decision.Reason) // before the write, because a halt needs no agreement with other deciders
		decision.Stage = rollout.StageRolledBack
	}
	return decision, followed.order, now-followed.stageUnwrittenSince >= minUnwrittenTime
}

// rebroadcast broadcasts the known orders again every rebroadcastPeriod while the stage of the given
// order is urgent. The decider's lock is held.
func (d *rolloutDecider) rebroadcast(followed *followedOrder, record rollout.Record, now time.Duration) {
	if !record.Stage.IsUrgent() || now-followed.broadcastAt < rebroadcastPeriod {
		return
	}
	followed.broadcastAt = now
	d.mesh.mutex.Lock()
	defer d.mesh.mutex.Unlock()
	d.mesh.broadcastOrders()
}

// halt stops new calls to the target version on all daemons.
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

// writeStatus writes the decided stage to the store, which accepts it only if the order is unchanged
// since it was read. On success it broadcasts the order to all daemons. After a failure, such as a
// conflict with another decider's write, it reads the orders again. No lock is held during the call,
// because a slow store would otherwise delay other orders and incoming changes.
func (d *rolloutDecider) writeStatus(order authority.RolloutOrder, record rollout.Record, decision rollout.Decision) {
	if d.mesh.eras.hasEnded(order.At) {
		d.reread() // in the new era the store may use the same revision for another change
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
	d.orders[record.Service].stageUnwrittenSince = 0
	written.At = d.mesh.eras.withEra(written.At)
	d.handleOrder(written)
}

// reread lists the orders after a write that failed or was not answered: the store may have
// carried it out.
func (d *rolloutDecider) reread() {
	orders, _ := d.listOrLogFailure() // after a failure, the watch or the next write returns the orders
	d.handleOrders(orders)
}
