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

// pipeListener is a listener for in-memory connections.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.accepted:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// testServer is a server on a pipeListener, with or without requests that run ahead.
type testServer struct {
	listener *pipeListener
	server   *http.Server
	config   *Config
	budget   *ByteBudget
	// conns receives the first connection whose requests run ahead.
	conns chan *Conn
	// turnWaits receives how long each request has waited for its turn.
	turnWaits chan time.Duration
	// aheadCount counts the requests that ran ahead.
	aheadCount atomic.Int64
}

type connKey struct{}

// isRepeatable reports whether a request may be repeated.
func isRepeatable(request *http.Request) bool {
	return request.Method == http.MethodGet || request.Method == http.MethodHead
}

// newTestServer serves a handler. With serial set, it uses net/http without this package.
func newTestServer(t testing.TB, serial bool, handler http.HandlerFunc) *testServer {
	made := &testServer{listener: newPipeListener(), budget: NewByteBudget(64 << 10), conns: make(chan *Conn, 1), turnWaits: make(chan time.Duration, 16)}
	made.config = &Config{
		Calls: 4, InputBytes: 4 << 10, AnswerBytes: 2 << 10, Held: made.budget,
		Handler: handler, MayRunAhead: isRepeatable, OnStart: func(int) { made.aheadCount.Add(1) },
	}
	made.server = &http.Server{Handler: handler, ErrorLog: nil}
	if !serial {
		made.server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			conn := request.Context().Value(connKey{}).(*Conn)
			call, waited := conn.BeginRequest(request)
			select {
			case made.turnWaits <- waited:
			default:
			}
			defer conn.EndRequest()
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
		listener = &wrappingListener{Listener: made.listener, server: made}
	}
	go func() { _ = made.server.Serve(listener) }()
	t.Cleanup(func() { _ = made.server.Close() })
	return made
}

// wrappingListener wraps each accepted connection in a Conn.
type wrappingListener struct {
	net.Listener
	server *testServer
}

func (w *wrappingListener) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	made := Wrap(conn, w.server.config)
	select {
	case w.server.conns <- made:
	default:
	}
	return made, nil
}

func (r *testServer) dial() net.Conn {
	client, server := net.Pipe()
	r.listener.accepted <- server
	return client
}

// exchange sends pieces on one connection and returns all bytes that the server sent.
func (r *testServer) exchange(pieces [][]byte) []byte {
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

// queryInt returns an integer of the request's query; 0 if it is missing.
func queryInt(request *http.Request, name string) int {
	value, err := strconv.Atoi(request.URL.Query().Get(name))
	if err != nil {
		return 0
	}
	return value
}
