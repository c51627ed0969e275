package proxy

import (
	"context"
	"net"
	"net/http"
	"time"
)

// answerLimit is the write deadline that the server sets at the start of each
// request; handlers set a nearer one before each write.
const answerLimit = 10 * time.Minute

// side is one side of a proxy as a handler. It knows the connections that it
// is served on, so that a drain's hard bound can end their calls.
type side struct {
	proxy *Proxy
	serve func(http.ResponseWriter, *http.Request)
}

// ServeHTTP serves one call.
func (s *side) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if conn, counted := request.Context().Value(connKey{}).(*countedConn); counted {
		conn.handling.Store(true)
	}
	s.serve(writer, request)
}

// Server serves one handler within limits.
type Server struct {
	inner  *http.Server
	limits Limits
}

// NewServer returns a server for a handler of a proxy. Its limits bound
// headers, connections and the time that either may take.
func NewServer(handler http.Handler, limits Limits) *Server {
	limits = limits.withDefaults()
	inner := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		WriteTimeout:      answerLimit,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          quietLog,
	}
	if tracked, known := handler.(*side); known {
		inner.ConnContext = tracked.proxy.connections.open
		inner.ConnState = tracked.proxy.connections.change
	}
	return &Server{inner: inner, limits: limits}
}

// Serve takes connections until the server is closed; it returns
// http.ErrServerClosed then.
func (s *Server) Serve(listener net.Listener) error {
	return s.inner.Serve(newBoundedListener(listener, s.limits.Connections))
}

// Shutdown stops taking connections and waits for the calls that run.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.inner.Shutdown(ctx)
}

// Close ends all connections at once.
func (s *Server) Close() error {
	return s.inner.Close()
}
