package pipeline

import (
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/bytebudget"
)

// errDropped is returned to a handler that writes an answer which will not be delivered.
const errDropped = errors.ConstError("the connection has ended before the answer's turn")

// interimAnswer is an answer with a status 1xx, which precedes the final answer.
type interimAnswer struct {
	status int
	header http.Header
}

// answer is the http.ResponseWriter of a call's handler. It buffers the answer until the
// answer's turn and passes writes through from then on.
type answer struct {
	maxBytes int
	budget   *bytebudget.Budget
	// header is the map that the handler changes.
	header http.Header

	mutex          sync.Mutex
	changed        sync.Cond
	interimAnswers []interimAnswer
	// status is 0 until the handler writes the head; head is a copy of header at that
	// moment.
	status int
	head   http.Header
	body   []byte
	// writer is the server's writer; nil while the answer is buffered.
	writer          http.ResponseWriter
	handlerReturned bool
	complete        bool
	dropped         bool
}

func newAnswer(maxBytes int, budget *bytebudget.Budget) *answer {
	created := &answer{maxBytes: maxBytes, budget: budget, header: http.Header{}}
	created.changed.L = &created.mutex
	return created
}

// Header returns the header that the handler changes.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader writes an interim answer or the head.
func (a *answer) WriteHeader(status int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.writeHead(status)
}

func (a *answer) writeHead(status int) {
	if a.status != 0 {
		return
	}
	if status < http.StatusOK {
		a.interimAnswers = append(a.interimAnswers, interimAnswer{status: status, header: a.header.Clone()})
	} else {
		a.status = status
		a.head = maps.Clone(a.header)
	}
	a.changed.Broadcast()
}

// Write buffers bytes of the body or, in the answer's turn, passes them on. It blocks
// until that turn if the bytes would exceed the limits of the buffer.
func (a *answer) Write(text []byte) (int, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.writeHead(http.StatusOK)
	for a.writer == nil && !a.dropped && !a.tryBuffer(text) {
		a.changed.Wait()
	}
	if a.dropped {
		return 0, errDropped
	}
	if a.writer == nil {
		return len(text), nil
	}
	writer := a.writer
	a.mutex.Unlock()
	defer a.mutex.Lock()
	return writer.Write(text)
}

// tryBuffer buffers bytes if the limits allow it.
func (a *answer) tryBuffer(text []byte) bool {
	if len(a.body)+len(text) > a.maxBytes || !a.budget.TryReserve(int64(len(text))) {
		return false
	}
	a.body = append(a.body, text...)
	return true
}

// FlushError flushes the server's writer; it does nothing before the answer's turn.
func (a *answer) FlushError() error {
	a.mutex.Lock()
	writer := a.writer
	a.mutex.Unlock()
	if writer == nil {
		return nil
	}
	return http.NewResponseController(writer).Flush()
}

// SetWriteDeadline sets the deadline of the server's writer; it does nothing before the
// answer's turn.
func (a *answer) SetWriteDeadline(deadline time.Time) error {
	a.mutex.Lock()
	writer := a.writer
	a.mutex.Unlock()
	if writer == nil {
		return nil
	}
	return http.NewResponseController(writer).SetWriteDeadline(deadline)
}

// finish records that the handler has returned; complete is false if it panicked.
func (a *answer) finish(complete bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if complete {
		a.writeHead(http.StatusOK)
	}
	a.handlerReturned = true
	a.complete = complete
	a.changed.Broadcast()
}

// drop discards the answer and makes the handler's next write fail.
func (a *answer) drop() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.dropped = true
	a.releaseBuffer()
	a.changed.Broadcast()
}

// releaseBuffer empties the buffer and returns its bytes to the budget.
func (a *answer) releaseBuffer() {
	a.budget.Release(int64(len(a.body)))
	a.body = nil
}

// replay writes the answer and waits for its end. It returns false if the answer broke
// off. It does not write under the lock, so that the answer can be dropped while a write
// to a slow client blocks.
func (a *answer) replay(writer http.ResponseWriter) bool {
	if !a.awaitHead() {
		return false
	}
	a.replayHead(writer)
	for body := a.takeBuffered(writer); len(body) > 0; body = a.takeBuffered(writer) {
		// The server detects a failed write and then closes the connection.
		_, _ = writer.Write(body)
	}
	if !a.awaitEnd() {
		return false
	}
	a.replayTrailers(writer.Header())
	return true
}

// awaitHead waits for the head; false means that none will follow.
func (a *answer) awaitHead() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for a.status == 0 && !a.handlerReturned && !a.dropped {
		a.changed.Wait()
	}
	return a.status != 0 && !a.dropped
}

// awaitEnd waits for the handler to return; false means that the answer is incomplete.
func (a *answer) awaitEnd() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for !a.handlerReturned && !a.dropped {
		a.changed.Wait()
	}
	return a.complete && !a.dropped
}

// replayHead writes the interim answers and the head. The Connection header is that of
// the writer, not of the handler that ran ahead: the server decides whether the
// connection is kept.
func (a *answer) replayHead(writer http.ResponseWriter) {
	header := writer.Header()
	connectionValues, hasConnection := header["Connection"]
	for _, interim := range a.interimAnswers {
		maps.Copy(header, interim.header)
		writer.WriteHeader(interim.status)
		clear(header)
	}
	maps.Copy(header, a.head)
	delete(header, "Connection")
	if hasConnection {
		header["Connection"] = connectionValues
	}
	writer.WriteHeader(a.status)
}

// takeBuffered returns the buffered bytes and empties the buffer. If there are none, the
// handler writes to the writer from then on.
func (a *answer) takeBuffered(writer http.ResponseWriter) []byte {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	body := a.body
	a.releaseBuffer()
	if len(body) == 0 {
		a.writer = writer
	}
	a.changed.Broadcast()
	return body
}

// replayTrailers copies the trailers that the handler has set to the given header.
func (a *answer) replayTrailers(header http.Header) {
	for name, values := range a.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			header[name] = values
		}
	}
}
