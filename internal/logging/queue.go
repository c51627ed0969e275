package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 1024
	// flushPeriod is the longest time that a line waits while the writer keeps
	// up; lines are written together, for each write costs.
	flushPeriod = 100 * time.Millisecond
	// flushBytes is how much is written at once.
	flushBytes = 16 << 10
)

// Queue is an io.Writer that never blocks: lines wait in a bounded queue for
// one goroutine that writes them. Lines that find it full are dropped and
// counted, and a line says so once there is room.
type Queue struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	ending  chan struct{}
	ended   chan struct{}
	once    sync.Once
}

// NewQueue returns a queue in front of a writer.
func NewQueue(writer io.Writer) *Queue {
	made := &Queue{
		writer: writer,
		lines:  make(chan []byte, queueLines),
		ending: make(chan struct{}),
		ended:  make(chan struct{}),
	}
	go made.run()
	return made
}

// Write takes one whole line. It keeps the bytes.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines found the queue full.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes what waits, for at most a bound of time.
func (q *Queue) Close(within time.Duration) {
	q.once.Do(func() { close(q.ending) })
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-q.ended:
	case <-timer.C:
	}
}

func (q *Queue) run() {
	defer close(q.ended)
	var batch []byte
	for {
		select {
		case line := <-q.lines:
			batch = q.gather(append(batch[:0], line...))
			_, _ = q.writer.Write(batch) // a line that can't be written is lost
		case <-q.ending:
			batch = q.drain(batch[:0])
			_, _ = q.writer.Write(batch)
			return
		}
	}
}

// gather adds the lines that come within the flush period.
func (q *Queue) gather(batch []byte) []byte {
	timer := time.NewTimer(flushPeriod)
	defer timer.Stop()
	for len(batch) < flushBytes {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
		case <-timer.C:
			return batch
		case <-q.ending:
			return batch
		}
	}
	return batch
}

// drain takes what waits.
func (q *Queue) drain(batch []byte) []byte {
	for {
		select {
		case line := <-q.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
}

// Rate bounds how many lines of a sort are written: a bucket that holds a
// burst and is filled at a rate. It may be used from several goroutines.
type Rate struct {
	perSecond float64
	burst     float64

	mutex   sync.Mutex
	tokens  float64
	at      time.Duration
	dropped atomic.Uint64
}

// NewRate returns a full bucket.
func NewRate(perSecond, burst float64) *Rate {
	return &Rate{perSecond: perSecond, burst: burst, tokens: burst}
}

// Allow takes a token at a time on a monotonic clock, or counts a line dropped.
func (r *Rate) Allow(now time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if now > r.at {
		r.tokens = min(r.burst, r.tokens+(now-r.at).Seconds()*r.perSecond)
		r.at = now
	}
	if r.tokens < 1 {
		r.dropped.Add(1)
		return false
	}
	r.tokens--
	return true
}

// Dropped is how many lines found the bucket empty.
func (r *Rate) Dropped() uint64 { return r.dropped.Load() }
