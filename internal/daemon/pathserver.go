package daemon

import (
	"net"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/proxy"
)

// PathServer serves one side of the data path.
type PathServer struct {
	server *proxy.Server
	within CloseBound
	done   chan struct{}
}

// ServePath starts to serve one side of the data path.
func ServePath(listener net.Listener, server *proxy.Server, within CloseBound) *PathServer {
	path := &PathServer{server: server, within: within, done: make(chan struct{})}
	go func() {
		defer close(path.done)
		_ = path.server.Serve(listener) // always ErrServerClosed or a closed listener
	}()
	return path
}

// Shutdown lets running calls end within the bound, then cuts the rest.
func (p *PathServer) Shutdown() error {
	err := closeGently(p.server, p.within)
	<-p.done
	return errors.Trace(err)
}
