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
const longestOrderWait = 5 * time.Second

// evacuationReader reads the operator's orders to empty zones from the store: as one of the
// few that watch them, and itself when nobody seems to have read them lately. Each reading
// is told to all daemons, which then need not read.
type evacuationReader struct {
	mesh     *mesh
	port     authority.Evacuations
	timing   evacuation.Timing
	follower *orderFollower

	mutex sync.Mutex
	// faults are the orders that could not be read whole, by the zone.
	faults map[string]error
}

func newEvacuationReader(mesh *mesh, port authority.Evacuations, within time.Duration) *evacuationReader {
	made := &evacuationReader{mesh: mesh, port: port, timing: evacuation.Timing{Within: within}}
	if port == nil {
		made.timing.Within = 0
	}
	made.follower = &orderFollower{
		mesh: mesh, purpose: evacuationPurpose, count: evacuation.WatcherCount, list: made.list, watch: made.watch,
		known: func() bool { return false }, // whoever is due reads before there are followers
	}
	mesh.evacuationTiming = made.timing
	return made
}

// start begins to read orders, where the settings say that there may be any.
func (r *evacuationReader) start() {
	if r.timing.Within == 0 {
		return
	}
	for _, loop := range []func(){r.follower.follow, r.keepFresh} {
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
func (r *evacuationReader) informed() bool {
	m := r.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.evacuations.IsKnown() || m.clock() >= min(r.timing.Within, longestOrderWait)
}

// keepFresh reads the orders whenever the newest reading known is too old, and asks a peer
// where the store does not answer.
func (r *evacuationReader) keepFresh() {
	failures := 0
	for {
		inARow, running := r.awaitDue(randomNumber())
		if !running {
			return
		}
		if failures = r.readOnce(failures, inARow); failures == 0 {
			continue
		}
		r.askPeer()
		if !pause.For(r.mesh.context, r.timing.RetryDelay(r.follower.rank(), failures)) {
			return
		}
	}
}

// awaitDue waits until the newest reading known is too old. It tells whether that was so at
// once, with no news of a reading since the last try, and whether the daemon still runs.
func (r *evacuationReader) awaitDue(random uint64) (atOnce, running bool) {
	for atOnce = true; ; atOnce = false {
		wait := r.untilDue(random)
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
func (r *evacuationReader) readOnce(failures int, inARow bool) int {
	_, err := r.read()
	switch {
	case err == nil:
		return 0
	case inARow:
		return failures + 1
	}
	return 1
}

func (r *evacuationReader) untilDue(random uint64) time.Duration {
	m := r.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	due := r.timing.RefreshAge(m.rankFor(evacuationPurpose), m.evacuations.IsKnown(), random)
	return due - m.evacuations.ReadingAge(m.clock())
}

// askPeer compares with a peer drawn at random: the store may answer others.
func (r *evacuationReader) askPeer() {
	m := r.mesh
	m.mutex.Lock()
	drawn := drawn(m.peers().All(), 1)
	m.mutex.Unlock()
	for _, peer := range drawn {
		m.compare(peer)
	}
}

// list is the first reading of a follower, after which it watches. Where the store has never
// held an order there is nothing to watch, and keepFresh reads often enough.
func (r *evacuationReader) list() (authority.Position, error) {
	if r.knowsOfNone() {
		return authority.Position{}, nil
	}
	return r.read()
}

// knowsOfNone tells whether a reading that is not due yet has shown no position.
func (r *evacuationReader) knowsOfNone() bool {
	m := r.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.evacuations.IsKnown() && m.evacuations.Orders().At.IsEraStart() && m.evacuations.ReadingAge(m.clock()) < r.timing.Within/2
}

// read reads all orders, puts them in force and tells all daemons. It returns the position
// after them.
func (r *evacuationReader) read() (authority.Position, error) {
	m := r.mesh
	began, known := m.clock(), r.position()
	orders, faults, err := r.listOrders()
	if err != nil {
		return authority.Position{}, err
	}
	if orders.At.Before(known) {
		return authority.Position{}, result.New(result.PlatformUnknown, "the store shows position %s after %s", orders.At, known)
	}
	r.noteFaults(faults)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	orders = r.withLost(orders)
	m.mergeEvacuations(began, sourceStore, evacuation.SharedOrders{Orders: orders, Known: true})
	m.spreadOrders()
	return orders.At, nil
}

// lostOrderGrace is how long after the store has come back from an older copy an order that it does
// not hold any more goes on binding: its operator writes again what the store has lost.
const lostOrderGrace = 5 * time.Second

// withLost adds to orders those that the store may have lost; the mesh's lock is held.
func (r *evacuationReader) withLost(orders evacuation.Orders) evacuation.Orders {
	since, risen := r.mesh.eras.sinceRise()
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
	bound := min(readTimeout, r.timing.Within/2)
	listed, err := readStore(m.reads, m.context, purposeEvacuation, bound, func(ctx context.Context) (listing, error) {
		orders, faults, err := r.port.List(ctx)
		orders.At = m.eras.place(orders.At)
		return listing{orders, faults}, err
	})
	return listed.orders, listed.faults, err
}

// position is the store's position of the orders that are known.
func (r *evacuationReader) position() authority.Position {
	r.mesh.mutex.Lock()
	defer r.mesh.mutex.Unlock()
	return r.mesh.evacuations.Orders().At
}

// watch waits for a change after a position and reads all orders when there is one: the
// orders are taken whole or not at all.
func (r *evacuationReader) watch(from authority.Position) (authority.Position, error) {
	type change struct {
		changed bool
		at      authority.Position
	}
	m := r.mesh
	news, err := watched(m.connections, m.context, from, orderWatchWait+watchMargin, func(ctx context.Context) (change, error) {
		changed, at, err := r.port.Watch(ctx, from, orderWatchWait)
		m.calls.noteError(purposeEvacuation, err)
		return change{changed, m.eras.place(at)}, err
	})
	if err != nil || !news.changed {
		return news.at, err
	}
	return r.read()
}

// noteFaults writes a line for each order that is newly found not to be as it should.
func (r *evacuationReader) noteFaults(faults map[string]error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for zone, fault := range faults {
		if r.faults[zone] == nil {
			r.mesh.logBadEvacuation(zone, fault)
		}
	}
	r.faults = faults
}

// fault is what is wrong with the order for a zone, as far as this daemon has read it; nil
// for nothing.
func (r *evacuationReader) fault(zone evacuatedZone) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if fault := r.faults[zone.zone]; fault != nil {
		return fault
	}
	if zone.daemons == 0 {
		return unknownZone(zone.zone)
	}
	return nil
}
