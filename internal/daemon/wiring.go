package daemon

import (
	"github.com/juju/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/access"
	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/operator"
	"github.com/springstack/springstack/internal/platform"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/settings"
)

// provide registers the parts of a daemon. do makes each when it is first
// asked for and shuts them down in the opposite order of their dependencies.
func (d *Daemon) provide() {
	do.Provide(d.injector, d.newListeners)
	do.Provide(d.injector, d.newSecurity)
	do.Provide(d.injector, d.newPlatform)
	do.Provide(d.injector, d.newPath)
	do.Provide(d.injector, d.newMesh)
	do.Provide(d.injector, d.newCallersServer)
	do.Provide(d.injector, d.newGateServer)
	do.Provide(d.injector, d.newOperatorsServer)
	do.Provide(d.injector, d.newAdminServer)
}

// The parts of a daemon as do knows them: a type of its own for each.
type (
	pathPart struct{ *proxy.Proxy }
	// platformPart is the port and what closes it, if anything.
	platformPart struct {
		platform.Port
		close func()
	}
	callersServer   struct{ *PathServer }
	gateServer      struct{ *PathServer }
	operatorsServer struct{ *WebServer }
	adminServer     struct{ *WebServer }
	// security holds the TLS configurations; all nil in the clear.
	security struct{ access.Ports }
)

// Shutdown gives up the path's connections.
func (p pathPart) Shutdown() error {
	p.Close()
	return nil
}

// Shutdown closes the platform's connections.
func (p platformPart) Shutdown() error {
	if p.close != nil {
		p.close()
	}
	return nil
}

func (d *Daemon) newListeners(do.Injector) (*listeners, error) {
	return listen(d.settings.Listen)
}

func (d *Daemon) newSecurity(do.Injector) (*security, error) {
	ports, err := access.NewPorts(d.settings)
	if err != nil {
		return nil, errors.Annotate(err, "tls")
	}
	d.identity = ports.Identity
	return &security{ports}, nil
}

func (d *Daemon) newPlatform(injector do.Injector) (*platformPart, error) {
	if d.overrides.Platform != nil {
		return &platformPart{Port: d.overrides.Platform}, nil
	}
	secure, err := do.Invoke[*security](injector)
	if err != nil {
		return nil, err
	}
	port, err := platform.NewHTTP(platform.HTTPConfig{
		URL:    d.settings.Platform.URL,
		Client: d.settings.Node.ID,
		TLS:    secure.Platform,
	})
	if err != nil {
		return nil, errors.Annotate(err, "platform")
	}
	return &platformPart{Port: port, close: port.Close}, nil
}

func (d *Daemon) newPath(injector do.Injector) (*pathPart, error) {
	secure, err := do.Invoke[*security](injector)
	if err != nil {
		return nil, err
	}
	backend := d.settings.Backend
	limits := proxy.DefaultLimits()
	limits.BodyBytes = d.settings.Limits.BodyBytes
	limits.HeaderBytes = d.settings.Limits.HeaderBytes
	limits.Connections = d.settings.Limits.Connections
	limits.QueueLength = d.settings.Limits.Queue
	limits.DrainBound = d.settings.Drain.Bound
	return &pathPart{proxy.New(proxy.Config{
		Clock:          d.clock,
		NodeID:         protocol.NodeID(d.settings.Node.ID),
		Incarnation:    d.overrides.Incarnation,
		Region:         d.settings.Node.Region,
		Zone:           d.settings.Node.Zone,
		Service:        backendService(backend),
		Backend:        backend.Name,
		BackendAddress: backend.Address,
		Slots:          backend.Slots,
		Limits:         limits,
		RandomSeed:     d.overrides.RandomSeed,
		PeerTLS:        secure.Peers,
		OnBackendState: d.reportBackend,
		Log:            d.logPath,
	})}, nil
}

// reportBackend passes the back end's state to the node once that exists.
func (d *Daemon) reportBackend(state protocol.EndpointState) {
	d.backend.report(state)
}

// logPath writes an event of the path.
func (d *Daemon) logPath(event proxy.Event) {
	d.events.Event(event.Name, lo.Map(event.Fields, func(field proxy.EventField, _ int) node.LogField {
		return node.LogField{Key: field.Key, Value: field.Value}
	}))
}

func (d *Daemon) newCallersServer(injector do.Injector) (*callersServer, error) {
	opened, path, err := d.pathParts(injector)
	if err != nil {
		return nil, err
	}
	return &callersServer{ServePath(opened.callers, proxy.NewServer(path.CallerHandler(), d.pathLimits()), d.closeBound)}, nil
}

func (d *Daemon) newGateServer(injector do.Injector) (*gateServer, error) {
	opened, path, err := d.pathParts(injector)
	if err != nil {
		return nil, err
	}
	secure, err := do.Invoke[*security](injector)
	if err != nil {
		return nil, err
	}
	server := proxy.NewServer(path.GateHandler(), d.pathLimits()).SetTLS(secure.Control)
	return &gateServer{ServePath(opened.gate, server, d.closeBound)}, nil
}

func (d *Daemon) pathParts(injector do.Injector) (*listeners, *pathPart, error) {
	opened, err := do.Invoke[*listeners](injector)
	if err != nil {
		return nil, nil, err
	}
	path, err := do.Invoke[*pathPart](injector)
	return opened, path, err
}

func (d *Daemon) newOperatorsServer(injector do.Injector) (*operatorsServer, error) {
	opened, err := do.Invoke[*listeners](injector)
	if err != nil {
		return nil, err
	}
	secure, err := do.Invoke[*security](injector)
	if err != nil {
		return nil, err
	}
	mesh, err := do.Invoke[*meshPart](injector)
	if err != nil {
		return nil, err
	}
	granted, err := operator.NewAccess(lo.Map(d.settings.Operators.Tokens, grantOf))
	if err != nil {
		return nil, errors.Annotate(err, "operators.tokens")
	}
	handler := operator.New(operatorBackend{shell: mesh.shell}, granted)
	return &operatorsServer{ServeWeb(opened.operators, secure.Operators, handler, d.closeBound)}, nil
}

func grantOf(token settings.Token, _ int) operator.Grant {
	return operator.Grant{Partner: resource.Partner(token.Partner), TokenDigest: token.SHA256}
}

func (d *Daemon) newAdminServer(injector do.Injector) (*adminServer, error) {
	opened, err := do.Invoke[*listeners](injector)
	if err != nil {
		return nil, err
	}
	if _, err := do.Invoke[*meshPart](injector); err != nil {
		return nil, err
	}
	return &adminServer{ServeWeb(opened.admin, nil, d.adminHandler(d.registry()), d.closeBound)}, nil
}

// shutdown ends every part that was made.
func (d *Daemon) shutdown() error {
	report := d.injector.Shutdown()
	if report == nil || report.Succeed {
		return nil
	}
	return report
}
