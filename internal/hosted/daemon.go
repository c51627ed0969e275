package hosted

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/samber/do/v2"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/roundtrip"
	"github.com/springstack/springstack/internal/core/tenancy"
	"github.com/springstack/springstack/internal/core/warmup"
	"github.com/springstack/springstack/internal/daemon"
	"github.com/springstack/springstack/internal/metrics"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/settings"
)

// Daemon is a hosted springstackd process. It can be started and stopped only once.
type Daemon struct {
	settings settings.Hosted
	options  Options
	clock    daemon.Clock
	events   eventLog
	requests *requestLog
	timings  metrics.Timings
	injector *do.RootScope
	draining atomic.Bool
	// incarnation distinguishes this start of the daemon from earlier ones.
	incarnation protocol.Incarnation
	storeCalls  storeCalls
	// eras tracks the era of the store.
	eras eraTracker
	// contacts holds the time of the last contact with the store and with any peer.
	contacts *contactTimes
	// roundTrips estimates the answer time of peers.
	roundTrips roundtrip.Estimator

	dataPath      *proxy.Proxy
	configuration *configurationFollower
	mesh          *mesh
	backend       *backendMonitor
	decider       *rolloutDecider
	evacuations   *evacuationReader

	context context.Context
	cancel  context.CancelFunc
}

// New returns a daemon that has not been started. The settings must have been
// validated.
func New(validated settings.Hosted, options Options) *Daemon {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: validated,
		options:  options,
		clock:    daemon.NewClock(),
		injector: do.New(),
		timings:  metrics.NewTimings(),

		incarnation: newIncarnation(),
		context:     ctx,
		cancel:      cancel,
	}
	d.contacts = newContactTimes(d.clock)
	d.events = newEventLog(options.Logger, validated.Node.ID, d.clock)
	d.requests = newRequestLog(d.events)
	d.eras.events, d.eras.clock = d.events, d.clock
	d.registerParts()
	return d
}

// Start opens the listeners and starts all parts of the daemon. If it returns an
// error, nothing is left running.
func (d *Daemon) Start() error {
	if err := d.buildParts(); err != nil {
		_ = d.shutdown() // report the first error, not that of the shutdown
		return errors.Trace(err)
	}
	d.mesh.start()
	d.configuration.start()
	d.backend.start()
	d.decider.start()
	d.evacuations.start()
	go d.logSummaries(d.context)
	d.events.event("daemon_started", field("callers", d.settings.Listen.Callers),
		field("gate", d.settings.Listen.Gate), field("control", d.settings.Listen.Control))
	return nil
}

// newDataPath creates the data path.
func (d *Daemon) newDataPath(do.Injector) (*dataPathPart, error) {
	edge := d.options.Platform.Edge
	edge.Service = d.settings.Backend.Service
	return &dataPathPart{proxy.New(proxy.Config{
		Clock:                d.clock,
		NodeID:               protocol.NodeID(d.settings.Node.ID),
		Incarnation:          d.incarnation,
		Region:               d.settings.Node.Region,
		Zone:                 d.settings.Node.Zone,
		Service:              serviceRef(d.settings.Backend.Service),
		BackendAddress:       d.settings.Backend.Address,
		Slots:                1,
		Limits:               proxyLimits(&d.settings),
		RandomSeed:           0,
		Reported:             true,
		Edge:                 &edge,
		RetryBudget:          d.retryLimits,
		TakeQuota:            d.takeQuota,
		ReturnQuota:          d.returnQuota,
		Spill:                spilloverLimits,
		OnBackendUnreachable: d.reportUnreachable,
		OnBackendFailed:      d.reportFailed,
		OnCallRate:           d.reportCallRate,
		OnBackendLeaving:     d.reportLeaving,
		OnSilent:             d.verifyPeer,
		OnHarmful:            d.announceHarmful,
		OnHeld:               d.storeHeldRequest,
		RoundTrip:            d.roundTrips.Timeout,
		WarmUp:               warmup.Tolerance(d.settings.WarmUp),
		Log:                  d.logDataPathEvent,
		Trace:                d.requests,
		Freshness:            func() []proxy.EventField { return d.configuration.freshnessFields() },
		Timings: proxy.Timings{
			Caller:  d.timings.Caller.Seconds,
			Turn:    d.timings.Turn.Seconds,
			Queue:   d.timings.Queue.Seconds,
			Backend: d.timings.Backend.Seconds,
		},
	})}, nil
}

// takeQuota and returnQuota pass calls of tenants to the mesh, which is built after the data path.
func (d *Daemon) takeQuota(ctx context.Context, tenant *tenancy.Tenant) (bool, time.Duration) {
	return d.mesh.quotas.Take(ctx, tenant)
}

func (d *Daemon) returnQuota(tenant *tenancy.Tenant) { d.mesh.quotas.Return(tenant) }

// findTenant returns a tenant of the configuration in force; nil if there is none.
func (d *Daemon) findTenant(name string) *tenancy.Tenant {
	current := d.configuration.currentSnapshot.Load()
	if current == nil {
		return nil
	}
	return current.Tenants.Named(name)
}

// verifyPeer checks whether a daemon is reachable after its gate stopped answering calls.
func (d *Daemon) verifyPeer(node protocol.NodeID) { d.mesh.verifyReachable(node) }

// announceHarmful schedules a broadcast of the new records of harmful requests to all daemons, without
// a delay if urgent is set.
func (d *Daemon) announceHarmful(urgent bool) { d.mesh.scheduleHarmfulBroadcast(urgent) }

// storeHeldRequest writes the record of a held request to the store.
func (d *Daemon) storeHeldRequest(record quarantine.Record) { d.mesh.storeHeldRequest(record) }

func (d *Daemon) reportUnreachable(start protocol.BackendStart) { d.backend.markUnreachable(start) }

func (d *Daemon) reportFailed(start protocol.BackendStart, successCount uint64) {
	d.backend.recordFailure(start, successCount)
}

func (d *Daemon) reportCallRate(start protocol.BackendStart) { d.backend.updateCallRate(start) }

func (d *Daemon) reportLeaving(start protocol.BackendStart) { d.backend.handleLeavingNotice(start) }

func (d *Daemon) logDataPathEvent(event proxy.Event) {
	d.events.event(event.Name, dataPathFields(event)...)
}

// Ready reports whether callers may send requests to this daemon.
func (d *Daemon) Ready() bool {
	return !d.draining.Load() && d.configuration.version() > 0 && d.knowsPeersAndOrders()
}

// knowsPeersAndOrders reports whether the daemon has received the records of its peers and the
// evacuation orders, or has waited for each of them long enough. Its back end is not probed, and
// so receives no calls, before that.
func (d *Daemon) knowsPeersAndOrders() bool {
	return d.mesh.isJoined() && d.evacuations.isOrderWaitOver()
}

// Stop drains the daemon and shuts it down. It returns within the platform's grace
// period, or soon after ctx ends.
func (d *Daemon) Stop(ctx context.Context) error {
	startedAt := d.clock()
	d.draining.Store(true)
	d.events.event("drain_started")
	d.dataPath.StartDrain()
	d.backend.markStopping()
	announceTimer := time.AfterFunc(drainLinger(d.settings.Drain.Grace())-stopAnnounceLead, d.mesh.announceStop)
	defer announceTimer.Stop()
	select {
	case <-d.dataPath.Drained():
	case <-ctx.Done():
	}
	d.mesh.announceLeave(ctx)
	if d.backend.isDraining() {
		d.mesh.unregister(ctx)
	}
	d.cancel()
	err := d.shutdown()
	d.events.event("daemon_stopped", field("took_ms", formatMillis(d.clock()-startedAt)))
	return errors.Trace(err)
}

// shutdown stops all parts that have been created.
func (d *Daemon) shutdown() error {
	d.cancel()
	report := d.injector.Shutdown()
	if d.configuration != nil {
		d.configuration.wait()
	}
	if d.options.Platform.Close != nil {
		d.options.Platform.Close()
	}
	if report == nil || report.Succeed {
		return nil
	}
	return report
}

// serviceRef returns the reference to a service that is defined by the owner of the mesh
// (authority.Owner) rather than by another partner.
func serviceRef(name string) resource.ServiceRef {
	return resource.ServiceRef{Partner: authority.Owner, Name: name}
}

func formatMillis(duration time.Duration) string {
	return strconv.FormatInt(duration.Milliseconds(), 10)
}

// newIncarnation returns the wall-clock time, which increases with each start unless the
// clock was set back. In that case the mesh raises the incarnation above the one that peers know.
func newIncarnation() protocol.Incarnation { return protocol.Incarnation(time.Now().UnixNano()) }

func randomNumber() uint64 { return rand.Uint64() }

// listen opens a TCP listener. name is the setting that holds the address, for error messages.
func listen(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Annotate(err, name)
}
