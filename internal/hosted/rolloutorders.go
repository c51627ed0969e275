package hosted

import (
	"context"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/rollout"
)

// newOrderFollower follows the orders in the store.
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

// confirm reads all orders, for a daemon that must know whether a version has one. It does
// not tell the others: each that must know reads them itself.
func (d *rolloutDecider) readAndMerge() bool {
	orders, read := d.listLogged()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, order := range orders {
		d.merge(order)
	}
	return read
}

// listAgain reads all orders beside the watch, and tells whether the store answered.
func (d *rolloutDecider) listLogged() (orders []authority.RolloutOrder, read bool) {
	orders, _, err := d.list()
	if err != nil {
		d.mesh.events.event("rollout_unread", field("code", formatCode(codeOf(err))), field("error", err.Error()))
		return nil, false
	}
	return orders, true
}

// list reads all orders and the position after them, the start where the store knows none.
func (d *rolloutDecider) list() ([]authority.RolloutOrder, authority.Position, error) {
	listed, err := readStore(d.mesh.reads, d.mesh.context, purposeRollout, storeReadTimeout, func(ctx context.Context) (orderListing, error) {
		orders, at, err := d.port.List(ctx)
		return d.placeInEra(orders, at), err
	})
	return listed.orders, listed.at, err
}

// orderListing is what a read or watch of the orders brought.
type orderListing struct {
	orders []authority.RolloutOrder
	at     authority.Position
}

// listing is what a call brought, with all positions in their era.
func (d *rolloutDecider) placeInEra(orders []authority.RolloutOrder, at authority.Position) orderListing {
	for index := range orders {
		orders[index].At = d.mesh.eras.withEra(orders[index].At)
	}
	return orderListing{orders, d.mesh.eras.withEra(at)}
}

func (d *rolloutDecider) watch(from authority.Position) (authority.Position, error) {
	m := d.mesh
	news, err := watchAcrossRenewals(m.connections, m.context, from, orderWatchWait+watchTimeoutMargin, func(ctx context.Context) (orderListing, error) {
		orders, at, err := d.port.Watch(ctx, from, orderWatchWait)
		m.storeCalls.recordError(purposeRollout, err)
		return d.placeInEra(orders, at), err
	})
	d.handleOrders(news.orders)
	return news.at, err
}

// take takes orders as the store has them.
func (d *rolloutDecider) handleOrders(orders []authority.RolloutOrder) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, order := range orders {
		d.handleOrder(order)
	}
}

// takeOne takes one order, and tells all daemons what is news; the lock is held.
func (d *rolloutDecider) handleOrder(order authority.RolloutOrder) {
	if !d.merge(order) {
		return
	}
	d.mesh.mutex.Lock()
	defer d.mesh.mutex.Unlock()
	d.mesh.broadcastOrders()
}

// merge takes one order, and tells whether it was news; the lock is held. What the store
// says of its outcome goes before all that daemons believe.
func (d *rolloutDecider) merge(order authority.RolloutOrder) bool {
	known := d.orders[order.Service]
	if known != nil && order.At.Before(known.order.At) {
		return false // a newer state was read while this one was on its way
	}
	if known == nil || known.order.Target != order.Target || known.order.Duration != order.Duration {
		known = &followedOrder{decider: &rollout.Decider{}}
		d.orders[order.Service] = known
	}
	known.order = order
	if order.Fault != nil {
		d.logFaultOnce(known)
		return false
	}
	record := recordOf(order)
	d.mesh.mutex.Lock()
	defer d.mesh.mutex.Unlock()
	return d.mesh.mergeRollouts([]rollout.Record{record})
}

func (d *rolloutDecider) logFaultOnce(known *followedOrder) {
	if known.faultLogged {
		return
	}
	known.faultLogged = true
	d.mesh.events.event("rollout_refused", field("service", known.order.Service.Name),
		field("code", formatCode(codeOf(known.order.Fault))), field("error", known.order.Fault.Error()))
}

// recordOf is the record of an order as the store has it. A status of another target
// is that of an earlier order.
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
