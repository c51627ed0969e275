package hosted

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/pause"
)

// register reads the registry, leaves the daemon's own registration there unless
// it stands there already, and meets the daemons listed. Who registers last
// reads all others, so that daemons that start together find each other.
func (m *mesh) register() {
	for m.context.Err() == nil {
		if m.readRegistry() && m.putRegistration() {
			m.meet()
			return
		}
		if !pause.For(m.context, registryPause/2+time.Duration(randomNumber()%uint64(registryPause))) {
			return
		}
	}
}

func (m *mesh) readRegistry() bool {
	ctx, cancel := context.WithTimeout(m.context, readTimeout)
	defer cancel()
	listed, err := m.registry.List(ctx)
	if err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.registered = listed
	return true
}

func (m *mesh) putRegistration() bool {
	m.mutex.Lock()
	mine := authority.Registration{
		ID: m.self.ID, Address: m.self.ControlAddress, Zone: m.self.Zone, Region: m.self.Region,
	}
	known := slices.Contains(m.registered, mine)
	m.mutex.Unlock()
	if known {
		return true
	}
	defer m.readRegistry()
	ctx, cancel := context.WithTimeout(m.context, readTimeout)
	defer cancel()
	if err := m.registry.Put(ctx, mine); err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
		return false
	}
	return true
}

// meet compares records with all peers of the own zone, then with some of the
// others.
func (m *mesh) meet() {
	m.mutex.Lock()
	near, far := lo.FilterReject(m.pushTargets(), func(one peer, _ int) bool { return one.zone == m.self.Zone })
	m.mutex.Unlock()
	for _, target := range slices.Concat(near, far) {
		m.compare(target)
	}
}

// relist reads the registry again when no peer answers.
func (m *mesh) relist() {
	m.mutex.Lock()
	isolated := m.clock()-m.heardAt > isolatedAfter
	if isolated {
		m.heardAt = m.clock()
	}
	m.mutex.Unlock()
	if isolated {
		m.readRegistry()
	}
}

// leave tells peers that the daemon ends.
func (m *mesh) leave(ctx context.Context) {
	m.mutex.Lock()
	m.self.State = protocol.MemberLeft
	m.pushSelf()
	m.mutex.Unlock()
	pause.For(ctx, leaveWait)
}

// leaveWait is how long the last pushes may take.
const leaveWait = 50 * time.Millisecond

// unregister takes the daemon's registration away, because its machine goes.
func (m *mesh) unregister(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := m.registry.Remove(bounded, m.self.ID); err != nil {
		m.events.event("registry_unavailable", field("error", err.Error()))
	}
}
