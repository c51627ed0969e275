package hollow

import (
	"context"
	"net"
	"strconv"
	"sync"
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
	// mutex guards Daemon and the past against the sampler.
	mutex   sync.Mutex
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
	started := daemon.NewHollow(daemon.HollowOptions{
		Config:   n.config(),
		Listener: listener,
		Platform: acceptancePort{Port: port, observer: n.cluster.Observer},
		Path:     recorder{node: n},
		Events:   eventWatch{node: n},
		Limits:   hollowLimits(),
		Wrap:     n.cluster.options.Wrap,
	})
	started.Start()
	started.Shell().ReportBackend(protocol.EndpointReady)
	n.mutex.Lock()
	n.Daemon = started
	n.mutex.Unlock()
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

// unusedTimeout is short, because both ends of all connections share one
// process and its open files: the calls of a start go to many daemons once.
const unusedTimeout = 2 * time.Second

func hollowLimits() control.Limits {
	limits := control.DefaultLimits()
	limits.UnusedTimeout = unusedTimeout
	return limits
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
	n.mutex.Lock()
	ending := n.Daemon
	n.past = addTraffic(n.past, ending.Meter().Total())
	n.pastState = addSteps(ending.Shell().State(), n.pastState)
	n.Daemon = nil
	n.mutex.Unlock()
	ending.Stop()
	n.port.Close()
	n.cluster.Observer.Down(n.ID)
}

// Leave tells the others that the daemon leaves and has stopped.
func (n *Node) Leave(ctx context.Context) {
	n.Daemon.Shell().Leave(ctx)
	n.Daemon.Shell().Stopped(ctx)
	select {
	case <-time.After(daemon.StoppedReport):
	case <-ctx.Done():
	}
}

// readyPoll is how often AwaitReady looks.
const readyPoll = 5 * time.Millisecond

// AwaitReady waits until the daemon serves.
func (n *Node) AwaitReady(ctx context.Context, bound time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !n.Daemon.Shell().State().Ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Traffic returns the control bytes over all lives.
func (n *Node) Traffic() control.Traffic {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.Daemon == nil {
		return n.past
	}
	return addTraffic(n.past, n.Daemon.Meter().Total())
}

// State returns the shell's state, with steps counted over all lives.
func (n *Node) State() daemon.State {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.Daemon == nil {
		return n.pastState
	}
	return addSteps(n.Daemon.Shell().State(), n.pastState)
}

func addTraffic(one, other control.Traffic) control.Traffic {
	return control.Traffic{
		BytesIn:   one.BytesIn + other.BytesIn,
		BytesOut:  one.BytesOut + other.BytesOut,
		FramesIn:  one.FramesIn + other.FramesIn,
		FramesOut: one.FramesOut + other.FramesOut,
	}
}

// addSteps adds the counts of an earlier life to a state.
func addSteps(now, past daemon.State) daemon.State {
	now.Steps += past.Steps
	now.StepTime += past.StepTime
	now.PlatformCalls += past.PlatformCalls
	return now
}

// recorder is the data path of a hollow daemon: it only tells the observer.
type recorder struct {
	node *Node
}

// Swap tells the observer.
func (r recorder) Swap(next *snapshot.Snapshot) {
	r.node.cluster.Observer.Swapped(r.node.ID, next)
	if told := r.node.cluster.options.OnSwap; told != nil {
		told(next)
	}
}

// PublishMembers does nothing.
func (recorder) PublishMembers([]protocol.Member) {}

// ExtendServing does nothing.
func (recorder) ExtendServing(time.Duration) {}
