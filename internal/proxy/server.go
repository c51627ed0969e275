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

// answerLimit is the write deadline that the server sets at the start of each
// request; handlers set a nearer one before each write.
const serverWriteTimeout = 10 * time.Minute

// side is one side of a proxy as a handler. It knows the connections that it
// is served on, so that a drain's hard bound can end their calls.
type sideHandler struct {
	proxy *Proxy
	serve func(http.ResponseWriter, *http.Request)
	// callers is set for the callers' side.
	isCallerSide bool
}

// ServeHTTP serves one call.
func (s *sideHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.serve(writer, request)
}

// onLiveConn runs a handler only on connections that are not retired. The answer
// of a request that has run ahead of its turn is replayed.
func withConnChecks(handler http.Handler, limits Limits) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, counted := request.Context().Value(connKey{}).(*countedConn)
		if !counted {
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
			callers := handler.(*sideHandler)
			callers.recordTurnWait(request, waited, call != nil)
			if call != nil {
				callers.replayAnswer(writer, request, call)
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

// refuseLeaving refuses a call because the server stops.
func refuseStopping(writer http.ResponseWriter, request *http.Request, limits Limits) {
	writer.Header().Set("Connection", "close")
	control := http.NewResponseController(writer)
	body := newUpload(request, control, limits)
	defer body.finish()
	writeRefusal(writer, body, stoppingRefusal(0), limits.StallTimeout)
}

// discardRetired reads a little of a call that comes on a retired connection,
// so that closing it does not reset it before the caller has read why.
func discardRetiredCall(writer http.ResponseWriter, request *http.Request) {
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(discardWait))
	_, _ = io.Copy(io.Discard, io.LimitReader(request.Body, discardBytes))
}

// Server serves one handler within limits.
type Server struct {
	httpServer *http.Server
	limits     Limits
	tlsConfig  *tls.Config
	// ahead is nil when requests run in their turn only.
	pipelineConfig *pipeline.Config

	mutex     sync.Mutex
	listeners []*boundedListener
	stopping  bool
}

// NewServer returns a server for a handler of a proxy. Its limits bound
// headers, connections and the time that either may take.
func NewServer(handler http.Handler, limits Limits) *Server {
	limits = limits.withDefaults()
	inner := &http.Server{
		Handler:           withConnChecks(handler, limits),
		ReadHeaderTimeout: limits.HeaderTimeout,
		WriteTimeout:      serverWriteTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          discardLog,
	}
	open := &connectionContexts{}
	tracked, known := handler.(*sideHandler)
	if known {
		open = &tracked.proxy.connections
	}
	inner.ConnContext = open.addConn
	inner.ConnState = func(conn net.Conn, state http.ConnState) {
		if tracked != nil && tracked.isCallerSide {
			tracked.proxy.updateIdleTimer(conn, state)
		}
		open.onStateChange(conn, state)
	}
	server := &Server{httpServer: inner, limits: limits}
	if tracked != nil && tracked.isCallerSide {
		server.pipelineConfig = tracked.proxy.pipelineConfig()
	}
	return server
}

// Secure has the server take TLS only; nil leaves it in the clear. It is
// called before Serve.
func (s *Server) SetTLS(config *tls.Config) *Server {
	s.tlsConfig = config
	return s
}

// Serve takes connections until the server is closed; it returns
// http.ErrServerClosed then.
func (s *Server) Serve(listener net.Listener) error {
	bounded := newBoundedListener(listener, s.limits.Connections)
	bounded.tlsConfig = s.tlsConfig
	bounded.closesIdleSilently = s.limits.QuietClose
	bounded.pipelining = s.pipelineConfig
	if !s.addListener(bounded) {
		_ = listener.Close()
		return http.ErrServerClosed
	}
	err := s.httpServer.Serve(bounded)
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

// stop marks the server as stopping and returns its listeners.
func (s *Server) markStopping() []*boundedListener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping = true
	return s.listeners
}

// Close ends all connections at once.
func (s *Server) Close() error {
	s.markStopping()
	return s.httpServer.Close()
}
