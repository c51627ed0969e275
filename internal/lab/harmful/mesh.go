package harmful

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/sim/timeline"
)

const (
	// daemonCount and gateCount are the daemons, and those of them beside a back end of the
	// service; slots is how many requests a back end runs at a time.
	daemonCount = 12
	gateCount   = 7
	slots       = 6
	// newsFast and newsSlow bound how long news takes to one daemon, newsLost is the share
	// of it that is lost, and newsRepaired when a comparison brings that.
	newsFast     = time.Millisecond
	newsSlow     = 60 * time.Millisecond
	newsLost     = 0.05
	newsRepaired = 1500 * time.Millisecond
	// addedSlow bounds when a daemon tells what it adds to news.
	addedSlow = 6 * time.Millisecond
	// backAfter bounds the time until a back end that has ended is back, from a half of it.
	backAfter = 3 * time.Second
)

// daemon is one daemon: what it knows, and the back end beside it.
type daemon struct {
	table *quarantine.Table
	// answered are the requests that its back end has answered well.
	answered map[quarantine.Signature]bool
	instance int
	up       bool
	// proven says that the software version of its back end has answered something.
	proven bool
	// bad says that its back end ends on every request.
	bad     bool
	running []*work
	// waiting are requests that wait for their turn, or for one that runs alone.
	waiting []*work
	// alone is the request that runs alone, or waits until nothing else runs.
	alone *work
}

// mesh is the daemons of a day.
type mesh struct {
	*timeline.Timeline
	way     Way
	daemons []*daemon
}

func newMesh(seed uint64, way Way) *mesh {
	made := &mesh{Timeline: timeline.New(seed), way: way}
	for range daemonCount {
		made.daemons = append(made.daemons, &daemon{
			table: quarantine.NewTable(way.Rules), answered: map[quarantine.Signature]bool{}, up: true,
		})
	}
	return made
}

// believes is what a daemon believes of a request.
func (m *mesh) believes(at *daemon, signature quarantine.Signature) quarantine.State {
	belief, _ := at.table.View(m.Now()).State(m.Now(), signature)
	return belief
}

// name is the instance beside a daemon now.
func (m *mesh) name(of int) string { return fmt.Sprintf("%d-%d", of, m.daemons[of].instance) }

// tell brings what a daemon knows of a request to all others.
func (m *mesh) tell(from *daemon, signature quarantine.Signature) {
	record, found := from.table.Lookup(m.Now(), signature)
	if !found {
		return
	}
	for _, to := range m.daemons {
		if to == from {
			continue
		}
		delay := m.Between(newsFast, newsSlow)
		if m.Chance(newsLost) {
			delay = m.Between(newsSlow, newsRepaired)
		}
		m.After(delay, func() { m.hear(to, record) })
	}
}

// hear merges news; a daemon whose back end has answered the request before says so.
func (m *mesh) hear(at *daemon, record quarantine.Record) {
	news, _ := at.table.Merge(m.Now(), record)
	known := m.way.Answers && at.answered[record.Signature]
	if news && known && at.table.MarkFamiliar(m.Now(), record.Signature) {
		m.After(m.Between(0, addedSlow), func() { m.tell(at, record.Signature) })
	}
}

// note notes an end under requests at a daemon, by their trials, and tells the others.
func (m *mesh) note(at *daemon, instance string, trials map[quarantine.Signature]uint32) {
	signatures := slices.SortedFunc(maps.Keys(trials), func(a, b quarantine.Signature) int { return cmp.Compare(a.Key(), b.Key()) })
	var news []quarantine.Signature
	for _, signature := range signatures {
		familiar := m.way.Answers && at.answered[signature]
		if at.table.RecordEndInTrial(m.Now(), signature, instance, familiar, trials[signature]) {
			news = append(news, signature)
		}
	}
	for _, signature := range news {
		m.tell(at, signature)
	}
}

// clear notes a good answer at a daemon.
func (m *mesh) clear(at *daemon, signature quarantine.Signature) {
	at.proven = true
	if !m.way.Answers {
		return
	}
	at.answered[signature] = true
	if at.table.Clear(m.Now(), signature) {
		m.tell(at, signature)
	}
}
