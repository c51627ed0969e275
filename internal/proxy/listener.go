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
const refusedWait = 250 * time.Millisecond

// refusedLimit bounds the refused connections that are answered at a time;
// those beyond it are closed without a word.
const refusedLimit = 64

// quietLog drops the library's own lines: they are about single connections
// and are not in the project's form.
var quietLog = log.New(io.Discard, "", 0)

// boundedListener refuses connections beyond a limit, with a code, and gives
// the library's own refusals of malformed requests a code.
type boundedListener struct {
	net.Listener
	limit int64
	// quiet closes idle connections without an announcing answer.
	quiet  bool
	secure *tls.Config
	// ahead is set when requests of a connection may run ahead of their turn.
	ahead    *pipeline.Config
	open     atomic.Int64
	refusing atomic.Int64
	// conns are the open connections, entered and left once each.
	conns sync.Map // of *countedConn
	// stage is one of the stages in shutdown.go.
	stage atomic.Int32
	// emptied is closed when Accept has ended.
	emptied     chan struct{}
	emptiedOnce sync.Once
	closeOnce   sync.Once
}

func newBoundedListener(inner net.Listener, limit int) *boundedListener {
	return &boundedListener{Listener: inner, limit: int64(limit), emptied: make(chan struct{})}
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
			return nil, l.acceptFailed(err)
		}
		if l.secure != nil {
			// The handshake takes place at the first reading or writing, in the
			// connection's own goroutine and within its deadlines.
			conn = tls.Server(conn, l.secure)
		}
		if l.stage.Load() == stageRetiring {
			l.refuse(conn, leavingRefusal(0))
			continue
		}
		if l.open.Add(1) <= l.limit {
			counted := newCountedConn(conn, l)
			l.conns.Store(counted, struct{}{})
			return counted, nil
		}
		l.open.Add(-1)
		l.refuse(conn, Refusal{
			Code:       result.Overloaded,
			Detail:     "The listener has as many connections as it may.",
			RetryAfter: time.Second,
		})
	}
}

// acceptFailed tells the server whether to go on accepting.
func (l *boundedListener) acceptFailed(err error) error {
	if l.stage.Load() == stageServing && !errors.Is(err, net.ErrClosed) {
		return err
	}
	l.emptiedOnce.Do(func() { close(l.emptied) })
	return net.ErrClosed
}

// refuse answers the first call of a connection that is not taken and closes
// it. It waits for the call, for a caller may not heed an answer that comes
// before; and it reads what the caller sends after it, for closing with unread
// bytes would reset the connection before the caller has read the refusal.
func (l *boundedListener) refuse(conn net.Conn, refusal Refusal) {
	if l.refusing.Add(1) > refusedLimit {
		l.refusing.Add(-1)
		_ = conn.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(refusedWait))
		if _, err := conn.Read(make([]byte, refusalBytes)); err != nil {
			return
		}
		if _, err := conn.Write(plainRefusal(refusal)); err != nil {
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
	ahead *pipeline.Conn
	once  sync.Once
	phase atomic.Int32
	rest  restTimer
}

func newCountedConn(conn net.Conn, listener *boundedListener) *countedConn {
	counted := &countedConn{Conn: conn, listener: listener}
	if listener.ahead != nil {
		counted.ahead = pipeline.Wrap(conn, listener.ahead)
		counted.Conn = counted.ahead
	}
	return counted
}

// owes tells whether answers are owed to requests behind the current one that
// run or have run ahead.
func (c *countedConn) owes() bool { return c.ahead != nil && c.ahead.Pending() }

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
func (c *countedConn) begin() bool {
	c.rest.await(0, c)
	return c.phase.CompareAndSwap(phaseIdle, phaseBusy) || c.phase.Load() == phaseBusy
}

// finished marks the end of a call. A connection that outlived the stage in
// which it could be retired is retired now.
func (c *countedConn) finished() {
	c.phase.CompareAndSwap(phaseBusy, phaseIdle)
	if c.listener.stage.Load() == stageRetiring {
		c.retire()
	}
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.rest.await(0, c)
		c.listener.open.Add(-1)
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
	libraryPrefix = "HTTP/1.1 "
	// firstError and tooLarge are its statuses, as digits.
	firstError = "400"
	tooLarge   = "431"
)

// Write sends bytes, giving the library's own refusals a code.
func (c *countedConn) Write(text []byte) (int, error) {
	status, prefixed := bytes.CutPrefix(text, []byte(libraryPrefix))
	if c.phase.Load() != phaseIdle || !prefixed || len(status) < len(firstError) {
		return c.Conn.Write(text)
	}
	digits := string(status[:len(firstError)])
	if digits < firstError {
		return c.Conn.Write(text)
	}
	refusal := Refusal{Code: result.RequestMalformed}
	if digits == tooLarge {
		refusal.Code = result.RequestTooLarge
	}
	if _, detail, found := bytes.Cut(text, []byte("\r\n\r\n")); found {
		refusal.Detail = string(detail)
	}
	if _, err := c.Conn.Write(plainRefusal(refusal)); err != nil {
		return 0, err
	}
	return len(text), nil
}

// plainRefusal is a refusal as the bytes of an HTTP/1.1 answer.
func plainRefusal(refusal Refusal) []byte {
	recorder := &plainWriter{header: http.Header{}}
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
type plainWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the headers.
func (w *plainWriter) Header() http.Header { return w.header }

// WriteHeader keeps the status.
func (w *plainWriter) WriteHeader(status int) { w.status = status }

// Write keeps the body.
func (w *plainWriter) Write(text []byte) (int, error) { return w.body.Write(text) }
