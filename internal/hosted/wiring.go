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
	m.stop()
	return nil
}

// Shutdown stops taking calls of peers.
func (c *controlPart) Shutdown() error {
	c.Close()
	return nil
}

// provide registers the parts. do makes each when it is first asked for and
// shuts them down in the opposite order of their dependencies.
func (d *Daemon) provide() {
	do.Provide(d.injector, d.newPath)
	do.Provide(d.injector, d.newMesh)
	do.Provide(d.injector, d.newControl)
	do.Provide(d.injector, d.newCallersServer)
	do.Provide(d.injector, d.newGateServer)
	do.Provide(d.injector, d.newReadyServer)
	do.Provide(d.injector, d.newReportsServer)
	do.Provide(d.injector, d.newMetricsServer)
}

// assemble makes all parts.
func (d *Daemon) assemble() error {
	path, err := do.Invoke[*pathPart](d.injector)
	if err != nil {
		return err
	}
	d.path = path.Proxy
	made, err := do.Invoke[*meshPart](d.injector)
	if err != nil {
		return err
	}
	d.mesh = made.mesh
	for _, invoke := range []func() error{
		invoked[*controlPart](d.injector),
		invoked[*callersServer](d.injector),
		invoked[*gateServer](d.injector),
		invoked[*readyServer](d.injector),
		invoked[*reportsServer](d.injector),
		invoked[*metricsServer](d.injector),
	} {
		if err := invoke(); err != nil {
			return err
		}
	}
	return nil
}

// invoked makes a part that nothing else asks for.
func invoked[Part any](injector do.Injector) func() error {
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
	made := d.unlinkedMesh(path)
	d.linkConnections(path, made)
	d.configuration = d.newConfiguration(path, made)
	made.counted = path.AnswerEvidence
	made.countAnswers = path.SetAnswerCounting
	made.version = d.configuration.version
	made.document = d.configuration.packedDocument
	made.heardOf = d.configuration.heardOf
	made.storeFails = d.configuration.storeFails
	made.poll = d.configuration.poll
	d.configuration.announce = made.announceVersion
	d.backend = d.newBackendSide(path, made)
	made.rememberLeaving = d.backend.rememberLeaving
	d.eras.risen = []func(uint64){
		d.configuration.newEra,
		func(uint64) { made.connections.rewatch() },
		made.checkRegistrations,
	}
	if d.options.Platform.OnEra != nil {
		d.options.Platform.OnEra(d.eras.answered)
	}
	if d.options.Platform.OnFault != nil {
		d.options.Platform.OnFault(newFaultLog(d.events).tell)
	}
	d.backend.settings.takenBack = d.backend.doubtWarmth
	made.zoneChanged = d.backend.zoneChanged
	d.decider = newRolloutDecider(made, d.options.Platform.Rollouts)
	d.evacuations = newEvacuationReader(made, d.options.Platform.Evacuations, d.settings.Evacuations.Within())
	path.ExtendServing(forever)
	return &meshPart{made}, nil
}

// unlinkedMesh makes the mesh, which does not know the configuration and the back end's side yet.
func (d *Daemon) unlinkedMesh(path *pathPart) *mesh {
	return &mesh{
		events:     d.events,
		clock:      d.clock,
		registry:   d.options.Platform.Registry,
		client:     control.NewClient(nil, controlLimits(), control.NewMeter()),
		calls:      &d.storeCalls,
		contact:    d.contact,
		publish:    path.PublishState,
		roundTrips: &d.roundTrips,
		harmful:    path.Proxy,
		held:       d.options.Platform.Held,
		kept:       map[quarantine.Signature]keptRequest{},
		eras:       &d.eras,
		pollNow:    make(chan struct{}, 1),
		rollouts:   newRolloutTable(d.settings.Rollouts.ExposureShare),
		valueBytes: d.settings.Authority.ValueBytes,
		context:    d.context,
		roster:     membership.NewRoster(),
		lost:       map[protocol.NodeID]bool{},
		verifying:  map[protocol.NodeID]bool{},
		batch:      dissemination.NewBatch(batchPeriod),

		path: path.Proxy,
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
	m.connections = &connections{
		events: d.events, clock: d.clock, context: d.context, running: &m.running, eras: m.eras,
		renewStore: func() {
			if renewStore != nil {
				renewStore()
			}
		},
	}
	m.connections.renew = func() {
		m.connections.renewStore()
		m.client.DropOpenedBefore(time.Now())
		path.RenewConnections()
	}
	m.connections.start()
	m.reads = &storeReads{
		clock: d.clock, running: &m.running, calls: m.calls, renew: renewStore,
		dead: func(opened time.Duration) { m.connections.dead(placeStore, opened) },
	}
	m.client.HedgeCalls(control.Hedge{
		After: func() time.Duration { return silenceAfter(&d.roundTrips) },
		OnDead: func(_ string, opened time.Time) {
			m.connections.dead(placePeer, d.clock()-time.Since(opened))
		},
	})
}

// newConfiguration makes what follows the authority's configuration and puts it in force.
func (d *Daemon) newConfiguration(path *pathPart, m *mesh) *configuration {
	return &configuration{
		source: d.options.Platform.Source,
		events: d.events,
		clock:  d.clock,
		swap:   path.Swap,
		limit: func(limits authority.RequestLimits) {
			path.SetRequestLimits(proxy.RequestLimits(limits))
		},
		askPeer: m.askDocument,
		context: d.context,
		calls:   &d.storeCalls,
		contact: d.contact,
		reads:   m.reads, connections: m.connections, eras: m.eras,
		follower: following.New(following.ConfigForApplyTime(d.settings.Authority.Apply()), randomNumber),
	}
}

// newBackendSide makes what follows the back end; its hook for a zone that is taken back follows.
func (d *Daemon) newBackendSide(path *pathPart, m *mesh) *backendSide {
	return &backendSide{
		settings: hostedBackend{
			address:    d.settings.Backend.Address,
			probe:      d.options.Platform.Probe,
			healthPath: d.healthPath,
			warmUp: func() time.Duration {
				return d.configuration.warmUp(serviceRef(d.settings.Backend.Service))
			},
			joined:    d.knowsPeersAndOrders,
			evacuated: m.evacuated,
		},
		events:   d.events,
		clock:    d.clock,
		gate:     path.ReportBackend,
		cold:     path.SetColdUntil,
		probes:   path.BeginBackendProbe,
		holds:    path.SetReportedCalls,
		announce: m.announce,
		context:  d.context,
		tracker:  backend.NewTracker(d.settings.Backend.HeartbeatInterval()),
		refusals: logging.NewRate(refusalsPerSecond, refusalsBurst),
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
	return daemon.ServePath(listener, proxy.NewServer(side(path.Proxy), pathLimits(d.settings.Drain.Grace())), closeBound), nil
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
	return daemon.ServeWeb(listener, nil, handler, closeBound), nil
}
