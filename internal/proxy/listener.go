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

// refusalTimeout is the maximum time for which a refused connection is kept open.
const refusalTimeout = 250 * time.Millisecond

// maxRefusedConns is the maximum number of refused connections that are answered at a time;
// further refused connections are closed without an answer.
const maxRefusedConns = 64

// discardLog drops the log lines of the HTTP library: they concern single connections and do not
// have the form of this project's events.
var discardLog = log.New(io.Discard, "", 0)

// boundedListener limits the open connections: at the limit, a new connection replaces another one (see
// replaceConn) or is refused with a result code. It also adds a result code to the library's own refusals
// of malformed requests.
type boundedListener struct {
	net.Listener
	limit int64
	// closesIdleSilently closes idle connections without an answer that announces the close.
	closesIdleSilently bool
	// replacesBusy lets a new connection replace one that runs a request if none is idle.
	replacesBusy bool
	// bodies holds the bodies that have not arrived; the oldest is evicted for a new connection if none
	// is idle. Nil if none is evicted.
	bodies    *evictingBudget
	tlsConfig *tls.Config
	// pipelining is set if pipelined requests may run ahead of their turn; nil if not.
	pipelining *pipeline.Config
	// heads limits the heads of requests; nil if the HTTP library alone does so.
	heads         *headLimits
	openCount     atomic.Int64
	refusingCount atomic.Int64
	// replacedCount is the number of connections closed for new ones since the accept loop paused. Only
	// that loop uses it.
	replacedCount int
	// conns are the open connections, each stored and deleted once.
	conns sync.Map // the keys are of type *countedConn
	// stage is one of the stages in shutdown.go.
	stage atomic.Int32
	// acceptEnded is closed when Accept has ended.
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
			// The handshake takes place at the first read or write, in the connection's own
			// goroutine and within its deadlines.
			conn = tls.Server(conn, l.tlsConfig)
		}
		if l.stage.Load() == stageRetiring {
			l.refuseConnection(conn, stoppingRefusal(0))
			continue
		}
		if l.openCount.Add(1) <= l.limit || l.replaceConn() {
			limitedConn := newCountedConn(conn, l)
			l.conns.Store(limitedConn, struct{}{})
			return limitedConn, nil
		}
		l.openCount.Add(-1)
		l.refuseConnection(conn, Refusal{
			Code:       result.Overloaded,
			Detail:     "The listener has as many connections as it may.",
			RetryAfter: time.Second,
		})
	}
}

// handleAcceptError returns err while the listener serves, and net.ErrClosed once it is closed or
// stopping.
func (l *boundedListener) handleAcceptError(err error) error {
	if l.stage.Load() == stageServing && !errors.Is(err, net.ErrClosed) {
		return err
	}
	l.acceptEndedOnce.Do(func() { close(l.acceptEnded) })
	return net.ErrClosed
}

// refuseConnection answers the first call of a connection that is not accepted and closes the
// connection. It waits for the call, because a caller may ignore an answer that precedes its
// request.
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
		sendRefusal(conn, refusal)
	}()
}

// sendRefusal writes a refusal as the last answer of a connection, closes the sending side and reads what
// the caller still sends: closing a connection with unread bytes would reset it before the caller has
// read the refusal. The deadline of the connection must be set.
func sendRefusal(conn net.Conn, refusal Refusal) {
	if _, err := conn.Write(rawRefusal(refusal)); err != nil {
		return
	}
	if writeSide, ok := conn.(writeCloser); ok {
		_ = writeSide.CloseWrite() // the connection is closed anyway
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxDiscardBytes))
}

// countedConn is a connection that counts towards the limit until closed.
type countedConn struct {
	net.Conn
	listener *boundedListener
	// pipelined is the same connection as Conn if pipelined requests may run ahead of their turn,
	// else nil.
	pipelined *pipeline.Conn
	closeOnce sync.Once
	phase     atomic.Int32
	// phaseSince is when the connection was accepted or its last call began or ended, in nanoseconds
	// since phaseOrigin.
	phaseSince atomic.Int64
	// isUsed is set once the connection has carried a call.
	isUsed    atomic.Bool
	idleTimer idleTimer
	head      headReader
	// requestMemory is the memory that is reserved for the current request, in bytes.
	requestMemory atomic.Int64
}

func newCountedConn(conn net.Conn, listener *boundedListener) *countedConn {
	limitedConn := &countedConn{Conn: conn, listener: listener}
	limitedConn.markPhase()
	if listener.pipelining != nil {
		limitedConn.pipelined = pipeline.Wrap(conn, listener.pipelining)
		limitedConn.Conn = limitedConn.pipelined
	}
	return limitedConn
}

// phaseOrigin is the origin of countedConn.phaseSince.
var phaseOrigin = time.Now()

// markPhase records the current time as that of a change of the phase.
func (c *countedConn) markPhase() { c.phaseSince.Store(int64(time.Since(phaseOrigin))) }

// hasPendingAnswers reports whether requests behind the current one have run ahead, or are running,
// and are not answered yet.
func (c *countedConn) hasPendingAnswers() bool {
	return c.pipelined != nil && c.pipelined.HasPendingAnswers()
}

// The phases of a connection.
const (
	// phaseIdle lasts while no handler runs, also before the first call. Only the HTTP library
	// itself writes then.
	phaseIdle = iota
	// phaseBusy lasts from the start of a handler until its answer is sent.
	phaseBusy
	// phaseRetired means that no further call will be begun.
	phaseRetired
)

// beginCall marks the start of a call. False means that the connection is retired and the call must
// not run.
func (c *countedConn) beginCall() bool {
	c.idleTimer.reset(0, c)
	c.markPhase()
	c.isUsed.Store(true)
	return c.phase.CompareAndSwap(phaseIdle, phaseBusy) || c.phase.Load() == phaseBusy
}

// endCall marks the end of a call. If the listener is already retiring its idle connections, the
// connection is retired now.
func (c *countedConn) endCall() {
	c.releaseRequest()
	c.head.reset()
	c.markPhase()
	c.phase.CompareAndSwap(phaseBusy, phaseIdle)
	if c.listener.stage.Load() == stageRetiring {
		c.retire()
	}
}

// connKey is the context key under which a request's context holds its connection.
type connKey struct{}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() {
		c.idleTimer.reset(0, c)
		c.listener.openCount.Add(-1)
		c.listener.conns.Delete(c)
	})
	// Each time: the server closes a connection once it reads no more, also one that was closed while a
	// head arrived.
	c.releaseRequest()
	return c.Conn.Close()
}

// Read reads for the HTTP library, which gets the head of a request only once it is complete. A read of
// a single byte while no handler runs only detects that the caller disconnects.
func (c *countedConn) Read(buffer []byte) (int, error) {
	if !c.head.text.isEmpty() {
		return c.head.text.take(buffer), nil
	}
	if c.listener.heads == nil || len(buffer) <= 1 || c.phase.Load() != phaseIdle {
		return c.Conn.Read(buffer)
	}
	return c.readHead(buffer)
}

// CloseWrite closes the sending side. The HTTP library calls it before it closes a connection with
// unread input.
func (c *countedConn) CloseWrite() error {
	if writeSide, ok := c.Conn.(writeCloser); ok {
		return writeSide.CloseWrite()
	}
	return nil
}

// The HTTP library answers requests that it can't parse with a single write of the whole answer,
// while no handler runs.
const (
	statusLinePrefix = "HTTP/1.1 "
	// firstErrorStatus and headersTooLargeStatus are HTTP statuses as the library writes them.
	firstErrorStatus      = "400"
	headersTooLargeStatus = "431"
)

// Write sends bytes and adds a result code to the library's own refusals.
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

// rawRefusal returns a refusal as the bytes of an HTTP/1.1 answer.
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

// answerRecorder is an http.ResponseWriter that records one answer.
type answerRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the recorded headers.
func (w *answerRecorder) Header() http.Header { return w.header }

// WriteHeader records the status.
func (w *answerRecorder) WriteHeader(status int) { w.status = status }

// Write appends to the recorded body.
func (w *answerRecorder) Write(text []byte) (int, error) { return w.body.Write(text) }
