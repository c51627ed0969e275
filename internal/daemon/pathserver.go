package daemon

import (
	"net"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/proxy"
)

// pathServer serves one side of the data path.
type pathServer struct {
	server *proxy.Server
	within closeBound
	done   chan struct{}
}

func servePath(listener net.Listener, server *proxy.Server, within closeBound) *pathServer {
	path := &pathServer{server: server, within: within, done: make(chan struct{})}
	go func() {
		defer close(path.done)
		_ = path.server.Serve(listener) // always ErrServerClosed or a closed listener
	}()
	return path
}

// Shutdown lets running calls end within the bound, then cuts the rest.
func (p *pathServer) Shutdown() error {
	err := closeGently(p.server, p.within)
	<-p.done
	return errors.Trace(err)
}
