package rolling

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/mesh"
	"github.com/springstack/springstack/internal/lab/scenario"
	"github.com/springstack/springstack/internal/operator/client"
	"github.com/springstack/springstack/internal/result"
)

// real restarts whole daemons, with their control plane and the platform
// stand-in.
type real struct {
	options  Options
	mesh     *mesh.Mesh
	machines []*mesh.Machine
	// addresses are the callers' addresses of the running daemons.
	addresses []atomic.Pointer[string]
}

// Times of the real mesh.
const (
	// settleDaemon is how long a stopping daemon stays after its last call.
	settleDaemon = 500 * time.Millisecond
	inForceBound = 20 * time.Second
)

// startReal starts daemons, submits the deployment's file and waits until it
// is in force everywhere.
func startReal(ctx context.Context, options Options, config backend.Config) (system, error) {
	partner := string(options.Deployment.Partner)
	started, err := mesh.New(mesh.Options{Seed: options.Seed, Partners: []string{partner}, Settle: settleDaemon})
	if err != nil {
		return nil, errors.Trace(err)
	}
	made := &real{options: options, mesh: started}
	if err := made.populate(config); err != nil {
		started.Close()
		return nil, errors.Trace(err)
	}
	if err := made.configure(ctx); err != nil {
		started.Close()
		return nil, errors.Trace(err)
	}
	return made, nil
}

// populate starts a machine for each upstream.
func (r *real) populate(config backend.Config) error {
	upstreams := r.options.Deployment.Upstreams()
	r.addresses = make([]atomic.Pointer[string], len(upstreams))
	for number, upstream := range upstreams {
		place := mesh.Place{Region: r.options.Deployment.Region, Zone: upstream.Zone}
		machine, err := r.mesh.AddBackend(place, string(r.options.Deployment.Partner), upstream.Service, config)
		if err != nil {
			return errors.Trace(err)
		}
		r.machines = append(r.machines, machine)
		r.noteAddress(number)
	}
	return nil
}

// noteAddress keeps where callers reach a daemon now.
func (r *real) noteAddress(number int) {
	address := r.machines[number].Daemon.Addresses().Callers
	r.addresses[number].Store(&address)
}

// configure submits the deployment's file.
func (r *real) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, inForceBound)
	defer cancel()
	text, err := r.fileText()
	if err != nil {
		return errors.Trace(err)
	}
	operators, err := r.mesh.Client(string(r.options.Deployment.Partner))
	if err != nil {
		return errors.Trace(err)
	}
	answer := operators.Change(ctx, client.Change{
		Partner: string(r.options.Deployment.Partner),
		Name:    r.options.Deployment.Name,
		Action:  protocol.ActionSubmit,
		Content: text,
	})
	if answer.Code != result.OK {
		return errors.Errorf("the deployment's file was answered with %d %s %v", answer.Code, answer.Name, answer.Errors)
	}
	goal := client.Goal{Partner: string(r.options.Deployment.Partner), Name: r.options.Deployment.Name}
	answer = operators.Wait(ctx, goal, func(client.Progress) {})
	if answer.Code != result.OK {
		return errors.Errorf("the deployment's file is not in force: %d %s", answer.Code, answer.Name)
	}
	if !until(ctx, readyWait, func() bool { return len(r.mesh.Running()) == r.readyDaemons() }) {
		return errors.Errorf("only %d daemons are ready", r.readyDaemons())
	}
	return nil
}

// fileText writes the deployment's file with the machines' own names.
func (r *real) fileText() ([]byte, error) {
	upstreams := r.options.Deployment.Upstreams()
	addresses := make(map[string]string, len(upstreams))
	for number, upstream := range upstreams {
		addresses[upstream.Name] = r.machines[number].Daemon.Addresses().Gate
	}
	file := r.options.Deployment.File(addresses)
	for number := range file.Backends {
		file.Backends[number].Name = r.machines[number].ID
	}
	text, err := scenario.FileText(file)
	return text, errors.Trace(err)
}

// readyDaemons counts the daemons that callers may use.
func (r *real) readyDaemons() int {
	ready := 0
	for _, running := range r.mesh.Running() {
		if running.Ready() {
			ready++
		}
	}
	return ready
}

func (r *real) origin() time.Time { return r.mesh.Origin }

func (r *real) units() []unit {
	var units []unit
	for _, machine := range r.machines {
		units = append(units, unit{name: machine.ID, service: machine.Service, server: machine.Backend})
	}
	return units
}

func (r *real) targets() []load.Target {
	var targets []load.Target
	for number, machine := range r.machines {
		targets = append(targets, load.Target{Name: machine.ID, Resolve: func() string { return *r.addresses[number].Load() }})
	}
	return targets
}

func (r *real) stopDaemon(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, stopBound)
	defer cancel()
	return errors.Annotate(r.mesh.Stop(ctx, r.machines[number]), r.machines[number].ID)
}

func (r *real) startDaemon(ctx context.Context, number int) error {
	machine := r.machines[number]
	if err := r.mesh.Start(machine); err != nil {
		return errors.Annotate(err, machine.ID)
	}
	if !until(ctx, inForceBound, machine.Daemon.Ready) {
		return errors.Errorf("daemon %s was not ready within %s: %+v", machine.ID, inForceBound, machine.Daemon.State())
	}
	r.noteAddress(number)
	if !r.waitReady(ctx, number) {
		return errors.Errorf("the mesh did not call back end %s ready within %s", machine.ID, readyWait)
	}
	return nil
}

// waitReady asks another daemon, so that the news has spread at least there.
func (r *real) waitReady(ctx context.Context, number int) bool {
	operators, err := r.mesh.Client(string(r.options.Deployment.Partner))
	if err != nil {
		return false
	}
	return until(ctx, readyWait, func() bool {
		members, trouble := operators.Members(ctx)
		if trouble != nil {
			return false
		}
		for _, member := range members.Members {
			if member.ID == r.machines[number].ID {
				return member.Endpoint == "ready" || member.Endpoint == "warming"
			}
		}
		return false
	})
}

// busy cannot see into whole daemons; the static rig judges slots and queues.
func (r *real) busy(context.Context) []string { return nil }

func (r *real) close() { r.mesh.Close() }
