package pipeline

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Call is a request that runs ahead of its turn.
type Call struct {
	request *http.Request
	// headSize is the length of the request's head, in bytes.
	headSize  int
	arrivedAt time.Time
	cancel    context.CancelFunc
	answer    *answer
	// release releases the memory of the request. It is called once the handler has returned and the
	// answer is not needed any more; pendingReleases counts what has not happened of both.
	release         func()
	pendingReleases atomic.Int32
	answerReleased  sync.Once
}

func newCall(baseContext context.Context, request *http.Request, headSize int, release func(), config *Config) *Call {
	ctx, cancel := context.WithCancel(baseContext)
	created := &Call{
		request:   request.WithContext(ctx),
		headSize:  headSize,
		arrivedAt: time.Now(),
		cancel:    cancel,
		answer:    newAnswer(config.AnswerBytes, config.Held),
		release:   release,
	}
	created.pendingReleases.Store(2)
	return created
}

// releaseAnswer records that the answer is not needed any more. The lock of the connection is held.
func (c *Call) releaseAnswer() { c.answerReleased.Do(c.releaseHalf) }

func (c *Call) releaseHalf() {
	if c.pendingReleases.Add(-1) == 0 {
		c.release()
	}
}

// matches reports whether a request that the server has parsed is the request of this
// call.
func (c *Call) matches(request *http.Request) bool {
	return request.Method == c.request.Method &&
		request.RequestURI == c.request.RequestURI &&
		request.Host == c.request.Host &&
		maps.EqualFunc(request.Header, c.request.Header, slices.Equal)
}

// run runs the handler. As in the server, a handler that panics breaks off only its own
// answer.
func (c *Call) run(handler http.Handler) {
	defer c.cancel()
	complete := false
	defer func() {
		if !complete {
			_ = recover()
		}
		c.answer.finish(complete)
		c.releaseHalf()
	}()
	handler.ServeHTTP(c.answer, c.request)
	complete = true
}

// drop cancels a call whose answer will not be delivered.
func (c *Call) drop() {
	c.cancel()
	c.answer.drop()
	c.releaseAnswer()
}

// AwaitHead waits until the answer has a head or it is certain that none will follow.
func (c *Call) AwaitHead() { c.answer.awaitHead() }

// Replay writes the buffered part of the answer to the server's writer, then waits while
// the handler writes the rest there. It panics with http.ErrAbortHandler if the answer
// breaks off.
func (c *Call) Replay(writer http.ResponseWriter) {
	if !c.answer.replay(writer) {
		panic(http.ErrAbortHandler)
	}
}
