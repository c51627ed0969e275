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
	"github.com/springstack/springstack/internal/core/warmup"
	"github.com/springstack/springstack/internal/daemon"
	"github.com/springstack/springstack/internal/metrics"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/settings"
)

// Daemon is one hosted springstackd. It is started and stopped once.
type Daemon struct {
	settings settings.Hosted
	options  Options
	clock    daemon.Clock
	events   eventLog
	requests *requestLog
	timings  metrics.Timings
	injector *do.RootScope
	draining atomic.Bool
	// incarnation tells this start from earlier ones.
	incarnation protocol.Incarnation
	storeCalls  storeCalls
	// eras keeps the era of the store.
	eras eraTracker
	// contact keeps when the store and peers were last heard.
	contacts *contactTimes
	// roundTrips estimates how long peers take to answer.
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

// New returns a daemon that does not run yet. The settings must have been
// checked.
func New(checked settings.Hosted, options Options) *Daemon {
	ctx, cancel := context.WithCancel(context.Background())
	made := &Daemon{
		settings: checked,
		options:  options,
		clock:    daemon.NewClock(),
		injector: do.New(),
		timings:  metrics.NewTimings(),

		incarnation: newIncarnation(),
		context:     ctx,
		cancel:      cancel,
	}
	made.contacts = newContactTimes(made.clock)
	made.events = newEventLog(options.Logger, checked.Node.ID, made.clock)
	made.requests = newRequestLog(made.events)
	made.eras.events, made.eras.clock = made.events, made.clock
	made.registerParts()
	return made
}

// Start opens the addresses and begins to run. After an error nothing is left
// running.
func (d *Daemon) Start() error {
	if err := d.buildParts(); err != nil {
		_ = d.shutdown() // the first failure is the one to report
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

// newPath makes the data path.
func (d *Daemon) newDataPath(do.Injector) (*pathPart, error) {
	edge := d.options.Platform.Edge
	edge.Service = d.settings.Backend.Service
	return &pathPart{proxy.New(proxy.Config{
		Clock:                d.clock,
		NodeID:               protocol.NodeID(d.settings.Node.ID),
		Incarnation:          d.incarnation,
		Region:               d.settings.Node.Region,
		Zone:                 d.settings.Node.Zone,
		Service:              serviceRef(d.settings.Backend.Service),
		BackendAddress:       d.settings.Backend.Address,
		Slots:                1,
		Limits:               proxyLimits(d.settings.Drain.Grace()),
		RandomSeed:           0,
		Reported:             true,
		Edge:                 &edge,
		RetryBudget:          d.retryLimits,
		Spill:                spilloverLimits,
		OnBackendUnreachable: d.reportUnreachable,
		OnBackendFailed:      d.reportFailed,
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

// verifyPeer asks whether a daemon whose gate is silent is there.
func (d *Daemon) verifyPeer(node protocol.NodeID) { d.mesh.verifyReachable(node) }

// tellHarmful has other daemons told of requests that may be harmful.
func (d *Daemon) announceHarmful(urgent bool) { d.mesh.scheduleHarmfulBroadcast(urgent) }

// keepHeld leaves a held request in the store.
func (d *Daemon) storeHeldRequest(record quarantine.Record) { d.mesh.storeHeldRequest(record) }

func (d *Daemon) reportUnreachable(start protocol.BackendStart) { d.backend.markUnreachable(start) }

func (d *Daemon) reportFailed(start protocol.BackendStart, answered uint64) {
	d.backend.recordFailure(start, answered)
}

func (d *Daemon) logDataPathEvent(event proxy.Event) {
	d.events.event(event.Name, dataPathFields(event)...)
}

// Ready reports whether callers may be sent here.
func (d *Daemon) Ready() bool {
	return !d.draining.Load() && d.configuration.version() > 0 && d.knowsPeersAndOrders()
}

// knowsPeersAndOrders reports whether the daemon has heard of its peers and of the zones that are
// to be empty, or waited for them. The back end beside it gets no calls before.
func (d *Daemon) knowsPeersAndOrders() bool {
	return d.mesh.isJoined() && d.evacuations.isOrderWaitOver()
}

// Stop drains and ends the daemon. It returns within the platform's grace, or
// soon after ctx ends.
func (d *Daemon) Stop(ctx context.Context) error {
	began := d.clock()
	d.draining.Store(true)
	d.events.event("drain_started")
	d.dataPath.StartDrain()
	d.backend.markStopping()
	announcing := time.AfterFunc(drainLinger(d.settings.Drain.Grace())-stopAnnounceLead, d.mesh.announceStop)
	defer announcing.Stop()
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
	d.events.event("daemon_stopped", field("took_ms", formatMillis(d.clock()-began)))
	return errors.Trace(err)
}

// shutdown ends every part that was made.
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

// serviceRef is the reference of a service by its name on the platform.
func serviceRef(name string) resource.ServiceRef {
	return resource.ServiceRef{Partner: authority.Owner, Name: name}
}

func formatMillis(duration time.Duration) string {
	return strconv.FormatInt(duration.Milliseconds(), 10)
}

// newIncarnation is a number that grows with each start as long as the clock
// does; the mesh raises it above what peers remember.
func newIncarnation() protocol.Incarnation { return protocol.Incarnation(time.Now().UnixNano()) }

func randomNumber() uint64 { return rand.Uint64() }

// listen opens one address of the settings.
func listen(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Annotate(err, name)
}
