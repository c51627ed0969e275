package hosted

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/pause"
)

const (
	// pollersWanted is how many daemons read the store besides their watches, by
	// equal parts of the zones but at least one of each. A watch may lag or be silent
	// about a change, and all watches of a mesh at the same time.
	pollersWanted = 4
	// pollPeriod is the time between two such reads of one daemon.
	pollPeriod = 800 * time.Millisecond
)

// pollForever reads the store now and then while this daemon is one of the
// pollers of its zone.
func (m *mesh) pollForever() {
	for pause.For(m.context, pollPeriod*3/4+time.Duration(randomNumber()%uint64(pollPeriod/2))) {
		if m.polls() {
			m.poll()
		}
	}
}

// polls tells whether this daemon is one of the pollers of its zone: the first
// by id among those that answer.
func (m *mesh) polls() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	before := 0
	zones := map[string]bool{m.self.Zone: true}
	for _, one := range m.peers() {
		zones[one.zone] = true
		if one.zone == m.self.Zone && one.id < m.self.ID && !m.lost[one.id] {
			before++
		}
	}
	return before < max(1, pollersWanted/len(zones))
}

// spread tells the peers of the own zone, and one of each other zone, which
// version is in force here. It does not wait for them.
func (m *mesh) spread() {
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.mutex.Lock()
		defer m.mutex.Unlock()
		byZone := lo.GroupBy(m.peers(), func(one peer) string { return one.zone })
		targets := slices.Clone(byZone[m.self.Zone])
		for zone, members := range byZone {
			if zone != m.self.Zone {
				targets = append(targets, drawn(members, 1)...)
			}
		}
		m.push(targets)
	}()
}
