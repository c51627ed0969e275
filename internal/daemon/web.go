package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Bounds of the operators' and admin servers.
const (
	webHeaderTimeout = 5 * time.Second
	webReadTimeout   = 15 * time.Second
	webWriteTimeout  = 60 * time.Second
	webIdleTimeout   = 60 * time.Second
	webHeaderBytes   = 16 << 10
)

// WebServer serves one small HTTP API.
type WebServer struct {
	server *http.Server
	within CloseBound
	done   chan struct{}
}

// ServeWeb starts to serve a handler. secure is for TLS; nil serves in the
// clear.
func ServeWeb(listener net.Listener, secure *tls.Config, handler http.Handler, within CloseBound) *WebServer {
	web := &WebServer{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: webHeaderTimeout,
			ReadTimeout:       webReadTimeout,
			WriteTimeout:      webWriteTimeout,
			IdleTimeout:       webIdleTimeout,
			MaxHeaderBytes:    webHeaderBytes,
		},
		within: within,
		done:   make(chan struct{}),
	}
	if secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	go func() {
		defer close(web.done)
		_ = web.server.Serve(listener) // always ErrServerClosed or a closed listener
	}()
	return web
}

// Shutdown lets running calls end within the bound, then closes all
// connections.
func (w *WebServer) Shutdown() error {
	err := closeGently(w.server, w.within)
	<-w.done
	return errors.Trace(err)
}
