// Package hollow runs many hollow daemons in one process: the real core and
// real net/rpc over loopback TCP, without data path, beside the platform
// stand-in served over HTTP.
package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/lab/catalogue"
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/result"
)

// anyPort listens on a free loopback port.
const anyPort = "127.0.0.1:0"

// Options describes a cluster.
type Options struct {
	Daemons int
	Shape   catalogue.Shape
	Seed    uint64
	// Wrap, if set, stands between the control server and the node of each
	// daemon; baselines use it.
	Wrap func(control.Handler) control.Handler
	// OnSwap, if set, is told each snapshot that a daemon puts in force.
	OnSwap func(held *snapshot.Snapshot)
	// Log, if set, takes every event of every node.
	Log func(id, name string, fields []node.LogField)
}

// Cluster is many hollow daemons and the platform.
type Cluster struct {
	Platform *standin.Service
	Observer *Observer
	Nodes    []*Node
	Files    []*catalogue.File

	options Options
	server  *standin.Server
	url     string
	starts  uint64
	random  *rand.Rand
}

// New starts the platform; no daemon runs yet.
func New(options Options) (*Cluster, error) {
	service := standin.NewService(standin.DefaultLimits(), options.Seed)
	server := standin.NewServer(service)
	url, err := server.Start(anyPort)
	if err != nil {
		return nil, errors.Trace(err)
	}
	cluster := &Cluster{
		Platform: service,
		Observer: NewObserver(),
		Files:    catalogue.Generate(options.Shape),
		options:  options,
		server:   server,
		url:      url,
		random:   rand.New(rand.NewPCG(options.Seed, 1)),
	}
	for number := range options.Daemons {
		cluster.Nodes = append(cluster.Nodes, &Node{
			ID:      fmt.Sprintf("node-%04d", number),
			Region:  catalogue.RegionName(number),
			Zone:    catalogue.ZoneName(number),
			cluster: cluster,
			number:  number,
			address: anyPort,
		})
	}
	return cluster, nil
}

// Start starts all daemons.
func (c *Cluster) Start() error {
	c.Observer.Expect(len(c.Nodes))
	if err := c.StartAll(); err != nil {
		return err
	}
	c.publishMachines()
	return nil
}

// KillAll ends all daemons at once.
func (c *Cluster) KillAll() {
	var ending sync.WaitGroup
	for _, one := range c.Nodes {
		if one.Daemon != nil {
			ending.Go(one.Kill)
		}
	}
	ending.Wait()
}

// StartAll starts all daemons that are down.
func (c *Cluster) StartAll() error {
	for _, one := range c.Nodes {
		if one.Daemon != nil {
			continue
		}
		if err := one.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends everything at once.
func (c *Cluster) Close() {
	c.KillAll()
	c.server.Close()
}

// PlatformURL is where the stand-in serves.
func (c *Cluster) PlatformURL() string { return c.url }

// Seeds returns the control addresses of some daemons.
func (c *Cluster) Seeds() []string { return c.seeds(nil) }

// maxSeeds is how many seeds a daemon is given.
const maxSeeds = 4

// seeds draws control addresses of other daemons that run or ran.
func (c *Cluster) seeds(besides *Node) []string {
	var known []string
	for _, other := range c.Nodes {
		if other != besides && other.address != anyPort {
			known = append(known, other.address)
		}
	}
	c.random.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	return lo.Slice(known, 0, maxSeeds)
}

// publishMachines puts the running daemons into the machine list.
func (c *Cluster) publishMachines() {
	var list []object.Machine
	for _, one := range c.Nodes {
		if one.Daemon != nil {
			list = append(list, object.Machine{ID: one.ID, Address: one.address, Region: one.Region, Zone: one.Zone})
		}
	}
	c.Platform.SetMachines(list)
}

// submitBound bounds one submission, tries included.
const submitBound = 30 * time.Second

// submitPause is the pause between two tries of one operation.
const submitPause = 200 * time.Millisecond

// Submit submits a file through a daemon drawn at random, with one operation
// id until the outcome is known, and returns the version that accepted it.
func (c *Cluster) Submit(ctx context.Context, file *catalogue.File) (protocol.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, submitBound)
	defer cancel()
	request := &protocol.SubmitRequest{
		Format:    protocol.Format,
		Operation: c.operation(),
		Partner:   file.Partner,
		Action:    protocol.ActionReplace,
		File:      file.Name,
		Content:   file.Text(),
	}
	if file.Fresh() {
		request.Action = protocol.ActionSubmit
	}
	for {
		reply := c.submitOnce(ctx, request)
		if reply != nil && (reply.Code == result.OK || reply.Code == result.Held) {
			return reply.Version, nil
		}
		if reply != nil && !temporary(reply.Code) {
			return 0, errors.Errorf("submission refused: %d %s %v", reply.Code, reply.Code.Name(), reply.Errors)
		}
		select {
		case <-ctx.Done():
			return 0, errors.Annotate(ctx.Err(), "submission")
		case <-time.After(submitPause):
		}
	}
}

func (c *Cluster) submitOnce(ctx context.Context, request *protocol.SubmitRequest) *protocol.SubmitReply {
	running := lo.Filter(c.Nodes, func(one *Node, _ int) bool { return one.Daemon != nil })
	if len(running) == 0 {
		return nil
	}
	chosen := running[c.random.IntN(len(running))]
	body, err := chosen.Daemon.Shell().AskOperator(ctx, request)
	if err != nil {
		return nil
	}
	reply, _ := body.(*protocol.SubmitReply)
	return reply
}

// temporary tells the codes after which the same operation is sent again.
func temporary(code result.Code) bool {
	switch code {
	case result.OutcomeUnknown, result.NotAccepted, result.NoReader, result.Overloaded,
		result.PlatformUnavailable, result.PlatformUnknown, result.NotReadyYet:
		return true
	}
	return false
}

// operation draws an operation id.
func (c *Cluster) operation() string {
	random := make([]byte, 12)
	for i := range random {
		random[i] = byte(c.random.UintN(256))
	}
	return ledger.NewOperation(time.Now(), random)
}

// Traffic sums the control bytes of all daemons.
func (c *Cluster) Traffic() control.Traffic {
	var sum control.Traffic
	for _, one := range c.Nodes {
		sum = addTraffic(sum, one.Traffic())
	}
	return sum
}
