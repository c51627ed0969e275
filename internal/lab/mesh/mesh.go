// Package mesh runs real daemons, emulated back ends and the platform
// stand-in in one process over loopback TCP, for the demo and for tests.
package mesh

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/daemon"
	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/operator"
	"github.com/springstack/springstack/internal/operator/client"
	"github.com/springstack/springstack/internal/settings"
)

// anyPort listens on a free loopback port.
const anyPort = "127.0.0.1:0"

// Options describes a mesh.
type Options struct {
	Seed uint64
	// Partners are those whose callers use every daemon and whose operators
	// get a token each.
	Partners []string
	// Logger takes the daemons' events; nil drops them.
	Logger log.Interface
	// Settle is how long a stopping daemon stays after its last call.
	Settle time.Duration
	// Timing overrides the production periods.
	Timing settings.Timing
}

// Place is where a machine stands.
type Place struct {
	Region string
	Zone   string
}

// Machine is one daemon and the back end beside it, if any.
type Machine struct {
	ID    string
	Place Place
	// Service is partner and name of the service of the back end; empty for a
	// machine without one.
	Partner string
	Service string
	Backend *backend.Server
	// Daemon is the running one; nil while it is down.
	Daemon *daemon.Daemon
}

// Mesh is a running mesh. Its methods are for one goroutine.
type Mesh struct {
	Platform *standin.Service
	// Origin is where the times of back ends' records count from.
	Origin time.Time

	options  Options
	server   *standin.Server
	url      string
	machines []*Machine
	starts   uint64
	closing  sync.Once
}

// New starts the platform stand-in.
func New(options Options) (*Mesh, error) {
	service := standin.NewService(standin.DefaultLimits(), options.Seed)
	server := standin.NewServer(service)
	address, err := server.Start(anyPort)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Mesh{
		Platform: service,
		Origin:   time.Now(),
		options:  options,
		server:   server,
		url:      address,
	}, nil
}

// PlatformURL is where the stand-in serves.
func (m *Mesh) PlatformURL() string { return m.url }

// Machines returns all machines in the order in which they were added.
func (m *Mesh) Machines() []*Machine { return m.machines }

// Running returns the daemons that run.
func (m *Mesh) Running() []*daemon.Daemon {
	var running []*daemon.Daemon
	for _, machine := range m.machines {
		if machine.Daemon != nil {
			running = append(running, machine.Daemon)
		}
	}
	return running
}

// Add starts a machine without a back end.
func (m *Mesh) Add(place Place) (*Machine, error) {
	machine := &Machine{ID: fmt.Sprintf("node-%02d", len(m.machines)+1), Place: place}
	return m.add(machine)
}

// AddBackend starts a machine with an emulated back end of a service.
func (m *Mesh) AddBackend(place Place, partner, service string, config backend.Config) (*Machine, error) {
	id := fmt.Sprintf("node-%02d", len(m.machines)+1)
	config.Seed = m.options.Seed + uint64(len(m.machines))
	server, err := backend.Start(id, anyPort, config, m.Origin, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return m.add(&Machine{ID: id, Place: place, Partner: partner, Service: service, Backend: server})
}

func (m *Mesh) add(machine *Machine) (*Machine, error) {
	m.machines = append(m.machines, machine)
	if err := m.Start(machine); err != nil {
		return nil, err
	}
	return machine, nil
}

// Start starts the daemon of a machine, anew and with nothing remembered, and
// enters it in the machine list.
func (m *Mesh) Start(machine *Machine) error {
	m.starts++
	started := daemon.New(m.settingsOf(machine), daemon.Overrides{
		Logger:     m.options.Logger,
		RandomSeed: m.options.Seed<<16 + m.starts,
	})
	if err := started.Start(); err != nil {
		return errors.Annotate(err, machine.ID)
	}
	machine.Daemon = started
	m.publishMachines()
	return nil
}

// Stop drains and ends the daemon of a machine, as SIGTERM does.
func (m *Mesh) Stop(ctx context.Context, machine *Machine) error {
	stopping := machine.Daemon
	machine.Daemon = nil
	return stopping.Stop(ctx)
}

// Kill ends the daemon of a machine at once. The machine list goes on showing
// it.
func (m *Mesh) Kill(machine *Machine) {
	machine.Daemon.Kill()
	machine.Daemon = nil
}

// publishMachines puts the running daemons into the machine list.
func (m *Mesh) publishMachines() {
	var list []object.Machine
	for _, machine := range m.machines {
		if machine.Daemon == nil {
			continue
		}
		list = append(list, object.Machine{
			ID:      machine.ID,
			Address: machine.Daemon.Addresses().Control,
			Region:  machine.Place.Region,
			Zone:    machine.Place.Zone,
		})
	}
	m.Platform.SetMachines(list)
}

// settingsOf returns what a machine's settings file would say.
func (m *Mesh) settingsOf(machine *Machine) settings.Settings {
	given := settings.Default()
	given.Node = settings.Node{ID: machine.ID, Region: machine.Place.Region, Zone: machine.Place.Zone}
	given.Listen = settings.Listen{
		Callers:   anyPort,
		Gate:      anyPort,
		Control:   anyPort,
		Operators: anyPort,
		Admin:     anyPort,
	}
	given.Mesh = settings.Mesh{Seeds: m.seeds(), Partners: m.options.Partners}
	given.Platform.URL = m.url
	given.Drain.Settle = m.options.Settle
	given.Timing = m.options.Timing
	for _, partner := range m.options.Partners {
		given.Operators.Tokens = append(given.Operators.Tokens, settings.Token{
			Partner: partner,
			SHA256:  operator.TokenDigest(token(partner)),
		})
	}
	if machine.Backend != nil {
		given.Backend = settings.Backend{
			Partner: machine.Partner,
			Service: machine.Service,
			Name:    machine.ID,
			Address: machine.Backend.Address(),
			Slots:   backend.DefaultSlots,
		}
	}
	return given
}

// maxSeeds is how many seeds a settings file lists.
const maxSeeds = 4

// seeds are the control addresses of some running daemons.
func (m *Mesh) seeds() []string {
	var seeds []string
	for _, running := range m.Running() {
		if len(seeds) < maxSeeds {
			seeds = append(seeds, running.Addresses().Control)
		}
	}
	return seeds
}

// token is the operators' token of a partner in this mesh.
func token(partner string) string { return "lab-token-of-" + partner }

// Client returns an operators' client of a partner that knows all running
// daemons.
func (m *Mesh) Client(partner string) (*client.Client, error) {
	var servers []string
	for _, running := range m.Running() {
		servers = append(servers, "http://"+running.Addresses().Operators)
	}
	return client.New(servers, token(partner), nil)
}

// Close ends everything at once.
func (m *Mesh) Close() {
	m.closing.Do(func() {
		for _, machine := range m.machines {
			if machine.Daemon != nil {
				m.Kill(machine)
			}
		}
		for _, machine := range m.machines {
			if machine.Backend != nil {
				machine.Backend.Crash()
			}
		}
		m.server.Close()
	})
}
