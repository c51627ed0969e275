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

// evacuationPurpose names the ranking by which the followers of evacuations are chosen.
const evacuationPurpose = "evacuation"

// longestOrderWait is how long a start waits at most for the orders before the daemon calls
// itself ready without, however long the bound is: while the store is down nobody can tell it,
// and callers wait.
const maxStartOrderWait = 5 * time.Second

// evacuationReader reads the operator's orders to empty zones from the store: as one of the
// few that watch them, and itself when nobody seems to have read them lately. Each reading
// is told to all daemons, which then need not read.
type evacuationReader struct {
	mesh     *mesh
	store    authority.Evacuations
	timing   evacuation.Timing
	follower *orderFollower

	mutex sync.Mutex
	// faults are the orders that could not be read whole, by the zone.
	faults map[string]error
}

func newEvacuationReader(mesh *mesh, port authority.Evacuations, within time.Duration) *evacuationReader {
	made := &evacuationReader{mesh: mesh, store: port, timing: evacuation.Timing{Within: within}}
	if port == nil {
		made.timing.Within = 0
	}
	made.follower = &orderFollower{
		mesh: mesh, purpose: evacuationPurpose, followerCount: evacuation.WatcherCount, list: made.listBeforeWatch, watch: made.watchAndRead,
		hasOrders: func() bool { return false }, // whoever is due reads before there are followers
	}
	mesh.evacuationTiming = made.timing
	return made
}

// start begins to read orders, where the settings say that there may be any.
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

// informed tells whether the daemon knows the orders, or has waited for them as long as an
// order may take to be in force, longestOrderWait at most: it can't know them where neither the
// store nor a peer answers, and is needed all the same.
func (r *evacuationReader) isOrderWaitOver() bool {
	m := r.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.evacuations.IsKnown() || m.clock() >= min(r.timing.Within, maxStartOrderWait)
}

// keepFresh reads the orders whenever the newest reading known is too old, and asks a peer
// where the store does not answer.
func (r *evacuationReader) refreshOrders() {
	failures := 0
	for {
		inARow, running := r.awaitRefreshDue(randomNumber())
		if !running {
			return
		}
		if failures = r.readCountingFailures(failures, inARow); failures == 0 {
			continue
		}
		r.compareWithRandomPeer()
		if !pause.For(r.mesh.context, r.timing.RetryDelay(r.follower.rank(), failures)) {
			return
		}
	}
}

// awaitDue waits until the newest reading known is too old. It tells whether that was so at
// once, with no news of a reading since the last try, and whether the daemon still runs.
func (r *evacuationReader) awaitRefreshDue(random uint64) (atOnce, running bool) {
	for atOnce = true; ; atOnce = false {
		wait := r.timeUntilRefresh(random)
		if wait <= 0 {
			return atOnce, r.mesh.context.Err() == nil
		}
		if !pause.For(r.mesh.context, wait) {
			return false, false
		}
	}
}

// readOnce reads the orders and returns how many readings in a row have failed by then. Failures
// from before a peer told of a reading make no wait longer: the store has answered since.
func (r *evacuationReader) readCountingFailures(failures int, inARow bool) int {
	_, err := r.readAndShare()
	switch {
	case err == nil:
		return 0
	case inARow:
		return failures + 1
	}
	return 1
}

func (r *evacuationReader) timeUntilRefresh(random uint64) time.Duration {
	m := r.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	due := r.timing.RefreshAge(m.rankFor(evacuationPurpose), m.evacuations.IsKnown(), random)
	return due - m.evacuations.ReadingAge(m.clock())
}

// askPeer compares with a peer drawn at random: the store may answer others.
func (r *evacuationReader) compareWithRandomPeer() {
	m := r.mesh
	m.mutex.Lock()
	drawn := samplePeers(m.peerDirectory().All(), 1)
	m.mutex.Unlock()
	for _, peer := range drawn {
		m.compareWith(peer)
	}
}

// list is the first reading of a follower, after which it watches. Where the store has never
// held an order there is nothing to watch, and keepFresh reads often enough.
func (r *evacuationReader) listBeforeWatch() (authority.Position, error) {
	if r.hasFreshEmptyReading() {
		return authority.Position{}, nil
	}
	return r.readAndShare()
}

// knowsOfNone tells whether a reading that is not due yet has shown no position.
func (r *evacuationReader) hasFreshEmptyReading() bool {
	m := r.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.evacuations.IsKnown() && m.evacuations.Orders().At.IsEraStart() && m.evacuations.ReadingAge(m.clock()) < r.timing.Within/2
}

// read reads all orders, puts them in force and tells all daemons. It returns the position
// after them.
func (r *evacuationReader) readAndShare() (authority.Position, error) {
	m := r.mesh
	began, known := m.clock(), r.knownPosition()
	orders, faults, err := r.listOrders()
	if err != nil {
		return authority.Position{}, err
	}
	if orders.At.Before(known) {
		return authority.Position{}, result.New(result.PlatformUnknown, "the store shows position %s after %s", orders.At, known)
	}
	r.logNewFaults(faults)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	orders = r.withLostOrders(orders)
	m.mergeEvacuations(began, sourceStore, evacuation.SharedOrders{Orders: orders, Known: true})
	m.broadcastOrders()
	return orders.At, nil
}

// lostOrderGrace is how long after the store has come back from an older copy an order that it does
// not hold any more goes on binding: its operator writes again what the store has lost.
const lostOrderGrace = 5 * time.Second

// withLost adds to orders those that the store may have lost; the mesh's lock is held.
func (r *evacuationReader) withLostOrders(orders evacuation.Orders) evacuation.Orders {
	since, risen := r.mesh.eras.timeSinceRise()
	if !risen || since > lostOrderGrace {
		return orders
	}
	return orders.WithLost(r.mesh.evacuations.Orders())
}

// listOrders lists the orders in the store, and what is wrong with them.
func (r *evacuationReader) listOrders() (evacuation.Orders, map[string]error, error) {
	type listing struct {
		orders evacuation.Orders
		faults map[string]error
	}
	m := r.mesh
	bound := min(storeReadTimeout, r.timing.Within/2)
	listed, err := readStore(m.reads, m.context, purposeEvacuation, bound, func(ctx context.Context) (listing, error) {
		orders, faults, err := r.store.List(ctx)
		orders.At = m.eras.withEra(orders.At)
		return listing{orders, faults}, err
	})
	return listed.orders, listed.faults, err
}

// position is the store's position of the orders that are known.
func (r *evacuationReader) knownPosition() authority.Position {
	r.mesh.mutex.Lock()
	defer r.mesh.mutex.Unlock()
	return r.mesh.evacuations.Orders().At
}

// watch waits for a change after a position and reads all orders when there is one: the
// orders are taken whole or not at all.
func (r *evacuationReader) watchAndRead(from authority.Position) (authority.Position, error) {
	type change struct {
		changed bool
		at      authority.Position
	}
	m := r.mesh
	news, err := watchAcrossRenewals(m.connections, m.context, from, orderWatchWait+watchTimeoutMargin, func(ctx context.Context) (change, error) {
		changed, at, err := r.store.Watch(ctx, from, orderWatchWait)
		m.storeCalls.recordError(purposeEvacuation, err)
		return change{changed, m.eras.withEra(at)}, err
	})
	if err != nil || !news.changed {
		return news.at, err
	}
	return r.readAndShare()
}

// noteFaults writes a line for each order that is newly found not to be as it should.
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

// fault is what is wrong with the order for a zone, as far as this daemon has read it; nil
// for nothing.
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
