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

	"github.com/springstack/springstack/internal/bytebudget"
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
	listener   *pipeListener
	httpServer *http.Server
	config     *Config
	budget     *bytebudget.Budget
	// unread limits the unread bytes, admitted the number of requests that run ahead at a time.
	unread   *bytebudget.Budget
	admitted *bytebudget.Budget
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
	created := &testServer{listener: newPipeListener(), budget: bytebudget.New(64 << 10), unread: bytebudget.New(6 << 10), admitted: bytebudget.New(3), conns: make(chan *Conn, 1), turnWaits: make(chan time.Duration, 16)}
	created.config = &Config{
		Calls: 4, InputBytes: 4 << 10, AnswerBytes: 2 << 10, Held: created.budget, Unread: created.unread, Admit: created.admit,
		Handler: handler, MayRunAhead: isRepeatable, OnStart: func(int) { created.aheadCount.Add(1) },
	}
	created.httpServer = &http.Server{Handler: handler, ErrorLog: nil}
	if !serial {
		created.httpServer.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			conn := request.Context().Value(connKey{}).(*Conn)
			call, waited := conn.BeginRequest(request)
			select {
			case created.turnWaits <- waited:
			default:
			}
			defer conn.EndRequest()
			if call != nil {
				call.Replay(writer)
				return
			}
			handler(writer, request)
		})
		created.httpServer.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			ctx = context.WithValue(ctx, connKey{}, conn)
			conn.(*Conn).Bind(ctx)
			return ctx
		}
	}
	var listener net.Listener = created.listener
	if !serial {
		listener = &wrappingListener{Listener: created.listener, server: created}
	}
	go func() { _ = created.httpServer.Serve(listener) }()
	t.Cleanup(func() { _ = created.httpServer.Close() })
	return created
}

// admit admits a request while fewer than the limit run ahead.
func (s *testServer) admit([]byte) (release func(), admitted bool) {
	return func() { s.admitted.Release(1) }, s.admitted.TryReserve(1)
}

// wrappingListener wraps each accepted connection in a Conn, and sends the first one to the
// channel conns of the server.
type wrappingListener struct {
	net.Listener
	server *testServer
}

func (w *wrappingListener) Accept() (net.Conn, error) {
	conn, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrappedConn := Wrap(conn, w.server.config)
	select {
	case w.server.conns <- wrappedConn:
	default:
	}
	return wrappedConn, nil
}

func (s *testServer) dial() net.Conn {
	client, server := net.Pipe()
	s.listener.accepted <- server
	return client
}

// exchange sends pieces on one connection and returns all bytes that the server sent.
func (s *testServer) exchange(pieces [][]byte) []byte {
	conn := s.dial()
	defer conn.Close()
	go func() {
		for _, piece := range pieces {
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
	}()
	answers, _ := io.ReadAll(conn)
	return answers
}

// queryInt returns an integer of the request's query; 0 if it is missing.
func queryInt(request *http.Request, name string) int {
	value, err := strconv.Atoi(request.URL.Query().Get(name))
	if err != nil {
		return 0
	}
	return value
}

// awaitReleased waits until no memory is reserved for requests or their unread bytes.
func (s *testServer) awaitReleased(t testing.TB) {
	t.Helper()
	awaitCondition(t, func() bool { return s.admitted.Used() == 0 && s.unread.Used() == 0 })
}

// awaitCondition waits until a condition holds.
func awaitCondition(t testing.TB, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatal("the condition does not hold in time")
		}
		time.Sleep(time.Millisecond)
	}
}
