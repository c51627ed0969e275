package pipeline

import (
	"context"
	"maps"
	"net/http"
	"slices"
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
}

func newCall(baseContext context.Context, request *http.Request, headSize int, config *Config) *Call {
	ctx, cancel := context.WithCancel(baseContext)
	return &Call{
		request:   request.WithContext(ctx),
		headSize:  headSize,
		arrivedAt: time.Now(),
		cancel:    cancel,
		answer:    newAnswer(config.AnswerBytes, config.Held),
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
	}()
	handler.ServeHTTP(c.answer, c.request)
	complete = true
}

// drop cancels a call whose answer will not be delivered.
func (c *Call) drop() {
	c.cancel()
	c.answer.drop()
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
