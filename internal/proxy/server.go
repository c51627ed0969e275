package proxy

import (
	"context"
	"net"
	"net/http"
)

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
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
	return &Server{inner: inner, limits: limits}
}

// Serve takes connections until the server is closed; it returns
// http.ErrServerClosed then.
func (s *Server) Serve(listener net.Listener) error {
	return s.inner.Serve(listener)
}

// Shutdown stops taking connections and waits for the calls that run.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.inner.Shutdown(ctx)
}

// Close ends all connections at once.
func (s *Server) Close() error {
	return s.inner.Close()
}
