package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/juju/errors"
)

// errNoContentLength is the error of an answer whose end can't be distinguished from a broken
// connection.
const errNoContentLength = errors.ConstError("the answer states no length, so that its end can't be told from a break")

// errProtocolSwitch is the error of an answer that switches to another protocol.
const errProtocolSwitch = errors.ConstError("the answer switches protocols")

// exchange is one request sent to one address, with its answer or error.
type exchange struct {
	// answer is the answer, whose body may still have to be read; nil on failure.
	answer *http.Response
	// err is the reason why there is no answer.
	err error
	// unsent is set on failure if it is certain that not a byte of the request was written.
	unsent bool
	// collected is set once collect has read the answer up to its limit, complete if that was
	// the whole answer.
	collected bool
	complete  bool
	// collectedBytes is the number of bytes that collect has read.
	collectedBytes int
	guard          *attemptGuard
	cancel         context.CancelFunc
}

// send makes one exchange, which the caller must close. The outgoing request is written on at most
// one connection. If edge is not nil, an answer that edge.checkAnswer rejects fails the exchange.
func (u *upstream) send(ctx context.Context, outgoing *http.Request, relay *interimRelay, edge *Edge) *exchange {
	attemptContext, cancel := context.WithCancel(ctx)
	guard := &attemptGuard{cancel: cancel}
	guard.deadline, _ = ctx.Deadline()
	if edge != nil {
		guard.answerHeader, guard.answerID = edge.RequestID, outgoing.Header.Get(edge.RequestID)
	}
	trace := &httptrace.ClientTrace{GotConn: guard.gotConn}
	if relay != nil {
		trace.Got1xxResponse = func(code int, header textproto.MIMEHeader) error {
			return relay.forward(code, http.Header(header))
		}
	}
	outgoing.GetBody = nil
	answer, err := u.transport.RoundTrip(outgoing.WithContext(httptrace.WithClientTrace(attemptContext, trace)))
	if relay != nil {
		relay.stop()
	}
	if err == nil {
		err = checkAnswer(answer, u.acceptsUnframed)
	}
	if err == nil && edge != nil {
		err = edge.checkAnswer(outgoing.Header, answer)
	}
	sentExchange := &exchange{answer: answer, err: err, guard: guard, cancel: cancel}
	if err != nil {
		sentExchange.unsent = guard.seal()
		sentExchange.dropAnswer()
		return sentExchange
	}
	answer.Body = &watchedBody{ReadCloser: answer.Body, guard: guard}
	return sentExchange
}

// checkAnswer returns an error if the answer switches protocols or, unless acceptsUnframed is set,
// if only the end of the connection would mark its end: a truncated answer could then be taken
// for a complete one.
func checkAnswer(answer *http.Response, acceptsUnframed bool) error {
	if answer.StatusCode == http.StatusSwitchingProtocols {
		return errProtocolSwitch
	}
	endsAtClose := answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
	if endsAtClose && !acceptsUnframed && answer.Request.Method != http.MethodHead {
		return errNoContentLength
	}
	return nil
}

// collect reads the whole body of an answer of at most limit bytes, so that an answer that breaks
// off fails the exchange before anything of it was sent on. A longer answer remains to be
// streamed.
func (e *exchange) collect(limit int) {
	if e.answer == nil || e.collected || limit <= 0 || e.answer.ContentLength > int64(limit) || e.answer.Header.Get("Trailer") != "" {
		return
	}
	e.collected = true
	var body bytes.Buffer
	if e.answer.ContentLength > 0 {
		body.Grow(int(e.answer.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&body, io.LimitReader(e.answer.Body, int64(limit)+1))
	if err != nil {
		e.err = err
		e.dropAnswer()
		return
	}
	e.collectedBytes = body.Len()
	if body.Len() > limit {
		whole := io.MultiReader(&body, e.answer.Body)
		e.answer.Body = collectedBody{Reader: whole, Closer: e.answer.Body}
		return
	}
	if !e.hasNoBody() {
		e.answer.ContentLength = int64(body.Len())
	}
	e.answer.Body = collectedBody{Reader: &body, Closer: e.answer.Body}
	e.complete = true
}

// hasNoBody reports whether the answer has no body, so that its Content-Length, if any, describes
// a body that is not sent.
func (e *exchange) hasNoBody() bool {
	return e.answer.Request.Method == http.MethodHead || e.answer.StatusCode == http.StatusNotModified ||
		e.answer.StatusCode == http.StatusNoContent
}

// collectedBody reads the collected bytes, followed by the rest if any, and closes the original
// body.
type collectedBody struct {
	io.Reader
	io.Closer
}

func (e *exchange) dropAnswer() {
	if e.answer != nil {
		_ = e.answer.Body.Close()
		e.answer = nil
	}
}

// close ends the exchange. If the answer has not been read to its end, its connection is closed.
func (e *exchange) close() {
	if e.answer != nil {
		_ = e.answer.Body.Close()
	}
	e.cancel()
}

// peerDone is called after close. It returns a channel that is closed when the other side has
// ended the exchange, or nil if the request was not written or the exchange has ended already.
func (e *exchange) peerDone() <-chan struct{} { return e.guard.peerDone() }

// watchedBody is the body of an answer that informs the guard when it has been read to its end.
type watchedBody struct {
	io.ReadCloser
	guard *attemptGuard
}

// Read reads from the answer.
func (b *watchedBody) Read(bytes []byte) (int, error) {
	count, err := b.ReadCloser.Read(bytes)
	if err == io.EOF {
		b.guard.markAnswerRead()
	}
	return count, err
}
