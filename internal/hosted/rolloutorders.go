package hosted

import (
	"context"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/rollout"
)

// newOrderFollower returns a follower of the roll-out orders in the store.
func (d *rolloutDecider) newOrderFollower() *orderFollower {
	return &orderFollower{
		mesh: d.mesh, purpose: deciderPurpose, followerCount: deciderCount, watch: d.watch,
		list: func() (authority.Position, error) {
			orders, at, err := d.list()
			d.handleOrders(orders)
			return at, err
		},
		hasOrders: func() bool { return len(d.mesh.rolloutRecords()) > 0 },
	}
}

// readAndMerge reads and merges all orders, so that the daemon knows whether a version that it holds
// back has an order. It reports whether the store answered. It does not broadcast the orders, because
// each daemon that holds back a version reads them itself.
func (d *rolloutDecider) readAndMerge() bool {
	orders, answered := d.listOrLogFailure()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, order := range orders {
		d.merge(order)
	}
	return answered
}

// listOrLogFailure lists all orders, logs a failure, and reports whether the store answered. It is
// used when the orders are needed before the watch returns them.
func (d *rolloutDecider) listOrLogFailure() (orders []authority.RolloutOrder, answered bool) {
	orders, _, err := d.list()
	if err != nil {
		d.mesh.events.event("rollout_unread", field("code", formatCode(codeOf(err))), field("error", err.Error()))
		return nil, false
	}
	return orders, true
}

// list returns all orders and the position after them, which is the start of the era if the store
// has no orders.
func (d *rolloutDecider) list() ([]authority.RolloutOrder, authority.Position, error) {
	listed, err := readStore(d.mesh.reads, d.mesh.context, purposeRollout, storeReadTimeout, func(ctx context.Context) (orderListing, error) {
		orders, at, err := d.port.List(ctx)
		return d.placeInEra(orders, at), err
	})
	return listed.orders, listed.at, err
}

// orderListing is the result of a list or watch of the orders.
type orderListing struct {
	orders []authority.RolloutOrder
	at     authority.Position
}

// placeInEra returns the orders and the position of an answer, with the known era in each position
// that has none.
func (d *rolloutDecider) placeInEra(orders []authority.RolloutOrder, at authority.Position) orderListing {
	for index := range orders {
		orders[index].At = d.mesh.eras.withEra(orders[index].At)
	}
	return orderListing{orders, d.mesh.eras.withEra(at)}
}

// watch waits for changes of the orders after a position, handles the changed orders, and returns the
// position after them.
func (d *rolloutDecider) watch(from authority.Position) (authority.Position, error) {
	m := d.mesh
	changes, err := watchAcrossRenewals(m.connections, m.context, from, orderWatchWait+watchTimeoutMargin, func(ctx context.Context) (orderListing, error) {
		orders, at, err := d.port.Watch(ctx, from, orderWatchWait)
		m.storeCalls.recordError(purposeRollout, err)
		return d.placeInEra(orders, at), err
	})
	d.handleOrders(changes.orders)
	return changes.at, err
}

// handleOrders merges orders read from the store, and broadcasts those that have changed.
func (d *rolloutDecider) handleOrders(orders []authority.RolloutOrder) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, order := range orders {
		d.handleOrder(order)
	}
}

// handleOrder merges an order read from the store, and broadcasts it to all daemons if it has
// changed. The decider's lock is held.
func (d *rolloutDecider) handleOrder(order authority.RolloutOrder) {
	if !d.merge(order) {
		return
	}
	d.mesh.mutex.Lock()
	defer d.mesh.mutex.Unlock()
	d.mesh.broadcastOrders()
}

// merge merges an order read from the store, and reports whether the daemon's record of it has
// changed. An outcome in the store replaces any other stage that daemons have exchanged. The
// decider's lock is held.
func (d *rolloutDecider) merge(order authority.RolloutOrder) bool {
	followed := d.orders[order.Service]
	if followed != nil && order.At.Before(followed.order.At) {
		return false // a newer revision was handled first
	}
	if followed == nil || followed.order.Target != order.Target || followed.order.Duration != order.Duration {
		followed = &followedOrder{decider: &rollout.Decider{}}
		d.orders[order.Service] = followed
	}
	followed.order = order
	if order.Fault != nil {
		d.logFaultOnce(followed)
		return false
	}
	record := recordOf(order)
	d.mesh.mutex.Lock()
	defer d.mesh.mutex.Unlock()
	return d.mesh.mergeRollouts([]rollout.Record{record})
}

func (d *rolloutDecider) logFaultOnce(followed *followedOrder) {
	if followed.faultLogged {
		return
	}
	followed.faultLogged = true
	d.mesh.events.event("rollout_refused", field("service", followed.order.Service.Name),
		field("code", formatCode(codeOf(followed.order.Fault))), field("error", followed.order.Fault.Error()))
}

// recordOf returns the record of an order as it is in the store. A status of another target belongs
// to an earlier order and is ignored.
func recordOf(order authority.RolloutOrder) rollout.Record {
	record := rollout.Record{
		Service: order.Service, Target: order.Target, Duration: order.Duration,
		Generation: order.At, Stage: rollout.StageCanary,
	}
	if order.Status.Stage != 0 && order.Status.Target == order.Target {
		record.Stage = order.Status.Stage
		record.Generation = order.Status.Generation
	}
	return record
}
