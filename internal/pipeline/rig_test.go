package pipeline

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pipes is a listener of connections in memory.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newPipes() *pipes {
	return &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// rig is a server whose connections run ahead, or do not.
type rig struct {
	listener *pipes
	server   *http.Server
	config   *Config
	held     *Held
	// wrapped receives each connection that runs ahead.
	wrapped chan *Conn
	// waits receives how long each request has waited for its turn.
	waits chan time.Duration
	// started counts the requests that ran ahead.
	started atomic.Int64
}

type connKey struct{}

// safe tells whether a request may be repeated.
func safe(request *http.Request) bool {
	return request.Method == http.MethodGet || request.Method == http.MethodHead
}

// newRig serves a handler; with serial set the library alone does.
func newRig(t testing.TB, serial bool, handler http.HandlerFunc) *rig {
	made := &rig{listener: newPipes(), held: NewHeld(64 << 10), wrapped: make(chan *Conn, 1), waits: make(chan time.Duration, 16)}
	made.config = &Config{
		Calls: 4, InputBytes: 4 << 10, AnswerBytes: 2 << 10, Held: made.held,
		Handler: handler, MayRunAhead: safe, OnStart: func(int) { made.started.Add(1) },
	}
	made.server = &http.Server{Handler: handler, ErrorLog: nil}
	if !serial {
		made.server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			conn := request.Context().Value(connKey{}).(*Conn)
			call, waited := conn.Begin(request)
			select {
			case made.waits <- waited:
			default:
			}
			defer conn.End()
			if call != nil {
				call.Replay(writer)
				return
			}
			handler(writer, request)
		})
		made.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			ctx = context.WithValue(ctx, connKey{}, conn)
			conn.(*Conn).Bind(ctx)
			return ctx
		}
	}
	var listener net.Listener = made.listener
	if !serial {
		listener = &wrapping{Listener: made.listener, rig: made}
	}
	go func() { _ = made.server.Serve(listener) }()
	t.Cleanup(func() { _ = made.server.Close() })
	return made
}

// wrapping wraps the connections of a listener.
type wrapping struct {
	net.Listener
	rig *rig
}

func (w *wrapping) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	made := Wrap(conn, w.rig.config)
	select {
	case w.rig.wrapped <- made:
	default:
	}
	return made, nil
}

func (r *rig) dial() net.Conn {
	client, server := net.Pipe()
	r.listener.accepted <- server
	return client
}

// exchange sends pieces on one connection and returns all that came back.
func (r *rig) exchange(pieces [][]byte) []byte {
	conn := r.dial()
	defer conn.Close()
	go func() {
		for _, piece := range pieces {
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
	}()
	answered, _ := io.ReadAll(conn)
	return answered
}

// number reads one of the numbers of a test's query.
func number(request *http.Request, name string) int {
	value, err := strconv.Atoi(request.URL.Query().Get(name))
	if err != nil {
		return 0
	}
	return value
}
