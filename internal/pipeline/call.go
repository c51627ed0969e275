package pipeline

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// Call is a request that runs ahead of its turn.
type Call struct {
	request *http.Request
	// size is the length of its head, in bytes.
	headSize  int
	arrivedAt time.Time
	cancel    context.CancelFunc
	answer    *answer
}

func newCall(base context.Context, request *http.Request, size int, config *Config) *Call {
	ctx, cancel := context.WithCancel(base)
	return &Call{
		request:   request.WithContext(ctx),
		headSize:  size,
		arrivedAt: time.Now(),
		cancel:    cancel,
		answer:    newAnswer(config.AnswerBytes, config.Held),
	}
}

// runs tells whether a request that the server has parsed is the one that runs.
func (c *Call) matches(request *http.Request) bool {
	return request.Method == c.request.Method &&
		request.RequestURI == c.request.RequestURI &&
		request.Host == c.request.Host &&
		maps.EqualFunc(request.Header, c.request.Header, slices.Equal)
}

// run runs the handler. As in the server, a handler that panics breaks its
// answer and nothing else.
func (c *Call) run(handler http.Handler) {
	defer c.cancel()
	whole := false
	defer func() {
		if !whole {
			_ = recover()
		}
		c.answer.finish(whole)
	}()
	handler.ServeHTTP(c.answer, c.request)
	whole = true
}

// drop cancels a call whose answer nobody will take.
func (c *Call) drop() {
	c.cancel()
	c.answer.drop()
}

// Await waits until the answer has a head, or is known to have none.
func (c *Call) AwaitHead() { c.answer.awaitHead() }

// Replay gives the answer to the server's writer, as far as it is held, and the
// rest as it comes. It panics with http.ErrAbortHandler when the answer breaks.
func (c *Call) Replay(writer http.ResponseWriter) {
	if !c.answer.replay(writer) {
		panic(http.ErrAbortHandler)
	}
}

// Held bounds the bytes that are held by all connections together.
type ByteBudget struct {
	limit int64
	used  atomic.Int64
}

// NewHeld returns a bound, in bytes.
func NewByteBudget(limit int64) *ByteBudget { return &ByteBudget{limit: limit} }

// Bytes is what is held now.
func (h *ByteBudget) Used() int64 { return h.used.Load() }

func (h *ByteBudget) tryReserve(count int) bool {
	if h.used.Add(int64(count)) <= h.limit {
		return true
	}
	h.used.Add(-int64(count))
	return false
}

func (h *ByteBudget) release(count int) { h.used.Add(-int64(count)) }
