package rollout

import (
	"maps"
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
)

const (
	// latencyBuckets is the number of buckets of the latency histogram, from 1 ms to about 60 s.
	// From 2 ms on, the lower bound of each bucket is 1.33 or 1.5 times that of the previous one.
	latencyBuckets = 32
	// classLimit bounds the number of call classes that are counted separately.
	classLimit = 16
)

// Counts holds the counts of the answers of one class of calls.
type Counts struct {
	// Answers is the number of calls that ended at the back end, Failures the number of those that
	// failed.
	Answers  uint32
	Failures uint32
	// Latency is the latency histogram of the calls that did not fail.
	Latency [latencyBuckets]uint32
}

// Evidence holds the counts of the answers of the back ends of one version, by class of calls. Gates
// collect it.
type Evidence map[callclass.Class]Counts

// Add adds the counts of another gate.
func (e Evidence) Add(other Evidence) {
	for class, counts := range other {
		e[class] = e[class].plus(counts, 1)
	}
}

// Clone returns an independent copy.
func (e Evidence) Clone() Evidence { return maps.Clone(e) }

// Since returns the counts since an earlier state of the same evidence. If a class has fewer
// answers now than in the earlier state, as after the restart of a gate, its present counts are
// returned in full.
func (e Evidence) Since(earlier Evidence) Evidence {
	difference := make(Evidence, len(e))
	for class, counts := range e {
		previous := earlier[class]
		if counts.Answers < previous.Answers {
			difference[class] = counts
			continue
		}
		difference[class] = counts.minus(previous)
	}
	return difference
}

// Total returns the sum over all classes.
func (e Evidence) Total() (total Counts) {
	for _, counts := range e {
		total = total.plus(counts, 1)
	}
	return total
}

// Record counts one answer.
func (c *Counts) Record(failed bool, latency time.Duration) {
	c.Answers++
	if failed {
		c.Failures++
		return
	}
	c.Latency[latencyBucket(latency)]++
}

// plus returns the sum of the counts and of other's counts multiplied by times.
func (c Counts) plus(other Counts, times uint32) Counts {
	c.Answers += times * other.Answers
	c.Failures += times * other.Failures
	for index := range c.Latency {
		c.Latency[index] += times * other.Latency[index]
	}
	return c
}

// minus returns the counts minus other's: ^uint32(0) is -1 in the modular arithmetic of uint32.
func (c Counts) minus(other Counts) Counts { return c.plus(other, ^uint32(0)) }

// latencyBucket returns the index of the bucket of a latency. Each doubling from 2 ms on has two
// buckets. Latencies below 2 ms use bucket 0, and bucket 1 is unused.
func latencyBucket(latency time.Duration) int {
	milliseconds := uint64(max(latency.Milliseconds(), 1))
	doublings := bits.Len64(milliseconds) - 1
	bucket := 2 * doublings
	if milliseconds >= 3<<doublings>>1 && doublings > 0 {
		bucket++
	}
	return min(bucket, latencyBuckets-1)
}

// Tally counts the answers of the back end next to a gate during a roll-out of its service. It
// takes no lock. Only the first call of a class needs a compare-and-swap.
type Tally struct {
	counting atomic.Bool
	cells    [classLimit]tallyCell
}

// tallyCell counts one class of calls. key is the class plus 1, or 0 while the cell is free.
type tallyCell struct {
	key      atomic.Uint32
	answers  atomic.Uint32
	failures atomic.Uint32
	latency  [latencyBuckets]atomic.Uint32
}

// Start resets the counts and begins to count, unless counting is already in progress.
func (t *Tally) Start() {
	if !t.counting.Swap(true) {
		t.Reset()
	}
}

// Stop ends the counting. The counts remain available until the next start.
func (t *Tally) Stop() { t.counting.Store(false) }

// Reset discards the counts, for example when another instance runs.
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

// Record counts an answer. countsLatency is false if the latency is not representative of the
// version, for example while the back end is cold. Such an answer counts only if it failed.
func (t *Tally) Record(class callclass.Class, failed, countsLatency bool, latency time.Duration) {
	if !t.counting.Load() || (!failed && !countsLatency) {
		return
	}
	cell := t.cellFor(class)
	if cell == nil {
		return
	}
	cell.answers.Add(1)
	if failed {
		cell.failures.Add(1)
		return
	}
	cell.latency[latencyBucket(latency)].Add(1)
}

// cellFor returns the cell of a class and allocates it if necessary; nil if all cells are used by
// other classes.
func (t *Tally) cellFor(class callclass.Class) *tallyCell {
	classKey := uint32(class) + 1
	for index := range t.cells {
		cell := &t.cells[index]
		if key := cell.key.Load(); key == classKey || (key == 0 && cell.key.CompareAndSwap(0, classKey)) {
			return cell
		}
		if cell.key.Load() == classKey {
			return cell
		}
	}
	return nil
}

// Evidence returns the counts since the start.
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
