package hollow

import (
	"fmt"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// maxExamples bounds the violations that are described.
const maxExamples = 10

// Observer sees what every proxy puts in force and checks it: no proxy goes
// back (I1), proxies at one version hold the same (I3), and nothing is called
// in force before every proxy that serves holds it (I9).
type Observer struct {
	mutex sync.Mutex
	// expected is how many proxies must hold a version before it has converged.
	expected int
	// deaf is set when claims are not checked.
	deaf bool
	// serving reports whether a proxy may serve now. One that holds a version
	// without a lease, as after its start, serves nothing.
	serving func(id string) bool
	holders map[string]holder
	// counts says how many proxies hold each version now.
	counts   map[protocol.Version]int
	digests  map[protocol.Version]resource.Digest
	versions map[protocol.Version]*arrival
	examples []string
	found    int
	changed  chan struct{}
}

// holder is what one proxy holds. highest survives restarts.
type holder struct {
	up      bool
	version protocol.Version
	highest protocol.Version
}

// arrival is the way of one version to all proxies.
type arrival struct {
	acceptedAt  time.Time
	convergedAt time.Time
}

// NewObserver returns an observer of no proxies. serving reports whether a
// proxy may serve now.
func NewObserver(serving func(id string) bool) *Observer {
	return &Observer{
		serving:  serving,
		holders:  make(map[string]holder),
		counts:   make(map[protocol.Version]int),
		digests:  make(map[protocol.Version]resource.Digest),
		versions: make(map[protocol.Version]*arrival),
		changed:  make(chan struct{}),
	}
}

// Expect sets how many proxies there are.
func (o *Observer) Expect(proxies int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.expected = proxies
	o.settle()
}

// Accepted notes when a version was accepted.
func (o *Observer) Accepted(version protocol.Version, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.arrival(version).acceptedAt = at
	o.settle()
}

// Swapped notes that a proxy has put a snapshot in force.
func (o *Observer) Swapped(id string, held *snapshot.Snapshot) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	before := o.holders[id]
	if held.Version < before.highest {
		o.violation("%s went back from version %d to %d", id, before.highest, held.Version)
	}
	if digest, known := o.digests[held.Version]; known && digest != held.Digest {
		o.violation("%s holds another version %d than others do", id, held.Version)
	}
	o.digests[held.Version] = held.Digest
	if before.up {
		o.drop(before.version)
	}
	o.counts[held.Version]++
	o.holders[id] = holder{up: true, version: held.Version, highest: max(before.highest, held.Version)}
	o.settle()
}

// Down notes that a proxy was killed.
func (o *Observer) Down(id string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	before := o.holders[id]
	if before.up {
		o.drop(before.version)
	}
	before.up = false
	o.holders[id] = before
}

// IgnoreClaims turns off the check of claims, for baselines whose proxies
// acknowledge nothing.
func (o *Observer) IgnoreClaims() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.deaf = true
}

// InForce checks a claim that a version is in force everywhere.
func (o *Observer) InForce(id string, version protocol.Version) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if lowest, any := o.lowest(); !any || o.deaf || lowest >= version {
		return
	}
	for other, holder := range o.holders {
		if holder.up && holder.version < version && o.serving(other) {
			o.violation("%s calls version %d in force while %s serves %d", id, version, other, holder.version)
		}
	}
}

// Converged waits until all proxies hold a version or one after it, and
// returns how long that took from its acceptance.
func (o *Observer) Converged(version protocol.Version, bound time.Duration) (time.Duration, bool) {
	timeout := time.NewTimer(bound)
	defer timeout.Stop()
	for {
		o.mutex.Lock()
		changed := o.changed
		way := o.arrival(version)
		took := way.convergedAt.Sub(way.acceptedAt)
		done := !way.convergedAt.IsZero() && !way.acceptedAt.IsZero()
		o.mutex.Unlock()
		if done {
			return max(took, 0), true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return 0, false
		}
	}
}

// Holding returns how many proxies hold the version or one after it.
func (o *Observer) Holding(version protocol.Version) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	holding := 0
	for held, count := range o.counts {
		if held >= version {
			holding += count
		}
	}
	return holding
}

// Newest returns the newest accepted version.
func (o *Observer) Newest() protocol.Version {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	newest := protocol.Version(0)
	for version, way := range o.versions {
		if !way.acceptedAt.IsZero() {
			newest = max(newest, version)
		}
	}
	return newest
}

// Violations returns how many there were, and describes some.
func (o *Observer) Violations() (int, []string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.found, o.examples
}

func (o *Observer) arrival(version protocol.Version) *arrival {
	way, found := o.versions[version]
	if !found {
		way = &arrival{}
		o.versions[version] = way
	}
	return way
}

// settle marks the versions that all proxies hold now.
func (o *Observer) settle() {
	lowest, _ := o.lowest()
	if o.up() < o.expected {
		return
	}
	now := time.Now()
	for version, way := range o.versions {
		if version <= lowest && way.convergedAt.IsZero() {
			way.convergedAt = now
			close(o.changed)
			o.changed = make(chan struct{})
		}
	}
}

// up returns how many proxies hold anything.
func (o *Observer) up() int {
	up := 0
	for _, count := range o.counts {
		up += count
	}
	return up
}

// lowest returns the lowest version that a proxy holds now.
func (o *Observer) lowest() (protocol.Version, bool) {
	lowest := protocol.Version(0)
	any := false
	for version := range o.counts {
		if !any || version < lowest {
			lowest = version
			any = true
		}
	}
	return lowest, any
}

func (o *Observer) drop(version protocol.Version) {
	o.counts[version]--
	if o.counts[version] == 0 {
		delete(o.counts, version)
	}
}

func (o *Observer) violation(format string, arguments ...any) {
	o.found++
	if len(o.examples) < maxExamples {
		o.examples = append(o.examples, fmt.Sprintf(format, arguments...))
	}
}
