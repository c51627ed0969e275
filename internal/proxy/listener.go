package proxy

import (
	"bytes"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/springstack/springstack/internal/pipeline"
	"github.com/springstack/springstack/internal/result"
)

// refusedWait bounds the time that a refused connection is kept open.
const refusalTimeout = 250 * time.Millisecond

// refusedLimit bounds the refused connections that are answered at a time;
// those beyond it are closed without a word.
const maxRefusedConns = 64

// quietLog drops the library's own lines: they are about single connections
// and are not in the project's form.
var discardLog = log.New(io.Discard, "", 0)

// boundedListener refuses connections beyond a limit, with a code, and gives
// the library's own refusals of malformed requests a code.
type boundedListener struct {
	net.Listener
	limit int64
	// quiet closes idle connections without an announcing answer.
	closesIdleSilently bool
	tlsConfig          *tls.Config
	// ahead is set when requests of a connection may run ahead of their turn.
	pipelining    *pipeline.Config
	openCount     atomic.Int64
	refusingCount atomic.Int64
	// conns are the open connections, entered and left once each.
	conns sync.Map // of *countedConn
	// stage is one of the stages in shutdown.go.
	stage atomic.Int32
	// emptied is closed when Accept has ended.
	acceptEnded     chan struct{}
	acceptEndedOnce sync.Once
	closeOnce       sync.Once
}

func newBoundedListener(inner net.Listener, limit int) *boundedListener {
	return &boundedListener{Listener: inner, limit: int64(limit), acceptEnded: make(chan struct{})}
}

// Close closes the listener; closing it again does nothing.
func (l *boundedListener) Close() error {
	var err error
	l.closeOnce.Do(func() { err = l.Listener.Close() })
	return err
}

// Accept returns the next connection within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, l.handleAcceptError(err)
		}
		if l.tlsConfig != nil {
			// The handshake takes place at the first reading or writing, in the
			// connection's own goroutine and within its deadlines.
			conn = tls.Server(conn, l.tlsConfig)
		}
		if l.stage.Load() == stageRetiring {
			l.refuseConnection(conn, stoppingRefusal(0))
			continue
		}
		if l.openCount.Add(1) <= l.limit {
			counted := newCountedConn(conn, l)
			l.conns.Store(counted, struct{}{})
			return counted, nil
		}
		l.openCount.Add(-1)
		l.refuseConnection(conn, Refusal{
			Code:       result.Overloaded,
			Detail:     "The listener has as many connections as it may.",
			RetryAfter: time.Second,
		})
	}
}

// acceptFailed tells the server whether to go on accepting.
func (l *boundedListener) handleAcceptError(err error) error {
	if l.stage.Load() == stageServing && !errors.Is(err, net.ErrClosed) {
		return err
	}
	l.acceptEndedOnce.Do(func() { close(l.acceptEnded) })
	return net.ErrClosed
}

// refuse answers the first call of a connection that is not taken and closes
// it. It waits for the call, for a caller may not heed an answer that comes
// before; and it reads what the caller sends after it, for closing with unread
// bytes would reset the connection before the caller has read the refusal.
func (l *boundedListener) refuseConnection(conn net.Conn, refusal Refusal) {
	if l.refusingCount.Add(1) > maxRefusedConns {
		l.refusingCount.Add(-1)
		_ = conn.Close()
		return
	}
	go func() {
		defer l.refusingCount.Add(-1)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(refusalTimeout))
		if _, err := conn.Read(make([]byte, maxRefusalBytes)); err != nil {
			return
		}
		if _, err := conn.Write(rawRefusal(refusal)); err != nil {
			return
		}
		if half, ok := conn.(writeCloser); ok {
			_ = half.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, discardBytes))
	}()
}

// countedConn is a connection that counts towards the limit until closed.
type countedConn struct {
	net.Conn
	listener *boundedListener
	// ahead is Conn when requests may run ahead of their turn, and else nil.
	pipelined *pipeline.Conn
	closeOnce sync.Once
	phase     atomic.Int32
	idleTimer idleTimer
}

func newCountedConn(conn net.Conn, listener *boundedListener) *countedConn {
	counted := &countedConn{Conn: conn, listener: listener}
	if listener.pipelining != nil {
		counted.pipelined = pipeline.Wrap(conn, listener.pipelining)
		counted.Conn = counted.pipelined
	}
	return counted
}

// owes tells whether answers are owed to requests behind the current one that
// run or have run ahead.
func (c *countedConn) hasPendingAnswers() bool {
	return c.pipelined != nil && c.pipelined.HasPendingAnswers()
}

// The phases of a connection.
const (
	// phaseIdle: no call was begun since the last answer. Only the library
	// itself writes then.
	phaseIdle = iota
	// phaseBusy: from the start of a handler until its answer has gone.
	phaseBusy
	// phaseRetired: no call will be begun any more.
	phaseRetired
)

// begin marks the start of a call; false means that the connection is retired
// and that the call must not run.
func (c *countedConn) beginCall() bool {
	c.idleTimer.reset(0, c)
	return c.phase.CompareAndSwap(phaseIdle, phaseBusy) || c.phase.Load() == phaseBusy
}

// finished marks the end of a call. A connection that outlived the stage in
// which it could be retired is retired now.
func (c *countedConn) endCall() {
	c.phase.CompareAndSwap(phaseBusy, phaseIdle)
	if c.listener.stage.Load() == stageRetiring {
		c.retire()
	}
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() {
		c.idleTimer.reset(0, c)
		c.listener.openCount.Add(-1)
		c.listener.conns.Delete(c)
	})
	return c.Conn.Close()
}

// CloseWrite ends the sending side, which the library does before it closes a
// connection with unread input.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(writeCloser); ok {
		return half.CloseWrite()
	}
	return nil
}

// The library answers requests that it can't parse by one write of a whole
// answer, while no handler runs.
const (
	statusLinePrefix = "HTTP/1.1 "
	// firstError and tooLarge are its statuses, as digits.
	firstErrorStatus      = "400"
	headersTooLargeStatus = "431"
)

// Write sends bytes, giving the library's own refusals a code.
func (c *countedConn) Write(text []byte) (int, error) {
	status, prefixed := bytes.CutPrefix(text, []byte(statusLinePrefix))
	if c.phase.Load() != phaseIdle || !prefixed || len(status) < len(firstErrorStatus) {
		return c.Conn.Write(text)
	}
	digits := string(status[:len(firstErrorStatus)])
	if digits < firstErrorStatus {
		return c.Conn.Write(text)
	}
	refusal := Refusal{Code: result.RequestMalformed}
	if digits == headersTooLargeStatus {
		refusal.Code = result.RequestTooLarge
	}
	if _, detail, found := bytes.Cut(text, []byte("\r\n\r\n")); found {
		refusal.Detail = string(detail)
	}
	if _, err := c.Conn.Write(rawRefusal(refusal)); err != nil {
		return 0, err
	}
	return len(text), nil
}

// plainRefusal is a refusal as the bytes of an HTTP/1.1 answer.
func rawRefusal(refusal Refusal) []byte {
	recorder := &answerRecorder{header: http.Header{}}
	recorder.header.Set("Connection", "close")
	refusal.write(recorder)
	var text bytes.Buffer
	text.WriteString("HTTP/1.1 " + strconv.Itoa(recorder.status) + " " + http.StatusText(recorder.status) + "\r\n")
	// Writing to a buffer can't fail.
	_ = recorder.header.Write(&text)
	text.WriteString("\r\n")
	text.Write(recorder.body.Bytes())
	return text.Bytes()
}

// plainWriter keeps one answer.
type answerRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the headers.
func (w *answerRecorder) Header() http.Header { return w.header }

// WriteHeader keeps the status.
func (w *answerRecorder) WriteHeader(status int) { w.status = status }

// Write keeps the body.
func (w *answerRecorder) Write(text []byte) (int, error) { return w.body.Write(text) }
