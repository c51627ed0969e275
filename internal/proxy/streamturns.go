package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/result"
)

const (
	// streamSlotParts divides the slots of a back end into those for calls whose bodies have not arrived
	// completely. The others are left to calls that need nothing more from their callers.
	streamSlotParts = 2
	// maxStreamStall is how long the body of a running call may stall while others wait for its place.
	maxStreamStall = time.Second
)

// streamTurns limits the calls that hold a slot while their bodies still arrive. A body that stalls
// keeps its slot as long as no other call waits for a place.
type streamTurns struct {
	mutex sync.Mutex
	// running holds the bodies of the running calls.
	running map[*upload]struct{}
}

// tryAcquire takes a place for a body if fewer than limit are in use. Else it evicts the body that has
// stalled for longest, if that is longer than maxStreamStall.
func (t *streamTurns) tryAcquire(body *upload, limit int) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.running) >= limit {
		t.evictStalled()
		return false
	}
	if t.running == nil {
		t.running = map[*upload]struct{}{}
	}
	t.running[body] = struct{}{}
	return true
}

// evictStalled evicts the body that has stalled for longest. The lock is held.
func (t *streamTurns) evictStalled() {
	var stalled *upload
	longest := maxStreamStall
	for body := range t.running {
		if duration := body.stalledFor(); duration > longest && !body.evicted.Load() {
			stalled, longest = body, duration
		}
	}
	if stalled != nil {
		stalled.evict()
	}
}

func (t *streamTurns) release(body *upload) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.running, body)
}

// awaitStreamTurn waits for a place if the call's body has not arrived completely. It refuses the call
// after maxBodyWaitShare of its time. release must be called when the call has ended.
func (c *gateCall) awaitStreamTurn() (release func(), refusal Refusal, passed bool) {
	if !c.body.isLarge() || c.body.isFullyRead() {
		return func() {}, Refusal{}, true
	}
	turns := &c.proxy.streamTurns
	wait := time.Duration(maxBodyWaitShare * float64(c.deadline-c.proxy.config.Clock()))
	waiting, cancel := context.WithTimeout(c.context, max(wait, 0))
	defer cancel()
	poll := time.NewTicker(streamPollInterval)
	defer poll.Stop()
	for !turns.tryAcquire(c.body, max(c.proxy.gate.Load().Slots/streamSlotParts, 1)) {
		select {
		case <-poll.C:
		case <-waiting.Done():
			if c.context.Err() != nil {
				return nil, Refusal{Code: c.cancellationCode()}, false
			}
			return nil, Refusal{Code: result.QueueFull, RetryAfter: maxStreamStall}, false
		}
	}
	return func() { turns.release(c.body) }, Refusal{}, true
}
