package daemon

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/samber/do/v2"

	"github.com/springstack/springstack/internal/access"
	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/settings"
)

// Daemon is one springstackd. It is started and stopped once.
type Daemon struct {
	settings  settings.Settings
	overrides Overrides
	clock     Clock
	events    EventLog
	injector  *do.RootScope

	opened   *listeners
	path     *pathPart
	mesh     *meshPart
	backend  backendReporter
	draining atomic.Bool
	killed   atomic.Bool
	// identity is behind the TLS of all ports; nil in the clear.
	identity *access.Identity
}

// New returns a daemon that does not run yet. The settings must have been
// checked.
func New(checked settings.Settings, overrides Overrides) *Daemon {
	if overrides.Incarnation == 0 {
		overrides.Incarnation = protocol.Incarnation(time.Now().UnixNano())
	}
	if overrides.RandomSeed == 0 {
		overrides.RandomSeed = rand.Uint64()
	}
	events := DiscardEvents()
	if overrides.Logger != nil {
		events = NewEventLog(overrides.Logger.WithField("node", checked.Node.ID))
	}
	d := &Daemon{
		settings:  checked,
		overrides: overrides,
		clock:     NewClock(),
		events:    events,
		injector:  do.New(),
	}
	d.provide()
	return d
}

// Start opens the addresses and begins to run. After an error nothing is left
// running.
func (d *Daemon) Start() error {
	if err := d.assemble(); err != nil {
		_ = d.shutdown() // the first failure is the one to report
		return errors.Trace(err)
	}
	d.mesh.start()
	d.backend.connect(d.mesh.shell)
	addresses := d.Addresses()
	d.event("daemon_started",
		node.LogField{Key: "incarnation", Value: strconv.FormatUint(uint64(d.overrides.Incarnation), 10)},
		node.LogField{Key: "callers", Value: addresses.Callers},
		node.LogField{Key: "gate", Value: addresses.Gate},
		node.LogField{Key: "control", Value: addresses.Control},
		node.LogField{Key: "operators", Value: addresses.Operators},
		node.LogField{Key: "admin", Value: addresses.Admin})
	return nil
}

// assemble makes all parts. The servers accept at once; until the node runs
// they refuse, and say that nothing ran.
func (d *Daemon) assemble() (err error) {
	if d.opened, err = do.Invoke[*listeners](d.injector); err != nil {
		return err
	}
	if d.path, err = do.Invoke[*pathPart](d.injector); err != nil {
		return err
	}
	if d.mesh, err = do.Invoke[*meshPart](d.injector); err != nil {
		return err
	}
	if _, err = do.Invoke[*callersServer](d.injector); err != nil {
		return err
	}
	if _, err = do.Invoke[*gateServer](d.injector); err != nil {
		return err
	}
	if _, err = do.Invoke[*operatorsServer](d.injector); err != nil {
		return err
	}
	_, err = do.Invoke[*adminServer](d.injector)
	return err
}

// Stop leaves the mesh, drains, and ends the daemon. It returns within the
// drain's bound and settle time, or soon after ctx ends.
func (d *Daemon) Stop(ctx context.Context) error {
	d.event("drain_started")
	d.draining.Store(true)
	d.mesh.shell.Leave(ctx)
	d.path.StartDrain()
	d.awaitDrained(ctx)
	d.reportStopped(ctx)
	err := d.shutdown()
	d.event("daemon_stopped")
	return errors.Trace(err)
}

// awaitDrained waits until no call runs, or the bound passes, and then for the
// settle time, so that the mesh has heard of the drain.
func (d *Daemon) awaitDrained(ctx context.Context) {
	settled := time.NewTimer(d.settings.Drain.Settle)
	defer settled.Stop()
	bound := time.NewTimer(d.settings.Drain.Bound)
	defer bound.Stop()
	select {
	case <-d.path.Drained():
	case <-bound.C:
		d.event("drain_bound_reached")
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-settled.C:
	case <-ctx.Done():
	}
}

// reportStopped tells the mesh that this daemon serves no more, so that it is
// not waited for.
func (d *Daemon) reportStopped(ctx context.Context) {
	if !d.mesh.shell.Stopped(ctx) {
		return
	}
	reported := time.NewTimer(StoppedReport)
	defer reported.Stop()
	select {
	case <-reported.C:
	case <-ctx.Done():
	}
}

// Kill ends the daemon at once, as a crash would: nothing is drained and
// nobody is told.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	d.mesh.stop()
	_ = d.shutdown() // calls in flight are cut
}

// closeBound tells how long servers may take to end.
func (d *Daemon) closeBound() time.Duration {
	if d.killed.Load() {
		return 0
	}
	return gentleClose
}

// Addresses returns the addresses listened on; valid after Start.
func (d *Daemon) Addresses() Addresses { return d.opened.addresses() }

// State returns what the daemon has seen of its node; valid after Start.
func (d *Daemon) State() State { return d.mesh.shell.State() }

// Ready reports whether callers may be sent here.
func (d *Daemon) Ready() bool { return len(d.notReady(d.State())) == 0 }

func (d *Daemon) pathLimits() proxy.Limits {
	limits := proxy.DefaultLimits()
	limits.HeaderBytes = d.settings.Limits.HeaderBytes
	limits.Connections = d.settings.Limits.Connections
	return limits
}

func (d *Daemon) event(name string, fields ...node.LogField) {
	d.events.Event(name, fields)
}

// backendReporter passes the newest state of the back end on to the shell,
// also when it was reported before the shell existed.
type backendReporter struct {
	state atomic.Int64
	shell atomic.Pointer[Shell]
}

func (b *backendReporter) report(state protocol.EndpointState) {
	b.state.Store(int64(state))
	if shell := b.shell.Load(); shell != nil {
		shell.ReportBackend(state)
	}
}

func (b *backendReporter) connect(shell *Shell) {
	b.shell.Store(shell)
	if state := protocol.EndpointState(b.state.Load()); state != protocol.EndpointNone {
		shell.ReportBackend(state)
	}
}
