package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/result"
)

// evacuationPurpose is the purpose for ranking the daemons that watch the evacuation orders.
const evacuationPurpose = "evacuation"

// maxStartOrderWait is the maximum time for which a starting daemon waits for the orders before it
// reports itself ready without them, even if the bound for orders is longer. While the store is down,
// possibly no peer can provide the orders, and callers wait.
const maxStartOrderWait = 5 * time.Second

// evacuationReader reads the operator's evacuation orders from the store: by a watch if this daemon
// is one of the few watchers, and by a list call if the newest known reading is too old. Each
// reading is sent to all daemons, so that they need not read the orders themselves.
type evacuationReader struct {
	mesh  *mesh
	store authority.Evacuations
	// timing.Within is the bound for orders: the maximum time from an order to the last call sent to
	// its zone; 0 if evacuation is disabled.
	timing   evacuation.Timing
	follower *orderFollower

	mutex sync.Mutex
	// faults holds, by zone, the faults of orders that the last reading could not read completely.
	faults map[string]error
}

func newEvacuationReader(mesh *mesh, store authority.Evacuations, orderBound time.Duration) *evacuationReader {
	reader := &evacuationReader{mesh: mesh, store: store, timing: evacuation.Timing{Within: orderBound}}
	if store == nil {
		reader.timing.Within = 0
	}
	reader.follower = &orderFollower{
		mesh: mesh, purpose: evacuationPurpose, followerCount: evacuation.WatcherCount, list: reader.listBeforeWatch, watch: reader.watchAndRead,
		hasOrders: func() bool { return false }, // refreshOrders reads the orders before the watchers start
	}
	mesh.evacuationTiming = reader.timing
	return reader
}

// start starts reading the orders, unless evacuation is disabled.
func (r *evacuationReader) start() {
	if r.timing.Within == 0 {
		return
	}
	for _, loop := range []func(){r.follower.run, r.refreshOrders} {
		r.mesh.running.Add(1)
		go func() {
			defer r.mesh.running.Done()
			loop()
		}()
	}
}

// isOrderWaitOver reports whether the daemon knows the orders or has waited for them long enough:
// for the bound for orders, or maxStartOrderWait if that is shorter. If neither the store nor a peer
// answers, the daemon serves calls without the orders. The clock is 0 at the start of the daemon.
func (r *evacuationReader) isOrderWaitOver() bool {
	m := r.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.evacuations.IsKnown() || m.clock() >= min(r.timing.Within, maxStartOrderWait)
}

// refreshOrders reads the orders whenever the newest known reading is too old. If the read fails, it
// compares records with a peer, which also exchanges the orders.
func (r *evacuationReader) refreshOrders() {
	failures := 0
	for {
		alreadyDue, running := r.awaitRefreshDue(randomNumber())
		if !running {
			return
		}
		if failures = r.readCountingFailures(failures, alreadyDue); failures == 0 {
			continue
		}
		r.compareWithRandomPeer()
		if !pause.For(r.mesh.context, r.timing.RetryDelay(r.follower.rank(), failures)) {
			return
		}
	}
}

// awaitRefreshDue waits until the newest known reading is too old. alreadyDue is true if the reading
// was too old at the call, so no newer one has been received since the last attempt. running is
// false if the daemon ends.
func (r *evacuationReader) awaitRefreshDue(random uint64) (alreadyDue, running bool) {
	for alreadyDue = true; ; alreadyDue = false {
		wait := r.timeUntilRefresh(random)
		if wait <= 0 {
			return alreadyDue, r.mesh.context.Err() == nil
		}
		if !pause.For(r.mesh.context, wait) {
			return false, false
		}
	}
}

// readCountingFailures reads the orders and returns the new number of consecutive failures, given
// the previous one. alreadyDue is the result of awaitRefreshDue. If it is false, a newer reading was
// received from a peer since the last attempt. Earlier failures then do not count, since the store
// has answered in the meantime.
func (r *evacuationReader) readCountingFailures(failures int, alreadyDue bool) int {
	_, err := r.readAndShare()
	switch {
	case err == nil:
		return 0
	case alreadyDue:
		return failures + 1
	}
	return 1
}

// timeUntilRefresh returns the time until the newest known reading is too old; 0 or negative if it
// already is.
func (r *evacuationReader) timeUntilRefresh(random uint64) time.Duration {
	m := r.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	refreshAge := r.timing.RefreshAge(m.rankFor(evacuationPurpose), m.evacuations.IsKnown(), random)
	return refreshAge - m.evacuations.ReadingAge(m.clock())
}

// compareWithRandomPeer compares records, and with them the orders, with a random peer: the store
// may answer other daemons.
func (r *evacuationReader) compareWithRandomPeer() {
	m := r.mesh
	m.mutex.Lock()
	targets := samplePeers(m.peerDirectory().All(), 1)
	m.mutex.Unlock()
	for _, peer := range targets {
		m.compareWith(peer)
	}
}

// listBeforeWatch reads the orders and returns the position from which to watch them. It does not
// read if a recent reading showed that the store holds no orders of its era: there is nothing to
// watch then, and refreshOrders reads often enough.
func (r *evacuationReader) listBeforeWatch() (authority.Position, error) {
	if r.hasFreshEmptyReading() {
		return authority.Position{}, nil
	}
	return r.readAndShare()
}

// hasFreshEmptyReading reports whether the newest known reading is at the start of an era, which
// means that the store held no order of that era, and is younger than half of the bound for orders.
func (r *evacuationReader) hasFreshEmptyReading() bool {
	m := r.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.evacuations.IsKnown() && m.evacuations.Orders().At.IsEraStart() && m.evacuations.ReadingAge(m.clock()) < r.timing.Within/2
}

// readAndShare reads all orders, puts them in force and sends them to all daemons. It returns the
// position of the store at the read.
func (r *evacuationReader) readAndShare() (authority.Position, error) {
	m := r.mesh
	startedAt, knownAtStart := m.clock(), r.knownPosition()
	orders, faults, err := r.listOrders()
	if err != nil {
		return authority.Position{}, err
	}
	if orders.At.Before(knownAtStart) {
		return authority.Position{}, result.New(result.PlatformUnknown, "store returned position %s, which is before the known position %s", orders.At, knownAtStart)
	}
	r.logNewFaults(faults)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	orders = r.withLostOrders(orders)
	m.mergeEvacuations(startedAt, sourceStore, evacuation.SharedOrders{Orders: orders, Known: true})
	m.broadcastOrders()
	return orders.At, nil
}

// If a restoration of the store from an older copy has lost orders, they stay in force for
// lostOrderGrace, so that the operator can issue them again.
const lostOrderGrace = 5 * time.Second

// withLostOrders returns orders just read, extended by the known ones that the store may have lost if
// the era rose less than lostOrderGrace ago; the mesh's lock is held.
func (r *evacuationReader) withLostOrders(orders evacuation.Orders) evacuation.Orders {
	sinceRise, risen := r.mesh.eras.timeSinceRise()
	if !risen || sinceRise > lostOrderGrace {
		return orders
	}
	return orders.WithLostOrders(r.mesh.evacuations.Orders())
}

// listOrders returns the orders in the store, and their faults by zone.
func (r *evacuationReader) listOrders() (evacuation.Orders, map[string]error, error) {
	type listing struct {
		orders evacuation.Orders
		faults map[string]error
	}
	m := r.mesh
	timeout := min(storeReadTimeout, r.timing.Within/2)
	reading, err := readStore(m.reads, m.context, purposeEvacuation, timeout, func(ctx context.Context) (listing, error) {
		orders, faults, err := r.store.List(ctx)
		orders.At = m.eras.withEra(orders.At)
		return listing{orders, faults}, err
	})
	return reading.orders, reading.faults, err
}

// knownPosition returns the store position of the newest orders that this daemon knows.
func (r *evacuationReader) knownPosition() authority.Position {
	r.mesh.mutex.Lock()
	defer r.mesh.mutex.Unlock()
	return r.mesh.evacuations.Orders().At
}

// watchAndRead waits for a change after a position and then reads all orders, since orders are only
// put in force as a whole.
func (r *evacuationReader) watchAndRead(from authority.Position) (authority.Position, error) {
	type change struct {
		changed bool
		at      authority.Position
	}
	m := r.mesh
	watchResult, err := watchAcrossRenewals(m.connections, m.context, from, orderWatchWait+watchTimeoutMargin, func(ctx context.Context) (change, error) {
		changed, at, err := r.store.Watch(ctx, from, orderWatchWait)
		m.storeCalls.recordError(purposeEvacuation, err)
		return change{changed, m.eras.withEra(at)}, err
	})
	if err != nil || !watchResult.changed {
		return watchResult.at, err
	}
	return r.readAndShare()
}

// logNewFaults logs each fault of an order that had none at the previous reading.
func (r *evacuationReader) logNewFaults(faults map[string]error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for zone, fault := range faults {
		if r.faults[zone] == nil {
			r.mesh.logFaultyEvacuation(zone, fault)
		}
	}
	r.faults = faults
}

// orderFault returns the fault of the order for a zone, or nil. Faults in the text of an order are
// known only from this daemon's own readings.
func (r *evacuationReader) orderFault(zone evacuatedZone) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if fault := r.faults[zone.zone]; fault != nil {
		return fault
	}
	if zone.daemons == 0 {
		return unknownZoneError(zone.zone)
	}
	return nil
}
