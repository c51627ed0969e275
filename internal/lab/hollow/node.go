package hollow

import (
	"net"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/daemon"
	"github.com/springstack/springstack/internal/lab/catalogue"
	"github.com/springstack/springstack/internal/platform"
)

// Node is one hollow daemon of a cluster.
type Node struct {
	ID     string
	Region string
	Zone   string
	// Daemon is the running one; nil while it is down.
	Daemon *daemon.Hollow
	// Role is what the node was last heard to do, from its events.
	role roleWatch

	cluster *Cluster
	number  int
	address string
	port    *platform.HTTP
	// past is the traffic of earlier lives.
	past control.Traffic
	// Steps and StepTime of earlier lives.
	pastState daemon.State
}

// Start starts the daemon, anew and with nothing remembered, at the address
// that it had before.
func (n *Node) Start() error {
	listener, err := net.Listen("tcp", n.address)
	if err != nil {
		return errors.Annotate(err, n.ID)
	}
	n.address = listener.Addr().String()
	port, err := platform.NewHTTP(platform.HTTPConfig{URL: n.cluster.url, Client: n.ID})
	if err != nil {
		listener.Close()
		return errors.Trace(err)
	}
	n.port = port
	n.cluster.starts++
	n.Daemon = daemon.NewHollow(daemon.HollowOptions{
		Config:   n.config(),
		Listener: listener,
		Platform: acceptancePort{Port: port, observer: n.cluster.Observer},
		Path:     recorder{node: n},
		Events:   eventWatch{node: n},
		Wrap:     n.cluster.options.Wrap,
	})
	n.Daemon.Start()
	return nil
}

// config returns the node's configuration.
func (n *Node) config() node.Config {
	service := n.number % max(n.cluster.options.Shape.Services, 1)
	return node.Config{
		ID:          protocol.NodeID(n.ID),
		Incarnation: protocol.Incarnation(time.Now().UnixNano()),
		DataAddress: n.dataAddress(),
		Region:      n.Region,
		Zone:        n.Zone,
		Scope:       protocol.Scope{Partners: catalogue.Partners()},
		Seeds:       n.cluster.seeds(n),
		Service:     catalogue.ServiceOf(service, n.cluster.options.Shape),
		Backend:     "backend-" + strconv.Itoa(n.number),
		Slots:       backendSlots,
		RandomSeed:  n.cluster.options.Seed<<20 + n.cluster.starts,
		Timing:      node.DefaultTiming(),
	}
}

// backendSlots is how many calls the back end beside a hollow daemon would
// run.
const backendSlots = 6

// dataAddress is where a data path would listen; nothing does.
func (n *Node) dataAddress() string {
	return "127.0.0.1:" + strconv.Itoa(1+n.number%65535)
}

// Kill ends the daemon at once.
func (n *Node) Kill() {
	n.past = n.Traffic()
	n.pastState = n.State()
	n.Daemon.Stop()
	n.port.Close()
	n.Daemon = nil
	n.cluster.Observer.Down(n.ID)
}

// Traffic returns the control bytes over all lives.
func (n *Node) Traffic() control.Traffic {
	if n.Daemon == nil {
		return n.past
	}
	now := n.Daemon.Meter().Total()
	return control.Traffic{
		BytesIn:   n.past.BytesIn + now.BytesIn,
		BytesOut:  n.past.BytesOut + now.BytesOut,
		FramesIn:  n.past.FramesIn + now.FramesIn,
		FramesOut: n.past.FramesOut + now.FramesOut,
	}
}

// State returns the shell's state, with steps counted over all lives.
func (n *Node) State() daemon.State {
	if n.Daemon == nil {
		return n.pastState
	}
	now := n.Daemon.Shell().State()
	now.Steps += n.pastState.Steps
	now.StepTime += n.pastState.StepTime
	now.PlatformCalls += n.pastState.PlatformCalls
	return now
}

// recorder is the data path of a hollow daemon: it only tells the observer.
type recorder struct {
	node *Node
}

// Swap tells the observer.
func (r recorder) Swap(next *snapshot.Snapshot) { r.node.cluster.Observer.Swapped(r.node.ID, next) }

// PublishMembers does nothing.
func (recorder) PublishMembers([]protocol.Member) {}

// ExtendServing does nothing.
func (recorder) ExtendServing(time.Duration) {}
