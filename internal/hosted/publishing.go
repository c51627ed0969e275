package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/proxy"
)

// minPublishInterval is the minimum time between two views that are built for changed records of
// other daemons. A view of 295 daemons takes 0.3 to 0.7 ms to build (BenchmarkPublish).
const minPublishInterval = 100 * time.Millisecond

// schedulePublish passes the latest records to the data path within minPublishInterval; the lock is
// held.
func (m *mesh) schedulePublish() {
	if m.publishing {
		return
	}
	wait := m.publishedAt + minPublishInterval - m.clock()
	if m.publishedAt == 0 || wait <= 0 {
		m.publishAll()
		return
	}
	m.publishing = true
	m.runAfter(wait, m.publishAll)
}

// publishAll passes all records and orders to the data path; the lock is held.
func (m *mesh) publishAll() {
	m.publishing = false
	m.publishedAt = m.clock()
	members := m.roster.All()
	m.publishState(proxy.MeshState{
		Members: members, Splits: m.versionSplits(members), Evacuations: m.evacuations.Orders(),
	})
}

// runAfter runs an action after the given time, with the lock held, unless the daemon stops before.
// It does not block.
func (m *mesh) runAfter(wait time.Duration, action func()) {
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		if !pause.For(m.context, wait) {
			return
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		action()
	}()
}
