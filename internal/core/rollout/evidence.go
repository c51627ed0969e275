package rollout

import (
	"maps"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
)

const (
	// latencyBuckets is the number of the latencies' classes. Each is half as wide again
	// as the one before it, or a third: from 1 ms to some 60 s.
	latencyBuckets = 32
	// classLimit bounds the classes of calls that are counted apart.
	classLimit = 16
)

// Counts are the answers of one class of calls.
type Counts struct {
	// Answers are all that ended at the back end, Failures those that failed.
	Answers  uint32
	Failures uint32
	// Latency counts those that did not fail by how long they took.
	Latency [latencyBuckets]uint32
}

// Evidence is what gates have counted of back ends of one version, by class of calls.
type Evidence map[callclass.Class]Counts

// Add adds what another gate has counted.
func (e Evidence) Add(other Evidence) {
	for class, counts := range other {
		e[class] = e[class].plus(counts, 1)
	}
}

// Clone returns the same evidence, which does not change with this one.
func (e Evidence) Clone() Evidence { return maps.Clone(e) }

// Since returns what was counted after an earlier state of the same evidence. Where
// less is counted now, as after the restart of a gate, the present counts stand.
func (e Evidence) Since(earlier Evidence) Evidence {
	differing := make(Evidence, len(e))
	for class, counts := range e {
		before := earlier[class]
		if counts.Answers < before.Answers {
			differing[class] = counts
			continue
		}
		differing[class] = counts.minus(before)
	}
	return differing
}

// Total is the sum over all classes.
func (e Evidence) Total() (total Counts) {
	for _, counts := range e {
		total = total.plus(counts, 1)
	}
	return total
}

// Note counts one answer.
func (c *Counts) Record(failed bool, took time.Duration) {
	c.Answers++
	if failed {
		c.Failures++
		return
	}
	c.Latency[latencyBucket(took)]++
}

func (c Counts) plus(other Counts, times uint32) Counts {
	c.Answers += times * other.Answers
	c.Failures += times * other.Failures
	for index := range c.Latency {
		c.Latency[index] += times * other.Latency[index]
	}
	return c
}

func (c Counts) minus(other Counts) Counts { return c.plus(other, ^uint32(0)) }

// latencyBucket is the class of a latency: two for each doubling of the milliseconds.
func latencyBucket(took time.Duration) int {
	milliseconds := uint64(max(took.Milliseconds(), 1))
	doublings := bits.Len64(milliseconds) - 1
	bucket := 2 * doublings
	if milliseconds >= 3<<doublings>>1 && doublings > 0 {
		bucket++
	}
	return min(bucket, latencyBuckets-1)
}

// Tally counts the answers of the back end beside a gate while a roll-out of its
// service is under way. It takes no lock but for the first call of a class.
type Tally struct {
	counting atomic.Bool
	cells    [classLimit]tallyCell
}

// tallyCell counts one class of calls. Key is the class and 1, or 0 while the cell is
// free.
type tallyCell struct {
	key      atomic.Uint32
	answers  atomic.Uint32
	failures atomic.Uint32
	latency  [latencyBuckets]atomic.Uint32
}

// Start begins to count, from nothing; Stop ends it.
func (t *Tally) Start() {
	if !t.counting.Swap(true) {
		t.Reset()
	}
}

// Stop ends the counting. What was counted stays until the next start.
func (t *Tally) Stop() { t.counting.Store(false) }

// Reset forgets what was counted, as when another instance runs.
func (t *Tally) Reset() {
	for index := range t.cells {
		cell := &t.cells[index]
		cell.answers.Store(0)
		cell.failures.Store(0)
		for bucket := range cell.latency {
			cell.latency[bucket].Store(0)
		}
	}
}

// Note counts an answer. Timed says that how long it took speaks of the version: not
// while the back end is cold.
func (t *Tally) Record(class callclass.Class, failed, timed bool, took time.Duration) {
	if !t.counting.Load() || (!failed && !timed) {
		return
	}
	cell := t.cellOf(class)
	if cell == nil {
		return
	}
	cell.answers.Add(1)
	if failed {
		cell.failures.Add(1)
		return
	}
	cell.latency[latencyBucket(took)].Add(1)
}

// cellOf finds or takes the cell of a class; nil when all are taken by others.
func (t *Tally) cellOf(class callclass.Class) *tallyCell {
	wanted := uint32(class) + 1
	for index := range t.cells {
		cell := &t.cells[index]
		if held := cell.key.Load(); held == wanted || (held == 0 && cell.key.CompareAndSwap(0, wanted)) {
			return cell
		}
		if cell.key.Load() == wanted {
			return cell
		}
	}
	return nil
}

// Evidence returns what was counted since the start.
func (t *Tally) Evidence() Evidence {
	evidence := Evidence{}
	for index := range t.cells {
		cell := &t.cells[index]
		key := cell.key.Load()
		if key == 0 {
			break
		}
		counts := Counts{Answers: cell.answers.Load(), Failures: cell.failures.Load()}
		for bucket := range cell.latency {
			counts.Latency[bucket] = cell.latency[bucket].Load()
		}
		evidence[callclass.Class(key-1)] = counts
	}
	return evidence
}
