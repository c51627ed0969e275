package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/pause"
)

const (
	// pollersWanted is how many daemons read the store besides their watches, by
	// equal parts of the zones but at least one of each. A watch may lag or be silent
	// about a change, and all watches of a mesh at the same time.
	pollersWanted = 4
	// pollPeriod is the time between two such reads of one daemon where there are
	// pollersWanted of them. Where more zones ask for more of them, each reads less
	// often, so that the mesh makes five such reads a second.
	pollPeriod = 800 * time.Millisecond
)

// pollForever reads the store now and then while this daemon is one of the
// pollers of its zone, and less often while the store fails.
func (m *mesh) pollForever() {
	wait := pollPeriod
	for pause.For(m.context, wait*3/4+time.Duration(randomNumber()%uint64(wait/2))) {
		polls, period := m.polls()
		if !polls || m.poll() {
			wait = period
			continue
		}
		wait = min(2*wait, registryBackoff.Maximum/2)
	}
}

// polls tells whether this daemon is one of the pollers of its zone, the first
// by id among those that answer, and how often it then reads the store.
func (m *mesh) polls() (bool, time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	directory := m.peers()
	before := 0
	for _, one := range directory.Near() {
		if one.ID < m.self.ID && !m.isLost(one.ID) {
			before++
		}
	}
	zones := len(directory.Zones())
	if len(directory.Near()) == 0 {
		zones++ // the own one
	}
	period := pollPeriod * time.Duration(max(zones, pollersWanted)) / pollersWanted
	return before < max(1, pollersWanted/zones), period
}

// announceTargets is how many daemons of the own zone are told of a version that
// watches may have missed. Each that takes it tells as many in turn, so that of a
// large zone all but one in 150 hear of it; comparisons reach those.
const announceTargets = 5

// announceVersion tells some peers of the own zone and, as often as each zone has
// about one such daemon, one of each other zone, which version is in force here.
// polled says that this daemon has read it from the store itself. It does not
// wait for them.
func (m *mesh) announceVersion(polled bool) {
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.mutex.Lock()
		defer m.mutex.Unlock()
		directory := m.peers()
		near := directory.Near()
		targets := drawn(near, announceTargets)
		if polled || randomNumber()%uint64(len(near)+1) == 0 {
			for _, zone := range directory.Zones() {
				if zone != m.self.Zone {
					targets = append(targets, drawn(directory.InZone(zone), 1)...)
				}
			}
		}
		m.push(targets)
	}()
}
