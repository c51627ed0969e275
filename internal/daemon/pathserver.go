package daemon

import (
	"net"
	"net/http"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/proxy"
)

// pathServer serves one side of the data path.
type pathServer struct {
	server *proxy.Server
	within closeBound
	done   chan struct{}
}

func servePath(listener net.Listener, handler http.Handler, limits proxy.Limits, within closeBound) *pathServer {
	path := &pathServer{server: proxy.NewServer(handler, limits), within: within, done: make(chan struct{})}
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
