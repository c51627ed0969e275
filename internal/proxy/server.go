package proxy

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/pipeline"
)

// serverWriteTimeout is the write deadline that the server sets at the start of each
// request. Handlers set a shorter one before each write.
const serverWriteTimeout = 10 * time.Minute

// sideHandler is the HTTP handler of one side of a proxy: the callers' side or the gate.
// NewServer gets the proxy from it, so that the proxy can cancel the calls on the server's
// connections at the end of a drain.
type sideHandler struct {
	proxy *Proxy
	serve func(http.ResponseWriter, *http.Request)
	// isCallerSide is set for the callers' side.
	isCallerSide bool
}

// ServeHTTP handles one call.
func (s *sideHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.serve(writer, request)
}

// withConnChecks wraps a handler with the checks of the request's connection: it aborts
// calls on retired connections, replays the answers of requests that have run ahead of
// their turn, and refuses calls while the server stops.
func withConnChecks(handler http.Handler, limits Limits) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, isCounted := request.Context().Value(connKey{}).(*countedConn)
		if !isCounted {
			handler.ServeHTTP(writer, request)
			return
		}
		if !conn.beginCall() {
			discardRetiredCall(writer, request)
			panic(http.ErrAbortHandler)
		}
		if conn.pipelined != nil {
			call, waited := conn.pipelined.BeginRequest(request)
			defer conn.pipelined.EndRequest()
			side := handler.(*sideHandler)
			side.recordTurnWait(request, waited, call != nil)
			if call != nil {
				side.replayAnswer(writer, request, call)
				return
			}
			request = withTurnWait(request, waited)
		}
		if conn.listener.stage.Load() != stageServing {
			refuseStopping(writer, request, limits)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}

// refuseStopping refuses a call because the server stops.
func refuseStopping(writer http.ResponseWriter, request *http.Request, limits Limits) {
	writer.Header().Set("Connection", "close")
	control := http.NewResponseController(writer)
	body := newUpload(request, control, limits, nil)
	defer body.finish()
	writeRefusal(writer, body, stoppingRefusal(0), limits.StallTimeout)
}

// discardRetiredCall reads a limited part of a call that arrives on a retired connection.
// Closing a connection with unread bytes resets it, and the caller could then lose the
// announcement of the close.
func discardRetiredCall(writer http.ResponseWriter, request *http.Request) {
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(maxDiscardWait))
	_, _ = io.Copy(io.Discard, io.LimitReader(request.Body, maxDiscardBytes))
}

// Server serves the handler of one side of a proxy within limits.
type Server struct {
	httpServer *http.Server
	limits     Limits
	tlsConfig  *tls.Config
	// pipelineConfig is nil if no request runs ahead of its turn.
	pipelineConfig *pipeline.Config
	// heads is nil for handlers that are neither those of a proxy nor those of a web server.
	heads *headLimits
	// bodies holds the bodies that have not arrived; nil unless the server is that of the callers' side.
	bodies *evictingBudget
	// isWeb is set for a server that NewWebServer has returned.
	isWeb bool

	mutex     sync.Mutex
	listeners []*boundedListener
	stopping  bool
}

// NewServer returns a server for a handler of a proxy. The limits apply to the size of
// headers, the number of connections, and the time that headers and idle connections may
// take.
func NewServer(handler http.Handler, limits Limits) *Server {
	limits = limits.withDefaults()
	httpServer := &http.Server{
		Handler:           withConnChecks(handler, limits),
		ReadHeaderTimeout: limits.HeaderTimeout,
		WriteTimeout:      serverWriteTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          discardLog,
	}
	contexts := &connectionContexts{}
	side, isSideHandler := handler.(*sideHandler)
	if isSideHandler {
		contexts = &side.proxy.connContexts
	}
	httpServer.ConnContext = contexts.addConn
	httpServer.ConnState = func(conn net.Conn, state http.ConnState) {
		if side != nil && side.isCallerSide {
			side.proxy.updateIdleTimer(conn, state)
		}
		contexts.onStateChange(conn, state)
	}
	server := &Server{httpServer: httpServer, limits: limits}
	if isSideHandler {
		server.limitHeads(side.headLimits())
	}
	if side != nil && side.isCallerSide {
		server.pipelineConfig = side.proxy.pipelineConfig(server.heads)
		server.bodies = side.proxy.bodyMemory
	}
	return server
}

// NewWebServer returns a server for a handler with small requests and answers, each of which takes a
// moment. Its limits apply as in NewServer. At the maximum number of connections, a new one replaces
// the oldest.
func NewWebServer(handler http.Handler, limits Limits) *Server {
	server := NewServer(handler, limits)
	server.isWeb = true
	server.limitHeads(newHeadLimits(server.limits))
	server.httpServer.ReadTimeout = server.limits.StallTimeout
	server.httpServer.WriteTimeout = 2 * server.limits.StallTimeout
	return server
}

// limitHeads sets limits of heads, in place of the library's own. It must be called before Serve.
func (s *Server) limitHeads(heads *headLimits) {
	s.heads = heads
	s.httpServer.MaxHeaderBytes = unlimitedHeadBytes
	// The library would answer requests for * without the handler, which marks the end of a head.
	s.httpServer.DisableGeneralOptionsHandler = true
}

// SetTLS makes the server accept only TLS connections, or unencrypted ones if config is
// nil. It must be called before Serve. It returns the server.
func (s *Server) SetTLS(config *tls.Config) *Server {
	s.tlsConfig = config
	return s
}

// Serve accepts connections until the server is closed or shut down, and then returns
// http.ErrServerClosed.
func (s *Server) Serve(listener net.Listener) error {
	limitedListener := newBoundedListener(listener, s.limits.Connections)
	limitedListener.tlsConfig = s.tlsConfig
	limitedListener.closesIdleSilently = s.limits.QuietClose
	limitedListener.pipelining = s.pipelineConfig
	limitedListener.heads = s.heads
	limitedListener.replacesBusy = s.isWeb
	limitedListener.bodies = s.bodies
	if !s.addListener(limitedListener) {
		_ = listener.Close()
		return http.ErrServerClosed
	}
	err := s.httpServer.Serve(limitedListener)
	if s.isStopping() {
		return http.ErrServerClosed
	}
	return err
}

func (s *Server) addListener(listener *boundedListener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.stopping {
		s.listeners = append(s.listeners, listener)
	}
	return !s.stopping
}

func (s *Server) isStopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopping
}

// markStopping marks the server as stopping and returns its listeners.
func (s *Server) markStopping() []*boundedListener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping = true
	return s.listeners
}

// Close closes all connections at once.
func (s *Server) Close() error {
	s.markStopping()
	return s.httpServer.Close()
}
