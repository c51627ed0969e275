package hosted

import (
	"context"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/pause"
)

const (
	// verifyTimeout is how long a daemon may take to answer when its gate is
	// silent. It answers at once even when its back end is full.
	verifyTimeout = 150 * time.Millisecond
	// verifyFarTimeout is the same for a daemon of another region.
	verifyFarTimeout = 450 * time.Millisecond
	// verifyPause is the time between questions to an unreachable daemon, and
	// verifyFor how long it is asked before only the usual comparisons do.
	verifyPause = 300 * time.Millisecond
	verifyFor   = 30 * time.Second
)

// verify finds out whether a daemon can be reached, and tells the data path.
// One that can't is asked again until it answers. It does not block.
func (m *mesh) verify(id protocol.NodeID) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if target, found := m.peerOf(id); found {
		m.verifyLocked(target)
	}
}

// verifyLocked is verify with the lock held.
func (m *mesh) verifyLocked(target peer) {
	if m.verifying[target.id] || m.context.Err() != nil {
		return
	}
	m.verifying[target.id] = true
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.verifyUntilAnswered(target)
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(m.verifying, target.id)
	}()
}

func (m *mesh) verifyUntilAnswered(target peer) {
	if m.answers(target) || m.context.Err() != nil {
		return
	}
	m.events.event("peer_unreachable", field("peer", string(target.id)))
	m.setReachable(target.id, false)
	for began := m.clock(); m.clock()-began < verifyFor; {
		if !pause.For(m.context, verifyPause) {
			return
		}
		if m.answers(target) {
			break
		}
	}
	m.setReachable(target.id, true)
	m.events.event("peer_reachable", field("peer", string(target.id)))
}

// answers tells whether a daemon answers an empty push in time. A failure that
// comes at once may be that of an old connection, so it is asked again over a
// new one.
func (m *mesh) answers(target peer) bool {
	timeout := verifyTimeout
	if target.region != m.self.Region {
		timeout = verifyFarTimeout
	}
	ctx, cancel := context.WithTimeout(m.context, timeout)
	defer cancel()
	m.mutex.Lock()
	request := m.request()
	m.mutex.Unlock()
	request.Push = true
	_, err := m.client.Call(ctx, target.address, request)
	if err != nil && ctx.Err() == nil {
		_, err = m.client.Call(ctx, target.address, request)
	}
	return err == nil
}
