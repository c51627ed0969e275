package hosted

import (
	"cmp"
	"net/http"
	"time"

	"github.com/samber/do/v2"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/following"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/daemon"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/proxy"
)

// watchWait is how long the store may delay the answer to a watch if there is no change.
var watchWait = following.DefaultConfig().WatchWait

// The parts of a daemon. Each has its own type, because do identifies parts by their types.
type (
	dataPathPart  struct{ *proxy.Proxy }
	meshPart      struct{ *mesh }
	controlPart   struct{ *control.Server }
	callersServer struct{ *daemon.PathServer }
	gateServer    struct{ *daemon.PathServer }
	readyServer   struct{ *daemon.PathServer }
	reportsServer struct{ *daemon.PathServer }
	metricsServer struct{ *daemon.PathServer }
)

// Shutdown closes the connections of the data path.
func (p *dataPathPart) Shutdown() error {
	p.Close()
	return nil
}

// Shutdown closes the connections to peers and waits until the mesh's goroutines have ended.
func (m *meshPart) Shutdown() error {
	m.client.Close()
	m.awaitStopped()
	return nil
}

// Shutdown stops accepting calls from peers.
func (c *controlPart) Shutdown() error {
	c.Close()
	return nil
}

// registerParts registers the constructors of the parts. do calls each one when its part is first
// requested, and shuts the parts down in the reverse order of their dependencies.
func (d *Daemon) registerParts() {
	do.Provide(d.injector, d.newDataPath)
	do.Provide(d.injector, d.newMesh)
	do.Provide(d.injector, d.newControl)
	do.Provide(d.injector, d.newCallersServer)
	do.Provide(d.injector, d.newGateServer)
	do.Provide(d.injector, d.newReadyServer)
	do.Provide(d.injector, d.newReportsServer)
	do.Provide(d.injector, d.newMetricsServer)
}

// buildParts builds all parts.
func (d *Daemon) buildParts() error {
	path, err := do.Invoke[*dataPathPart](d.injector)
	if err != nil {
		return err
	}
	d.dataPath = path.Proxy
	part, err := do.Invoke[*meshPart](d.injector)
	if err != nil {
		return err
	}
	d.mesh = part.mesh
	for _, invoke := range []func() error{
		invoker[*controlPart](d.injector),
		invoker[*callersServer](d.injector),
		invoker[*gateServer](d.injector),
		invoker[*readyServer](d.injector),
		invoker[*reportsServer](d.injector),
		invoker[*metricsServer](d.injector),
	} {
		if err := invoke(); err != nil {
			return err
		}
	}
	return nil
}

// invoker returns a function that builds a part on which no other part depends.
func invoker[Part any](injector do.Injector) func() error {
	return func() error {
		_, err := do.Invoke[Part](injector)
		return err
	}
}

// newMesh builds the mesh, the configuration follower and the back-end monitor, and connects them:
// they call each other through function fields.
func (d *Daemon) newMesh(injector do.Injector) (*meshPart, error) {
	path, err := do.Invoke[*dataPathPart](injector)
	if err != nil {
		return nil, err
	}
	m := d.newUnlinkedMesh(path)
	m.quotas = newQuotas(m, d.settings.Quotas.Tolerance(), d.findTenant)
	d.linkConnections(path, m)
	d.configuration = d.newConfigurationFollower(path, m)
	m.readEvidence = path.AnswerEvidence
	m.setCounting = path.SetAnswerCounting
	m.version = d.configuration.version
	m.documentFor = d.configuration.packedDocument
	m.onPeerVersion = d.configuration.handlePeerVersion
	m.isStoreUnavailable = d.configuration.isStoreUnavailable
	m.pollStore = d.configuration.pollStore
	d.configuration.announceVersion = m.announceVersion
	d.backend = d.newBackendMonitor(path, m)
	m.restoreDraining = d.backend.restoreDraining
	m.restoreCallRate = path.RestoreCallRate
	d.eras.onRise = []func(uint64){
		d.configuration.observeEra,
		func(uint64) { m.connections.restartWatches() },
		m.checkRegistrations,
	}
	if d.options.Platform.OnEra != nil {
		d.options.Platform.OnEra(d.eras.recordAnswer)
	}
	if d.options.Platform.OnFault != nil {
		d.options.Platform.OnFault(newFaultLog(d.events).logOnce)
	}
	d.backend.config.onEvacuationEnd = d.backend.assumeColdLocked
	m.onZoneChange = d.backend.publishViewAsync
	d.decider = newRolloutDecider(m, d.options.Platform.Rollouts)
	d.evacuations = newEvacuationReader(m, d.options.Platform.Evacuations, d.settings.Evacuations.Within())
	path.ExtendServing(forever)
	return &meshPart{m}, nil
}

// newUnlinkedMesh builds the mesh without the function fields that call the configuration follower
// and the back-end monitor.
func (d *Daemon) newUnlinkedMesh(path *dataPathPart) *mesh {
	return &mesh{
		events:           d.events,
		clock:            d.clock,
		registry:         d.options.Platform.Registry,
		client:           control.NewClient(nil, controlLimits(), control.NewMeter()),
		storeCalls:       &d.storeCalls,
		contacts:         d.contacts,
		publishState:     path.PublishState,
		roundTrips:       &d.roundTrips,
		harmful:          path.Proxy,
		heldStore:        d.options.Platform.Held,
		storedHeld:       map[quarantine.Signature]storedRequest{},
		eras:             &d.eras,
		pollRequested:    make(chan struct{}, 1),
		rollouts:         newRolloutTable(d.settings.Rollouts.ExposureShare),
		maxDocumentBytes: d.settings.Authority.ValueBytes,
		context:          d.context,
		roster:           membership.NewRoster(),
		lostPeers:        map[protocol.NodeID]bool{},
		verifying:        map[protocol.NodeID]chan struct{}{},
		batch:            dissemination.NewBatch[protocol.NodeID](minBroadcastInterval),
		harmfulBatch:     dissemination.NewBatch[uint64](minHarmfulInterval),

		reachability: path.Proxy,
		self: protocol.Member{
			ID:             protocol.NodeID(d.settings.Node.ID),
			Incarnation:    d.incarnation,
			State:          protocol.MemberAlive,
			ControlAddress: cmp.Or(d.settings.Listen.AdvertisedControl, d.settings.Listen.Control),
			DataAddress:    cmp.Or(d.settings.Listen.AdvertisedGate, d.settings.Listen.Gate),
			Region:         d.settings.Node.Region,
			Zone:           d.settings.Node.Zone,
			Service:        serviceRef(d.settings.Backend.Service),
			CapacityClass:  d.settings.Machine.CapacityClass(),
		},
	}
}

// linkConnections sets up the renewal of all connections of the daemon. They are renewed when any
// part of the daemon has found one of them dead.
func (d *Daemon) linkConnections(path *dataPathPart, m *mesh) {
	renewStore := d.options.Platform.Renew
	m.connections = &connectionRenewer{
		events: d.events, clock: d.clock, context: d.context, running: &m.running, eras: m.eras,
		replaceStoreConnections: func() {
			if renewStore != nil {
				renewStore()
			}
		},
	}
	m.connections.replaceConnections = func() {
		m.connections.replaceStoreConnections()
		m.client.DropOpenedBefore(time.Now())
		path.RenewConnections()
	}
	m.connections.start()
	m.reads = &hedgedReads{
		clock: d.clock, running: &m.running, calls: m.storeCalls, renewConnections: renewStore,
		onDeadConnection: func(opened time.Duration) { m.connections.reportDead(remoteStore, opened) },
	}
	m.client.UseCBOR()
	m.client.HedgeCalls(control.Hedge{
		After: func() time.Duration { return silenceTimeout(&d.roundTrips) },
		OnDead: func(_ string, opened time.Time) {
			m.connections.reportDead(remotePeer, d.clock()-time.Since(opened))
		},
	})
}

// newConfigurationFollower builds the follower of the authority's configuration.
func (d *Daemon) newConfigurationFollower(path *dataPathPart, m *mesh) *configurationFollower {
	return &configurationFollower{
		source:        d.options.Platform.Source,
		events:        d.events,
		clock:         d.clock,
		applySnapshot: path.Swap,
		applyLimits: func(limits authority.RequestLimits) {
			path.SetRequestLimits(proxy.RequestLimits(limits))
		},
		fetchFromPeer: m.fetchDocument,
		context:       d.context,
		calls:         &d.storeCalls,
		contacts:      d.contacts,
		reads:         m.reads, connections: m.connections, eras: m.eras,
		follower: following.New(following.ConfigForApplyTime(d.settings.Authority.Apply()), randomNumber),
	}
}

// newBackendMonitor builds the monitor of the back end. newMesh sets its onEvacuationEnd function.
func (d *Daemon) newBackendMonitor(path *dataPathPart, m *mesh) *backendMonitor {
	return &backendMonitor{
		config: backendMonitorConfig{
			address:    d.settings.Backend.Address,
			prober:     d.options.Platform.Probe,
			healthPath: d.healthPath,
			warmUpTime: func() time.Duration {
				return d.configuration.warmUp(serviceRef(d.settings.Backend.Service))
			},
			knowsPeersAndOrders: d.knowsPeersAndOrders,
			isZoneEvacuated:     m.isOwnZoneEvacuated,
			callRate:            path.CallRate,
		},
		events:           d.events,
		clock:            d.clock,
		reportToGate:     path.ReportBackend,
		setColdUntil:     path.SetColdUntil,
		beginProbe:       path.BeginBackendProbe,
		setReportedCalls: path.SetReportedCalls,
		announceToMesh:   m.announceBackend,
		context:          d.context,
		tracker:          backend.NewTracker(d.settings.Backend.HeartbeatInterval()),
		refusalLogRate:   logging.NewRate(refusalLogsPerSecond, refusalLogBurst),
	}
}

// forever is a time that the clock never reaches. A hosted daemon may serve its configuration for
// any length of time without contact with the authority.
const forever = 1 << 62

// healthPath returns the path at which the back end answers probes; empty while it is unknown.
func (d *Daemon) healthPath() string {
	return d.configuration.healthPath(serviceRef(d.settings.Backend.Service))
}

func (d *Daemon) newControl(injector do.Injector) (*controlPart, error) {
	part, err := do.Invoke[*meshPart](injector)
	if err != nil {
		return nil, err
	}
	listener, err := listen("listen.control", d.settings.Listen.Control)
	if err != nil {
		return nil, err
	}
	server := control.NewServer(listener, nil, part.mesh, controlLimits(), control.NewMeter())
	server.Start()
	return &controlPart{server}, nil
}

func (d *Daemon) newCallersServer(injector do.Injector) (*callersServer, error) {
	server, err := d.serveDataPath(injector, "listen.callers", d.settings.Listen.Callers, (*proxy.Proxy).CallerHandler)
	return &callersServer{server}, err
}

func (d *Daemon) newGateServer(injector do.Injector) (*gateServer, error) {
	server, err := d.serveDataPath(injector, "listen.gate", d.settings.Listen.Gate, (*proxy.Proxy).GateHandler)
	return &gateServer{server}, err
}

// serveDataPath serves one handler of the data path, that of callers or that of the gate, at an
// address.
func (d *Daemon) serveDataPath(injector do.Injector, name, address string, handlerOf func(*proxy.Proxy) http.Handler) (*daemon.PathServer, error) {
	path, err := do.Invoke[*dataPathPart](injector)
	if err != nil {
		return nil, err
	}
	listener, err := listen(name, address)
	if err != nil {
		return nil, err
	}
	return daemon.ServePath(listener, proxy.NewServer(handlerOf(path.Proxy), proxyLimits(&d.settings)), closeTimeout), nil
}

func (d *Daemon) newReadyServer(do.Injector) (*readyServer, error) {
	server, err := serveWeb("listen.ready", d.settings.Listen.Ready, d.options.Platform.Ready(d.Ready))
	return &readyServer{server}, err
}

func (d *Daemon) newReportsServer(injector do.Injector) (*reportsServer, error) {
	if _, err := do.Invoke[*meshPart](injector); err != nil {
		return nil, err
	}
	server, err := serveWeb("listen.reports", d.settings.Listen.Reports, d.options.Platform.Reports(d.backend))
	return &reportsServer{server}, err
}

func (d *Daemon) newMetricsServer(injector do.Injector) (*metricsServer, error) {
	if d.settings.Listen.Metrics == "" {
		return &metricsServer{}, nil
	}
	if _, err := do.Invoke[*meshPart](injector); err != nil {
		return nil, err
	}
	server, err := serveWeb("listen.metrics", d.settings.Listen.Metrics, d.metricsHandler())
	return &metricsServer{server}, err
}

// Shutdown stops the metrics server, if there is one.
func (m *metricsServer) Shutdown() error {
	if m.PathServer == nil {
		return nil
	}
	return m.PathServer.Shutdown()
}

// serveWeb serves a small HTTP interface at an address.
func serveWeb(name, address string, handler http.Handler) (*daemon.PathServer, error) {
	listener, err := listen(name, address)
	if err != nil {
		return nil, err
	}
	return daemon.ServePath(listener, proxy.NewWebServer(handler, webLimits()), closeTimeout), nil
}
