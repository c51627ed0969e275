package daemon

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/platform"
)

// Hollow is a daemon without a data path: the real core, shell and control
// connections. Experiments run many in one process, and a whole daemon is one
// with a data path and the other listening addresses round it.
type Hollow struct {
	shell  *Shell
	server *control.Server
	client *control.Client
	meter  *control.Meter
}

// HollowOptions are the parts of a hollow daemon.
type HollowOptions struct {
	// Config is the node's; its control address is taken from Listener.
	Config   node.Config
	Listener net.Listener
	Platform platform.Port
	// Path, Events and Clock may be nil: no data path, no log, a new clock.
	Path   DataPath
	Events EventLog
	Clock  Clock
	// ServerTLS and ClientTLS are for mutual TLS between daemons; nil for none.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Limits    control.Limits
	// Wrap, if set, stands between the control server and the node; baselines
	// of experiments use it.
	Wrap func(control.Handler) control.Handler
}

// NewHollow returns a hollow daemon that does not run yet.
func NewHollow(options HollowOptions) *Hollow {
	if options.Path == nil {
		options.Path = noPath{}
	}
	if options.Events == nil {
		options.Events = DiscardEvents()
	}
	if options.Clock == nil {
		options.Clock = NewClock()
	}
	if options.Limits == (control.Limits{}) {
		options.Limits = control.DefaultLimits()
	}
	options.Config.ControlAddress = options.Listener.Addr().String()
	meter := control.NewMeter()
	client := control.NewClient(options.ClientTLS, options.Limits, meter)
	shell := NewShell(ShellOptions{
		Node:     node.New(options.Config),
		Clock:    options.Clock,
		Peers:    client,
		Platform: options.Platform,
		Path:     options.Path,
		Events:   options.Events,
	})
	var handler control.Handler = shell
	if options.Wrap != nil {
		handler = options.Wrap(shell)
	}
	server := control.NewServer(options.Listener, options.ServerTLS, handler, options.Limits, meter)
	return &Hollow{shell: shell, server: server, client: client, meter: meter}
}

// Start begins to serve control calls and to step the node.
func (h *Hollow) Start() {
	h.server.Start()
	h.shell.Start()
}

// Stop ends the daemon at once, as a crash would, and waits for its
// goroutines.
func (h *Hollow) Stop() {
	h.shell.cancel()
	h.server.Close()
	h.client.Close()
	h.shell.Stop()
}

// Shell returns the node's shell.
func (h *Hollow) Shell() *Shell { return h.shell }

// Meter returns the counters of control bytes.
func (h *Hollow) Meter() *control.Meter { return h.meter }

// ControlAddress returns the IP and port of the control server.
func (h *Hollow) ControlAddress() string { return h.server.Address() }

// noPath is the data path of a daemon without one.
type noPath struct{}

// Swap does nothing.
func (noPath) Swap(*snapshot.Snapshot) {}

// PublishMembers does nothing.
func (noPath) PublishMembers([]protocol.Member) {}

// ExtendServing does nothing.
func (noPath) ExtendServing(time.Duration) {}
