package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/pause"
)

const (
	// followerPause is the time between two looks whether this daemon follows orders.
	followerCheckInterval = time.Second
	// orderWatchWait is how long the store may hold a watch of orders without news: its
	// longest, for each watch is a call.
	orderWatchWait = 30 * time.Second
	// orderRelist is the time between two lists while the store knows no orders at all.
	orderRelistInterval = 2 * time.Second
	// followerStart is how long after its start a daemon that knows of no order may first
	// follow them: until it knows the others, for each that knows nobody ranks first.
	followerStartDelay = 5 * time.Second
)

// orderFollower lists and watches one kind of the operator's orders while this daemon is
// one of the first by rank.
type orderFollower struct {
	mesh *mesh
	// purpose names the ranking: another one for each kind, so that the work is divided.
	purpose string
	// count is how many daemons follow.
	followerCount int
	// list reads all orders and puts them in force. It returns the position after them, the
	// start where the store knows none.
	list func() (authority.Position, error)
	// watch waits for changes after a position and puts them in force.
	watch func(from authority.Position) (authority.Position, error)
	// known tells whether the daemon has an order to follow.
	hasOrders func() bool
}

// rank is the daemon's place among all that may follow; 0 is the first.
func (f *orderFollower) rank() int {
	m := f.mesh
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.rankFor(f.purpose)
}

// rankFor is the daemon's place among all that answer, for a purpose; the lock is held.
func (m *mesh) rankFor(purpose string) int {
	own := membership.Score(purpose, m.self.ID)
	rank := 0
	for _, peer := range m.peerDirectory().All() {
		if peer.Relays && !m.isLost(peer.ID) && membership.Score(purpose, peer.ID) > own {
			rank++
		}
	}
	return rank
}

// follows tells whether this daemon is one of those that follow.
func (f *orderFollower) isSelected() bool { return f.rank() < f.followerCount }

// follow lists and watches until the daemon ends.
func (f *orderFollower) run() {
	failures := 0
	f.awaitPeers()
	for pause.For(f.mesh.context, followerCheckInterval) {
		if !f.isSelected() {
			continue
		}
		at, err := f.list()
		for err == nil && !at.IsEraStart() && f.isSelected() {
			at, err = f.watch(at)
		}
		switch {
		case err != nil:
			failures++
			pause.For(f.mesh.context, registryBackoff.Delay(failures, randomNumber()))
		case at.IsEraStart(): // the store knows no orders at all, so there is nothing to watch
			pause.For(f.mesh.context, orderRelistInterval)
		default:
			failures = 0
		}
	}
}

// awaitPeers waits until the daemon may know the others, or has an order to follow.
func (f *orderFollower) awaitPeers() {
	for began := f.mesh.clock(); f.mesh.clock()-began < followerStartDelay; {
		if f.hasOrders() || !pause.For(f.mesh.context, followerCheckInterval) {
			return
		}
	}
}
