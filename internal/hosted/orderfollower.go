package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/pause"
)

const (
	// followerCheckInterval is the time between two checks whether this daemon is selected to
	// follow orders.
	followerCheckInterval = time.Second
	// orderWatchWait is how long the store may keep a watch of orders open without a change. It is
	// the longest time that the store allows, to save calls.
	orderWatchWait = 30 * time.Second
	// orderRelistInterval is the time between two lists while the store has no orders.
	orderRelistInterval = 2 * time.Second
	// followerStartDelay is how long after its start a daemon that knows no order waits before it
	// may follow orders. By then it knows the other daemons; before that, it would compute a rank
	// for itself that is too close to 0, the first.
	followerStartDelay = 5 * time.Second
)

// orderFollower lists and watches one kind of the operator's orders while this daemon is one of the
// first followerCount daemons by rank.
type orderFollower struct {
	mesh *mesh
	// purpose names the ranking. Each kind of orders has its own, so that the work is divided.
	purpose string
	// followerCount is the number of daemons that follow these orders.
	followerCount int
	// list reads all orders and puts them in force. It returns the position from which to watch for
	// changes, or the start of the era if the store has no orders.
	list func() (authority.Position, error)
	// watch waits for changes after a position and puts them in force.
	watch func(from authority.Position) (authority.Position, error)
	// hasOrders reports whether the daemon knows an order.
	hasOrders func() bool
}

// rank returns the daemon's rank for these orders; 0 is the first.
func (f *orderFollower) rank() int {
	m := f.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.rankFor(f.purpose)
}

// rankFor returns the daemon's rank for a purpose: the number of peers with a higher score that may
// relay and are not lost; the lock is held.
func (m *mesh) rankFor(purpose string) int {
	ownScore := membership.DutyScore(purpose, m.self.ID, m.self.CapacityClass)
	rank := 0
	for _, peer := range m.peerDirectory().All() {
		if peer.Relays && !m.isLost(peer.ID) && membership.DutyScore(purpose, peer.ID, peer.CapacityClass) > ownScore {
			rank++
		}
	}
	return rank
}

// isSelected reports whether this daemon is one of those that follow the orders.
func (f *orderFollower) isSelected() bool { return f.rank() < f.followerCount }

// run lists and watches the orders whenever this daemon is selected, until the daemon ends.
func (f *orderFollower) run() {
	failures := 0
	f.awaitPeers()
	for pause.For(f.mesh.context, followerCheckInterval) {
		if !f.isSelected() {
			continue
		}
		position, err := f.list()
		for err == nil && !position.IsEraStart() && f.isSelected() {
			position, err = f.watch(position)
		}
		switch {
		case err != nil:
			failures++
			pause.For(f.mesh.context, storeBackoff.Delay(failures, randomNumber()))
		case position.IsEraStart(): // the store has no orders, so there is nothing to watch
			pause.For(f.mesh.context, orderRelistInterval)
		default:
			failures = 0
		}
	}
}

// awaitPeers waits for followerStartDelay, or until the daemon knows an order.
func (f *orderFollower) awaitPeers() {
	for startedAt := f.mesh.clock(); f.mesh.clock()-startedAt < followerStartDelay; {
		if f.hasOrders() || !pause.For(f.mesh.context, followerCheckInterval) {
			return
		}
	}
}
