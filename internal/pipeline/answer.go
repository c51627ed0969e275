package pipeline

import (
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// errDropped is what a handler reads whose answer nobody will take.
const errDropped = errors.ConstError("the connection has ended before the answer's turn")

// interim is an answer of status 1xx.
type interim struct {
	status int
	header http.Header
}

// answer is the answer of a call: held until its turn, and passed on from then.
// It is the http.ResponseWriter of the handler.
type answer struct {
	maxBytes int
	budget   *ByteBudget
	// header is the handler's own.
	header http.Header

	mutex   sync.Mutex
	changed sync.Cond
	interim []interim
	// status is 0 until the head is made; head is what it then was.
	status int
	head   http.Header
	body   []byte
	// writer is the server's; nil before the answer's turn.
	writer          http.ResponseWriter
	handlerReturned bool
	complete        bool
	dropped         bool
}

func newAnswer(limit int, held *ByteBudget) *answer {
	made := &answer{maxBytes: limit, budget: held, header: http.Header{}}
	made.changed.L = &made.mutex
	return made
}

// Header returns the handler's header.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader makes the head.
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
		a.interim = append(a.interim, interim{status: status, header: a.header.Clone()})
	} else {
		a.status = status
		a.head = maps.Clone(a.header)
	}
	a.changed.Broadcast()
}

// Write holds bytes of the body, or passes them on. It waits for the answer's
// turn when no more may be held.
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

// hold keeps bytes if they are within the bounds.
func (a *answer) tryBuffer(text []byte) bool {
	if len(a.body)+len(text) > a.maxBytes || !a.budget.tryReserve(len(text)) {
		return false
	}
	a.body = append(a.body, text...)
	return true
}

// FlushError passes on what the server buffers.
func (a *answer) FlushError() error {
	a.mutex.Lock()
	writer := a.writer
	a.mutex.Unlock()
	if writer == nil {
		return nil
	}
	return http.NewResponseController(writer).Flush()
}

// SetWriteDeadline bounds the next write, once the answer's turn has come.
func (a *answer) SetWriteDeadline(deadline time.Time) error {
	a.mutex.Lock()
	writer := a.writer
	a.mutex.Unlock()
	if writer == nil {
		return nil
	}
	return http.NewResponseController(writer).SetWriteDeadline(deadline)
}

// end notes that the handler has returned; whole is false when it broke off.
func (a *answer) finish(whole bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if whole {
		a.writeHead(http.StatusOK)
	}
	a.handlerReturned = true
	a.complete = whole
	a.changed.Broadcast()
}

// drop gives up the answer.
func (a *answer) drop() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.dropped = true
	a.releaseBuffer()
	a.changed.Broadcast()
}

// release gives back what is held.
func (a *answer) releaseBuffer() {
	a.budget.release(len(a.body))
	a.body = nil
}

// replay writes the answer and waits for its end. It answers false when the
// answer broke off. It never writes under the lock, for a client that reads
// nothing must not keep anyone from dropping the answer.
func (a *answer) replay(writer http.ResponseWriter) bool {
	if !a.awaitHead() {
		return false
	}
	a.replayHead(writer)
	for body := a.takeBuffered(writer); len(body) > 0; body = a.takeBuffered(writer) {
		// A failed write is found by the server, which then closes the connection.
		_, _ = writer.Write(body)
	}
	if !a.awaitEnd() {
		return false
	}
	a.replayTrailers(writer.Header())
	return true
}

// awaitHead waits for the head; false means that there will be none.
func (a *answer) awaitHead() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for a.status == 0 && !a.handlerReturned && !a.dropped {
		a.changed.Wait()
	}
	return a.status != 0 && !a.dropped
}

// awaitEnd waits for the handler; false means that the answer is not whole.
func (a *answer) awaitEnd() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for !a.handlerReturned && !a.dropped {
		a.changed.Wait()
	}
	return a.complete && !a.dropped
}

// passHead writes interim answers and the head, which does not change any
// more. Whether the connection is kept is for the writer to say, not for the
// handler that ran ahead.
func (a *answer) replayHead(writer http.ResponseWriter) {
	header := writer.Header()
	connection, stated := header["Connection"]
	for _, one := range a.interim {
		maps.Copy(header, one.header)
		writer.WriteHeader(one.status)
		clear(header)
	}
	maps.Copy(header, a.head)
	delete(header, "Connection")
	if stated {
		header["Connection"] = connection
	}
	writer.WriteHeader(a.status)
}

// takeHeld takes what is held. When nothing is, the handler writes to the
// writer from then on.
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

// passTrailers passes on what the handler has set behind the body.
func (a *answer) replayTrailers(header http.Header) {
	for name, values := range a.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			header[name] = values
		}
	}
}
