package proxy

import (
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/result"
)

// refusedWait bounds the time that a refused connection is kept open.
const refusedWait = time.Second

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
	limit    int64
	open     atomic.Int64
	refusing atomic.Int64
}

func newBoundedListener(inner net.Listener, limit int) *boundedListener {
	return &boundedListener{Listener: inner, limit: int64(limit)}
}

// Accept returns the next connection within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refuse(conn)
	}
}

// refuse answers a connection beyond the limit and closes it. It reads what
// the caller sends, for closing with unread bytes would reset the connection
// before the caller has read the refusal.
func (l *boundedListener) refuse(conn net.Conn) {
	if l.refusing.Add(1) > refusedLimit {
		l.refusing.Add(-1)
		_ = conn.Close()
		return
	}
	go func() {
		defer l.refusing.Add(-1)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(refusedWait))
		if _, err := conn.Write(plainRefusal(Refusal{
			Code:       result.Overloaded,
			Detail:     "The listener has as many connections as it may.",
			RetryAfter: time.Second,
		})); err != nil {
			return
		}
		if half, ok := conn.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, 64<<10))
	}()
}

// countedConn is a connection that counts towards the limit until closed.
type countedConn struct {
	net.Conn
	listener *boundedListener
	once     sync.Once
	// handling is set from the start of a handler until its answer has gone.
	// Outside of it only the library itself writes.
	handling atomic.Bool
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// CloseWrite ends the sending side, which the library does before it closes a
// connection with unread input.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(*net.TCPConn); ok {
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
	if c.handling.Load() || !prefixed || len(status) < len(firstError) {
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
