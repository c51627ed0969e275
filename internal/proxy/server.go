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
const answerLimit = 10 * time.Minute

// side is one side of a proxy as a handler. It knows the connections that it
// is served on, so that a drain's hard bound can end their calls.
type side struct {
	proxy *Proxy
	serve func(http.ResponseWriter, *http.Request)
	// callers is set for the callers' side.
	callers bool
}

// ServeHTTP serves one call.
func (s *side) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.serve(writer, request)
}

// onLiveConn runs a handler only on connections that are not retired. The answer
// of a request that has run ahead of its turn is replayed.
func onLiveConn(handler http.Handler, limits Limits) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, counted := request.Context().Value(connKey{}).(*countedConn)
		if !counted {
			handler.ServeHTTP(writer, request)
			return
		}
		if !conn.begin() {
			discardRetired(writer, request)
			panic(http.ErrAbortHandler)
		}
		if conn.ahead != nil {
			call, waited := conn.ahead.Begin(request)
			defer conn.ahead.End()
			callers := handler.(*side)
			callers.waited(request, waited, call != nil)
			if call != nil {
				callers.replay(writer, request, call)
				return
			}
			request = withWait(request, waited)
		}
		if conn.listener.stage.Load() != stageServing {
			refuseLeaving(writer, request, limits)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}

// refuseLeaving refuses a call because the server stops.
func refuseLeaving(writer http.ResponseWriter, request *http.Request, limits Limits) {
	writer.Header().Set("Connection", "close")
	control := http.NewResponseController(writer)
	body := newUpload(request, control, limits)
	defer body.finish()
	refuseCall(writer, body, leavingRefusal(0), limits.StallTimeout)
}

// discardRetired reads a little of a call that comes on a retired connection,
// so that closing it does not reset it before the caller has read why.
func discardRetired(writer http.ResponseWriter, request *http.Request) {
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(discardWait))
	_, _ = io.Copy(io.Discard, io.LimitReader(request.Body, discardBytes))
}

// Server serves one handler within limits.
type Server struct {
	inner  *http.Server
	limits Limits
	secure *tls.Config
	// ahead is nil when requests run in their turn only.
	ahead *pipeline.Config

	mutex     sync.Mutex
	listeners []*boundedListener
	stopping  bool
}

// NewServer returns a server for a handler of a proxy. Its limits bound
// headers, connections and the time that either may take.
func NewServer(handler http.Handler, limits Limits) *Server {
	limits = limits.withDefaults()
	inner := &http.Server{
		Handler:           onLiveConn(handler, limits),
		ReadHeaderTimeout: limits.HeaderTimeout,
		WriteTimeout:      answerLimit,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          quietLog,
	}
	open := &connections{}
	tracked, known := handler.(*side)
	if known {
		open = &tracked.proxy.connections
	}
	inner.ConnContext = open.open
	inner.ConnState = func(conn net.Conn, state http.ConnState) {
		if tracked != nil && tracked.callers {
			tracked.proxy.watchRest(conn, state)
		}
		open.change(conn, state)
	}
	server := &Server{inner: inner, limits: limits}
	if tracked != nil && tracked.callers {
		server.ahead = tracked.proxy.aheadConfig()
	}
	return server
}

// Secure has the server take TLS only; nil leaves it in the clear. It is
// called before Serve.
func (s *Server) Secure(config *tls.Config) *Server {
	s.secure = config
	return s
}

// Serve takes connections until the server is closed; it returns
// http.ErrServerClosed then.
func (s *Server) Serve(listener net.Listener) error {
	bounded := newBoundedListener(listener, s.limits.Connections)
	bounded.secure = s.secure
	bounded.quiet = s.limits.QuietClose
	bounded.ahead = s.ahead
	if !s.add(bounded) {
		_ = listener.Close()
		return http.ErrServerClosed
	}
	err := s.inner.Serve(bounded)
	if s.isStopping() {
		return http.ErrServerClosed
	}
	return err
}

func (s *Server) add(listener *boundedListener) bool {
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
func (s *Server) stop() []*boundedListener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopping = true
	return s.listeners
}

// Close ends all connections at once.
func (s *Server) Close() error {
	s.stop()
	return s.inner.Close()
}
