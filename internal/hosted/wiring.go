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

// watchWait is how long the store may hold a watch without news.
var watchWait = following.DefaultConfig().WatchWait

// The parts of a daemon as do knows them: a type of its own for each.
type (
	pathPart      struct{ *proxy.Proxy }
	meshPart      struct{ *mesh }
	controlPart   struct{ *control.Server }
	callersServer struct{ *daemon.PathServer }
	gateServer    struct{ *daemon.PathServer }
	readyServer   struct{ *daemon.WebServer }
	reportsServer struct{ *daemon.WebServer }
	metricsServer struct{ *daemon.WebServer }
)

// Shutdown gives up the path's connections.
func (p *pathPart) Shutdown() error {
	p.Close()
	return nil
}

// Shutdown ends the mesh's loops and calls.
func (m *meshPart) Shutdown() error {
	m.client.Close()
	m.awaitStopped()
	return nil
}

// Shutdown stops taking calls of peers.
func (c *controlPart) Shutdown() error {
	c.Close()
	return nil
}

// provide registers the parts. do makes each when it is first asked for and
// shuts them down in the opposite order of their dependencies.
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

// assemble makes all parts.
func (d *Daemon) buildParts() error {
	path, err := do.Invoke[*pathPart](d.injector)
	if err != nil {
		return err
	}
	d.dataPath = path.Proxy
	made, err := do.Invoke[*meshPart](d.injector)
	if err != nil {
		return err
	}
	d.mesh = made.mesh
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

// invoked makes a part that nothing else asks for.
func invoker[Part any](injector do.Injector) func() error {
	return func() error {
		_, err := do.Invoke[Part](injector)
		return err
	}
}

// newMesh makes the mesh, the configuration and the back end's side, which
// know each other by what they call.
func (d *Daemon) newMesh(injector do.Injector) (*meshPart, error) {
	path, err := do.Invoke[*pathPart](injector)
	if err != nil {
		return nil, err
	}
	made := d.newUnlinkedMesh(path)
	d.linkConnections(path, made)
	d.configuration = d.newConfiguration(path, made)
	made.readEvidence = path.AnswerEvidence
	made.setCounting = path.SetAnswerCounting
	made.version = d.configuration.version
	made.documentFor = d.configuration.packedDocument
	made.onPeerVersion = d.configuration.handlePeerVersion
	made.isStoreUnavailable = d.configuration.isStoreUnavailable
	made.pollStore = d.configuration.pollStore
	d.configuration.announceVersion = made.announceVersion
	d.backend = d.newBackendSide(path, made)
	made.restoreDraining = d.backend.restoreDraining
	d.eras.onRise = []func(uint64){
		d.configuration.observeEra,
		func(uint64) { made.connections.restartWatches() },
		made.checkRegistrations,
	}
	if d.options.Platform.OnEra != nil {
		d.options.Platform.OnEra(d.eras.recordAnswer)
	}
	if d.options.Platform.OnFault != nil {
		d.options.Platform.OnFault(newFaultLog(d.events).logOnce)
	}
	d.backend.config.onEvacuationEnd = d.backend.assumeColdLocked
	made.onZoneChange = d.backend.recheckZone
	d.decider = newRolloutDecider(made, d.options.Platform.Rollouts)
	d.evacuations = newEvacuationReader(made, d.options.Platform.Evacuations, d.settings.Evacuations.Within())
	path.ExtendServing(forever)
	return &meshPart{made}, nil
}

// unlinkedMesh makes the mesh, which does not know the configuration and the back end's side yet.
func (d *Daemon) newUnlinkedMesh(path *pathPart) *mesh {
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
		verifying:        map[protocol.NodeID]bool{},
		batch:            dissemination.NewBatch(minBroadcastInterval),

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
		},
	}
}

// linkConnections has the connections of the daemon made anew when one is found dead, whoever finds
// that out.
func (d *Daemon) linkConnections(path *pathPart, m *mesh) {
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
	m.client.HedgeCalls(control.Hedge{
		After: func() time.Duration { return silenceTimeout(&d.roundTrips) },
		OnDead: func(_ string, opened time.Time) {
			m.connections.reportDead(remotePeer, d.clock()-time.Since(opened))
		},
	})
}

// newConfiguration makes what follows the authority's configuration and puts it in force.
func (d *Daemon) newConfiguration(path *pathPart, m *mesh) *configurationFollower {
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

// newBackendSide makes what follows the back end; its hook for a zone that is taken back follows.
func (d *Daemon) newBackendSide(path *pathPart, m *mesh) *backendMonitor {
	return &backendMonitor{
		config: backendMonitorConfig{
			address:    d.settings.Backend.Address,
			prober:     d.options.Platform.Probe,
			healthPath: d.healthPath,
			warmUpTime: func() time.Duration {
				return d.configuration.warmUp(serviceRef(d.settings.Backend.Service))
			},
			hasJoinedMesh:   d.knowsPeersAndOrders,
			isZoneEvacuated: m.isOwnZoneEvacuated,
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

// forever is a time on the clock that never comes: a hosted daemon may serve
// what it holds, however long it is cut off.
const forever = 1 << 62

// healthPath is where the back end answers probes; empty while that is not
// known.
func (d *Daemon) healthPath() string {
	return d.configuration.healthPath(serviceRef(d.settings.Backend.Service))
}

func (d *Daemon) newControl(injector do.Injector) (*controlPart, error) {
	made, err := do.Invoke[*meshPart](injector)
	if err != nil {
		return nil, err
	}
	listener, err := listen("listen.control", d.settings.Listen.Control)
	if err != nil {
		return nil, err
	}
	server := control.NewServer(listener, nil, made.mesh, controlLimits(), control.NewMeter())
	server.Start()
	return &controlPart{server}, nil
}

func (d *Daemon) newCallersServer(injector do.Injector) (*callersServer, error) {
	server, err := d.servePath(injector, "listen.callers", d.settings.Listen.Callers, (*proxy.Proxy).CallerHandler)
	return &callersServer{server}, err
}

func (d *Daemon) newGateServer(injector do.Injector) (*gateServer, error) {
	server, err := d.servePath(injector, "listen.gate", d.settings.Listen.Gate, (*proxy.Proxy).GateHandler)
	return &gateServer{server}, err
}

// servePath serves one side of the data path at an address.
func (d *Daemon) servePath(injector do.Injector, name, address string, side func(*proxy.Proxy) http.Handler) (*daemon.PathServer, error) {
	path, err := do.Invoke[*pathPart](injector)
	if err != nil {
		return nil, err
	}
	listener, err := listen(name, address)
	if err != nil {
		return nil, err
	}
	return daemon.ServePath(listener, proxy.NewServer(side(path.Proxy), proxyLimits(d.settings.Drain.Grace())), closeTimeout), nil
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

// Shutdown ends the metrics' server, if there is one.
func (m *metricsServer) Shutdown() error {
	if m.WebServer == nil {
		return nil
	}
	return m.WebServer.Shutdown()
}

// serveWeb serves a small HTTP interface at an address.
func serveWeb(name, address string, handler http.Handler) (*daemon.WebServer, error) {
	listener, err := listen(name, address)
	if err != nil {
		return nil, err
	}
	return daemon.ServeWeb(listener, nil, handler, closeTimeout), nil
}
