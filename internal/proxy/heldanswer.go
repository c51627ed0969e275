package proxy

import (
	"net/http"
	"sync/atomic"
	"time"
)

// heldAnswer is an answer that is being written to a caller. A caller that does not read keeps its memory
// in use until Limits.StallTimeout.
type heldAnswer struct {
	control *http.ResponseController
	evicted atomic.Bool
}

// evict makes the writing of the answer fail, which ends the caller's connection.
func (h *heldAnswer) evict() {
	h.evicted.Store(true)
	_ = h.control.SetWriteDeadline(time.Now()) // fails on a closed connection, and then writing fails
}

// extendWriteDeadline sets the deadline of the next write, unless the answer is evicted.
func (h *heldAnswer) extendWriteDeadline(timeout time.Duration) {
	_ = h.control.SetWriteDeadline(time.Now().Add(timeout)) // fails on a closed connection, and then writing fails
	if h.evicted.Load() {
		h.evict()
	}
}

// holdAnswer counts the memory of an answer that is about to be written to a caller. If the memory of all
// such answers is in use, the one that has been written for longest is broken off. release must be called
// once the answer is written.
func (p *Proxy) holdAnswer(control *http.ResponseController, bytes int) (held *heldAnswer, release func()) {
	held = &heldAnswer{control: control}
	p.answerMemory.add(held, int64(bytes)) // the newest is written even if it alone exceeds the limit
	return held, func() { p.answerMemory.remove(held) }
}
