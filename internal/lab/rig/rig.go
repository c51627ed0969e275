// Package rig runs a deployment in one process: emulated back ends, a proxy
// beside each, and links between clients, zones and back ends. Proxies get a
// static snapshot and member records straight from the rig, without the
// control plane, so that experiments on the path of a request measure it alone.
package rig

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/link"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/scenario"
	"github.com/springstack/springstack/internal/proxy"
)

// Options describe a rig.
type Options struct {
	Deployment scenario.Deployment
	// Backend is the template of all back ends; each gets its own seed.
	Backend backend.Config
	// Tune changes the template for one back end; nil changes none.
	Tune func(number int, config *backend.Config)
	// ExtraRoutes are put beside the deployment's own, for example another
	// partner's routes to the same services.
	ExtraRoutes []resource.Route
	// WithoutLinks leaves out all emulated latency.
	WithoutLinks bool
	// WithoutNews keeps the news that an endpoint is leaving from spreading:
	// only its gate's refusals tell.
	WithoutNews bool
	Limits      proxy.Limits
	// Configure changes a proxy's settings before its start; nil changes none.
	Configure func(config *proxy.Config)
	Seed      uint64
}

// Rig is a running deployment.
type Rig struct {
	// Origin is where all times of the records count from.
	Origin   time.Time
	Machines []*Machine
	options  Options
	held     *snapshot.Snapshot
	links    []*link.Link

	mutex   sync.Mutex
	members []protocol.Member
	changed chan struct{}
	closing chan struct{}
	workers sync.WaitGroup
}

// servingFor is longer than any experiment.
const servingFor = 24 * time.Hour

// Start starts all back ends, proxies and links.
func Start(options Options) (*Rig, error) {
	started := &Rig{
		Origin:  time.Now(),
		options: options,
		changed: make(chan struct{}, 1),
		closing: make(chan struct{}),
	}
	for number, upstream := range options.Deployment.Upstreams() {
		machine, err := started.startMachine(number, upstream)
		if err != nil {
			started.Close()
			return nil, errors.Trace(err)
		}
		started.Machines = append(started.Machines, machine)
	}
	if err := started.connect(); err != nil {
		started.Close()
		return nil, errors.Trace(err)
	}
	started.workers.Add(1)
	go started.publishChanges()
	return started, nil
}

// connect opens the links between zones and gives every proxy its snapshot
// and members.
func (r *Rig) connect() error {
	addresses := make(map[string]string, len(r.Machines))
	for number, machine := range r.Machines {
		machine.next = r.nextOfService(number)
		addresses[machine.Upstream.Name] = machine.GateAddress
		if err := machine.openZoneLinks(r); err != nil {
			return errors.Trace(err)
		}
		r.members = append(r.members, machine.member(r.options.Deployment.Region))
	}
	file := r.options.Deployment.File(addresses)
	file.Routes = append(file.Routes, r.options.ExtraRoutes...)
	r.held = staticSnapshot(file)
	for _, machine := range r.Machines {
		r.admit(machine)
	}
	return nil
}

// nextOfService is the machine after the given one with the same service.
func (r *Rig) nextOfService(number int) *Machine {
	from := r.Machines[number]
	for step := 1; step < len(r.Machines); step++ {
		candidate := r.Machines[(number+step)%len(r.Machines)]
		if candidate.Upstream.Service == from.Upstream.Service {
			return candidate
		}
	}
	return from
}

// admit lets a proxy that has just started serve.
func (r *Rig) admit(machine *Machine) {
	machine.proxy.Swap(r.held)
	machine.proxy.PublishMembers(r.membersFor(machine.Upstream.Zone))
	machine.proxy.ExtendServing(r.clock() + servingFor)
}

// clock is the proxies' clock.
func (r *Rig) clock() time.Duration { return time.Since(r.Origin) }

// membersFor copies the member records as a zone sees them: daemons of other
// zones are reached over links.
func (r *Rig) membersFor(zone string) []protocol.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	members := make([]protocol.Member, len(r.members))
	copy(members, r.members)
	for index := range members {
		if r.options.WithoutNews && members[index].Endpoint == protocol.EndpointDraining {
			members[index].Endpoint = protocol.EndpointReady
		}
		if relay := r.Machines[index].zoneLinks[zone]; relay != nil {
			members[index].DataAddress = relay.Address()
		}
	}
	return members
}

// update changes one member's record and has it published.
func (r *Rig) update(number int, change func(member *protocol.Member)) {
	r.mutex.Lock()
	if number < len(r.members) {
		change(&r.members[number])
		r.members[number].Sequence++
	}
	r.mutex.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// publishChanges hands changed member records to all proxies.
func (r *Rig) publishChanges() {
	defer r.workers.Done()
	for {
		select {
		case <-r.changed:
		case <-r.closing:
			return
		}
		for _, machine := range r.Machines {
			machine.current().PublishMembers(r.membersFor(machine.Upstream.Zone))
		}
	}
}

// openLink opens a link that the rig closes at its end. Without links it
// answers nil.
func (r *Rig) openLink(config link.Config) (*link.Link, error) {
	if r.options.WithoutLinks {
		return nil, nil
	}
	opened, err := link.Open(config)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.links = append(r.links, opened)
	return opened, nil
}

// Targets are the daemons as callers reach them, over the client links.
func (r *Rig) Targets() []load.Target {
	targets := make([]load.Target, 0, len(r.Machines))
	for _, machine := range r.Machines {
		targets = append(targets, load.Target{Name: machine.Upstream.Name, Address: machine.clientAddress})
	}
	return targets
}

// DirectTargets are the back ends of a service as callers would reach them
// without the mesh, over the same client links.
func (r *Rig) DirectTargets(service string) []load.Target {
	var targets []load.Target
	for _, machine := range r.Machines {
		if machine.Upstream.Service == service {
			targets = append(targets, load.Target{Name: machine.Upstream.Name, Address: machine.directAddress})
		}
	}
	return targets
}

// Records are the runs of all back ends by request.
func (r *Rig) Records() map[backend.RequestID][]backend.Run {
	records := make([][]backend.Run, 0, len(r.Machines))
	for _, machine := range r.Machines {
		records = append(records, machine.Backend.Runs())
	}
	return load.Runs(records...)
}

// WaitReady waits until the daemon beside a back end calls it ready; false
// when that does not come within the bound.
func (r *Rig) WaitReady(ctx context.Context, machine *Machine, bound time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		r.mutex.Lock()
		state := r.members[machine.number].Endpoint
		r.mutex.Unlock()
		if state == protocol.EndpointReady || state == protocol.EndpointWarming {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// idlePoll is how often WaitIdle and WaitReady look.
const idlePoll = 20 * time.Millisecond

// WaitIdle waits until no gate holds a slot or a queued call. It names those
// that still do when the time is over.
func (r *Rig) WaitIdle(ctx context.Context, bound time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		busy := r.busy()
		if len(busy) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return busy
		}
	}
}

// busy names the machines whose gates hold a slot or a queued call.
func (r *Rig) busy() []string {
	var names []string
	for _, machine := range r.Machines {
		counters := machine.Counters()
		if counters.GateRunning != 0 || counters.GateQueued != 0 {
			names = append(names, machine.Upstream.Name)
		}
	}
	return names
}

// Close stops everything that the rig started.
func (r *Rig) Close() {
	close(r.closing)
	r.workers.Wait()
	for _, machine := range r.Machines {
		machine.close()
	}
	for _, opened := range r.links {
		opened.Close()
	}
}

// stopBound bounds the graceful stop of one process of the rig.
const stopBound = 20 * time.Second

// StopDaemon stops the daemon of a machine as an operator would: it tells the
// others, drains, waits and ends.
func (r *Rig) StopDaemon(ctx context.Context, machine *Machine) error {
	ctx, cancel := context.WithTimeout(ctx, stopBound)
	defer cancel()
	r.update(machine.number, func(member *protocol.Member) { member.Endpoint = protocol.EndpointDraining })
	return errors.Trace(machine.stopDaemon(ctx))
}

// KillDaemon ends the daemon of a machine at once; nobody is told.
func (r *Rig) KillDaemon(machine *Machine) { machine.kill() }

// StartDaemon starts a stopped daemon anew at the same addresses.
func (r *Rig) StartDaemon(machine *Machine) error {
	if err := machine.startDaemon(r); err != nil {
		return errors.Trace(err)
	}
	r.admit(machine)
	r.update(machine.number, func(member *protocol.Member) {
		member.Endpoint = protocol.EndpointReady
		member.Incarnation = machine.incarnation
	})
	return nil
}
