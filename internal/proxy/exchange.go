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

// errNoLength refuses an answer whose end can't be told from its being cut.
const errNoContentLength = errors.ConstError("the answer states no length, so that its end can't be told from a break")

// errUpgraded refuses an answer that leaves HTTP.
const errProtocolSwitch = errors.ConstError("the answer switches protocols")

// exchange is one request sent to one address and what came of it.
type exchange struct {
	// answer is the head of the answer, with its body to read; nil on failure.
	answer *http.Response
	// err is why there is no answer.
	err error
	// unsent is set when it is certain that not a byte was written.
	unsent bool
	// collected is set once the answer was read as far as it is held; whole when that is
	// all of it.
	collected bool
	complete  bool
	guard     *attemptGuard
	cancel    context.CancelFunc
}

// send makes one exchange. The outgoing request is written on one connection
// at most. The caller must call close.
// An answer that edge, if given, does not take for that of the request fails
// the exchange.
func (u *upstream) send(ctx context.Context, outgoing *http.Request, relay *interimRelay, edge *Edge) *exchange {
	attempt, cancel := context.WithCancel(ctx)
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
	answer, err := u.transport.RoundTrip(outgoing.WithContext(httptrace.WithClientTrace(attempt, trace)))
	if relay != nil {
		relay.stop()
	}
	if err == nil {
		err = checkAnswer(answer, u.acceptsUnframed)
	}
	if err == nil && edge != nil {
		err = edge.checkAnswer(outgoing.Header, answer)
	}
	made := &exchange{answer: answer, err: err, guard: guard, cancel: cancel}
	if err != nil {
		made.unsent = guard.seal()
		made.dropAnswer()
		return made
	}
	answer.Body = &watchedBody{ReadCloser: answer.Body, guard: guard}
	return made
}

// checkAnswer refuses answers that can't be passed on whole.
func checkAnswer(answer *http.Response, takesUnframed bool) error {
	if answer.StatusCode == http.StatusSwitchingProtocols {
		return errProtocolSwitch
	}
	untilClose := answer.ContentLength < 0 && len(answer.TransferEncoding) == 0
	if untilClose && !takesUnframed && answer.Request.Method != http.MethodHead {
		return errNoContentLength
	}
	return nil
}

// collect reads an answer of at most limit bytes whole, so that one that breaks
// off fails here, before anything of it was passed on. A longer one stays to
// be streamed.
func (e *exchange) collect(limit int) {
	if e.answer == nil || e.collected || limit <= 0 || e.answer.ContentLength > int64(limit) || e.answer.Header.Get("Trailer") != "" {
		return
	}
	e.collected = true
	var head bytes.Buffer
	if e.answer.ContentLength > 0 {
		head.Grow(int(e.answer.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&head, io.LimitReader(e.answer.Body, int64(limit)+1))
	if err != nil {
		e.err = err
		e.dropAnswer()
		return
	}
	if head.Len() > limit {
		rest := io.MultiReader(&head, e.answer.Body)
		e.answer.Body = collectedBody{Reader: rest, Closer: e.answer.Body}
		return
	}
	if !e.hasNoBody() {
		e.answer.ContentLength = int64(head.Len())
	}
	e.answer.Body = collectedBody{Reader: &head, Closer: e.answer.Body}
	e.complete = true
}

// hasNoBody tells whether the length of the answer speaks of a body that is
// not sent.
func (e *exchange) hasNoBody() bool {
	return e.answer.Request.Method == http.MethodHead || e.answer.StatusCode == http.StatusNotModified ||
		e.answer.StatusCode == http.StatusNoContent
}

// joinedBody reads what was collected and closes what it came from.
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

// close ends the exchange. An answer not read to its end costs the connection.
func (e *exchange) close() {
	if e.answer != nil {
		_ = e.answer.Body.Close()
	}
	e.cancel()
}

// running is closed when the other side has ended the exchange, after close;
// nil means that it had ended by then.
func (e *exchange) peerDone() <-chan struct{} { return e.guard.peerDone() }

// watchedBody tells the guard when an answer was read to its end.
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
