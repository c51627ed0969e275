// Package timeline is the event loop of the simulator: a priority queue on
// virtual time. Events at the same instant run in the order in which they
// were scheduled, so one seed always gives one history.
package timeline

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Timeline runs scheduled events in order of virtual time. It is not safe for
// use by several goroutines.
type Timeline struct {
	now      time.Duration
	sequence uint64
	queue    eventQueue
	random   *rand.Rand
}

// New returns an empty timeline whose random choices follow from seed.
func New(seed uint64) *Timeline {
	const stream = 0x5eed
	return &Timeline{random: rand.New(rand.NewPCG(seed, stream))}
}

// Now returns the virtual time since the start of the run.
func (t *Timeline) Now() time.Duration { return t.now }

// Random returns the one source of random choices of the run.
func (t *Timeline) Random() *rand.Rand { return t.random }

// After schedules run once delay has passed; a negative delay counts as zero.
func (t *Timeline) After(delay time.Duration, run func()) {
	t.sequence++
	heap.Push(&t.queue, event{at: t.now + max(delay, 0), sequence: t.sequence, run: run})
}

// Step runs the next event if it is due no later than limit, and reports
// whether there was one.
func (t *Timeline) Step(limit time.Duration) bool {
	if len(t.queue) == 0 || t.queue[0].at > limit {
		return false
	}
	next := heap.Pop(&t.queue).(event)
	t.now = next.at
	next.run()
	return true
}

// AdvanceTo sets the time forward to limit once no event is due before it.
func (t *Timeline) AdvanceTo(limit time.Duration) {
	t.now = max(t.now, limit)
}

// Chance reports true with the given probability.
func (t *Timeline) Chance(probability float64) bool {
	return probability > 0 && t.random.Float64() < probability
}

// Between returns a random duration in [low, high].
func (t *Timeline) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(t.random.Int64N(int64(high-low)+1))
}

// event is one scheduled call.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue implements heap.Interface, earliest event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(item any) { *q = append(*q, item.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}
