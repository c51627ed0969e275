package rig

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/link"
	"github.com/springstack/springstack/internal/lab/scenario"
	"github.com/springstack/springstack/internal/proxy"
)

// Machine is one back end with the daemon's data path beside it.
type Machine struct {
	Upstream scenario.Upstream
	Backend  *backend.Server
	// CallerAddress and GateAddress are the proxy's two listeners.
	CallerAddress string
	GateAddress   string

	// next is another machine of the same service, for nested calls that go
	// straight.
	next        *Machine
	number      int
	partner     resource.Partner
	incarnation protocol.Incarnation
	// backendAddress is the back end as its gate reaches it, directAddress as
	// clients would, clientAddress the daemon as clients reach it.
	backendAddress string
	directAddress  string
	clientAddress  string
	backendLink    *link.Link
	zoneLinks      map[string]*link.Link

	proxy   *proxy.Proxy
	shared  atomic.Pointer[proxy.Proxy]
	caller  *proxy.Server
	gate    *proxy.Server
	onward  *http.Transport
	serving chan struct{}
}

// anyPort listens on a free loopback port.
const anyPort = "127.0.0.1:0"

// startMachine starts a back end, its links and the proxy beside it.
func (r *Rig) startMachine(number int, upstream scenario.Upstream) (*Machine, error) {
	machine := &Machine{
		Upstream:      upstream,
		number:        number,
		partner:       r.options.Deployment.Partner,
		CallerAddress: anyPort,
		GateAddress:   anyPort,
		zoneLinks:     make(map[string]*link.Link),
		onward:        &http.Transport{MaxIdleConnsPerHost: onwardConnections, DisableCompression: true},
	}
	config := r.options.Backend
	config.Seed = r.options.Seed + uint64(number)
	if r.options.Tune != nil {
		r.options.Tune(number, &config)
	}
	server, err := backend.Start(upstream.Name, anyPort, config, r.Origin, machine.forward)
	if err != nil {
		return nil, errors.Trace(err)
	}
	machine.Backend = server
	if err := machine.openBackendLinks(r); err != nil {
		return nil, errors.Trace(err)
	}
	if err := machine.startDaemon(r); err != nil {
		return nil, errors.Trace(err)
	}
	machine.clientAddress = machine.CallerAddress
	clients, err := r.openLink(link.Config{Target: machine.CallerAddress, Latency: r.options.Deployment.ClientLatency})
	if clients != nil {
		machine.clientAddress = clients.Address()
	}
	return machine, errors.Trace(err)
}

// onwardConnections bounds the kept connections of nested calls.
const onwardConnections = 130

// openBackendLinks puts the cost of a new connection before the back end, and
// the way that clients would take without the mesh.
func (m *Machine) openBackendLinks(r *Rig) error {
	m.backendAddress = m.Backend.Address()
	m.directAddress = m.Backend.Address()
	deployment := r.options.Deployment
	near, err := r.openLink(link.Config{Target: m.Backend.Address(), OpenCost: deployment.OpenCost})
	if err != nil || near == nil {
		return errors.Trace(err)
	}
	m.backendLink = near
	m.backendAddress = near.Address()
	direct := link.Config{Target: m.Backend.Address(), Latency: deployment.ClientLatency, OpenCost: deployment.OpenCost}
	far, err := r.openLink(direct)
	if err != nil {
		return errors.Trace(err)
	}
	m.directAddress = far.Address()
	return nil
}

// openZoneLinks opens a link to the gate from each other zone.
func (m *Machine) openZoneLinks(r *Rig) error {
	for _, zone := range r.options.Deployment.Zones {
		if zone == m.Upstream.Zone {
			continue
		}
		opened, err := r.openLink(link.Config{Target: m.GateAddress, Latency: r.options.Deployment.ZoneLatency})
		if err != nil {
			return errors.Trace(err)
		}
		if opened != nil {
			m.zoneLinks[zone] = opened
		}
	}
	return nil
}

// startDaemon starts the proxy with its two listeners, at the addresses that
// it had before if it had any.
func (m *Machine) startDaemon(r *Rig) error {
	m.incarnation++
	config := proxy.Config{
		Clock:          r.clock,
		NodeID:         protocol.NodeID(m.Upstream.Name),
		Incarnation:    m.incarnation,
		Region:         r.options.Deployment.Region,
		Zone:           m.Upstream.Zone,
		Service:        m.service(),
		Backend:        m.Upstream.Name,
		BackendAddress: m.backendAddress,
		Slots:          scenario.Slots,
		Limits:         r.options.Limits,
		RandomSeed:     r.options.Seed + uint64(m.number) + 1,
		OnBackendState: func(state protocol.EndpointState) {
			r.update(m.number, func(member *protocol.Member) { member.Endpoint = state })
		},
	}
	if r.options.Configure != nil {
		r.options.Configure(&config)
	}
	m.proxy = proxy.New(config)
	m.shared.Store(m.proxy)
	return m.listen(config.Limits)
}

// listen opens the caller's and the gate's listener and serves on both.
func (m *Machine) listen(limits proxy.Limits) error {
	callers, err := net.Listen("tcp", m.CallerAddress)
	if err != nil {
		return errors.Annotate(err, m.Upstream.Name)
	}
	gates, err := net.Listen("tcp", m.GateAddress)
	if err != nil {
		_ = callers.Close()
		return errors.Annotate(err, m.Upstream.Name)
	}
	m.CallerAddress = callers.Addr().String()
	m.GateAddress = gates.Addr().String()
	m.caller = proxy.NewServer(m.proxy.CallerHandler(), limits)
	m.gate = proxy.NewServer(m.proxy.GateHandler(), limits)
	m.serving = make(chan struct{})
	served := make(chan struct{})
	// Serve ends with http.ErrServerClosed when the daemon is stopped.
	go func() { defer close(served); _ = m.caller.Serve(callers) }()
	go func() { defer close(m.serving); _ = m.gate.Serve(gates); <-served }()
	return nil
}

// stopDaemon drains the proxy and closes its listeners after their last call.
func (m *Machine) stopDaemon(ctx context.Context) error {
	m.proxy.StartDrain()
	select {
	case <-m.proxy.Drained():
	case <-ctx.Done():
		return errors.Annotatef(ctx.Err(), "drain of %s", m.Upstream.Name)
	}
	if err := m.caller.Shutdown(ctx); err != nil {
		return errors.Annotatef(err, "callers of %s", m.Upstream.Name)
	}
	if err := m.gate.Shutdown(ctx); err != nil {
		return errors.Annotatef(err, "gate of %s", m.Upstream.Name)
	}
	<-m.serving
	m.proxy.Close()
	return nil
}

// close stops everything at once.
func (m *Machine) close() {
	m.kill()
	m.onward.CloseIdleConnections()
	m.Backend.Crash()
}

// kill ends the daemon at once: its calls break and nobody is told.
func (m *Machine) kill() {
	// Errors of closing listeners do not matter to one that is killed.
	_ = m.caller.Close()
	_ = m.gate.Close()
	<-m.serving
	m.proxy.Close()
}

// Links are the links to the back end and to the gate from other zones.
func (m *Machine) Links() []*link.Link {
	links := []*link.Link{m.backendLink}
	for _, zone := range slices.Sorted(maps.Keys(m.zoneLinks)) {
		links = append(links, m.zoneLinks[zone])
	}
	return links
}

// current is the running proxy, for goroutines other than the rig's owner.
func (m *Machine) current() *proxy.Proxy { return m.shared.Load() }

// Counters are what the running proxy has counted.
func (m *Machine) Counters() proxy.Counters { return m.current().Counters() }

// service is the service that the back end serves.
func (m *Machine) service() resource.ServiceRef {
	return resource.ServiceRef{Partner: m.partner, Name: m.Upstream.Service}
}

// member is the machine's soft record.
func (m *Machine) member(region string) protocol.Member {
	return protocol.Member{
		ID:          protocol.NodeID(m.Upstream.Name),
		Incarnation: m.incarnation,
		Sequence:    1,
		State:       protocol.MemberAlive,
		DataAddress: m.GateAddress,
		Region:      region,
		Zone:        m.Upstream.Zone,
		Service:     m.service(),
		Backend:     m.Upstream.Name,
		Endpoint:    protocol.EndpointReady,
		Slots:       scenario.Slots,
	}
}

// HeaderStraight makes nested calls go straight to the next back end, without
// the mesh.
const HeaderStraight = "Lab-Straight"

// PrepareGateCall makes a request what the callers' side of a daemon would
// send to this machine's gate.
func (m *Machine) PrepareGateCall(request *http.Request, attempt string) {
	service := m.service()
	request.Header.Set("Springstack-Hop", "gate")
	request.Header.Set("Springstack-Service", service.String())
	request.Header.Set("Springstack-Backend", m.Upstream.Name)
	request.Header.Set("Springstack-Incarnation", strconv.FormatUint(uint64(m.incarnation), 10))
	request.Header.Set("Springstack-Request", attempt)
	request.Header.Set("Springstack-Timeout-Ms", strconv.FormatInt(onwardTimeout.Milliseconds(), 10))
	request.Header.Set("Springstack-Partner", string(m.partner))
}

// onwardTimeout bounds one nested call.
const onwardTimeout = 10 * time.Second

// nextHost is the host of a further call; the rest of the chain is passed on.
func nextHost(incoming *http.Request, outgoing http.Header) string {
	next, rest, _ := strings.Cut(incoming.Header.Get(backend.HeaderChain), ",")
	if next == "" {
		return incoming.Host
	}
	if rest != "" {
		outgoing.Set(backend.HeaderChain, rest)
	}
	return next
}

// forward is the back end's further call, through the daemon beside it.
func (m *Machine) forward(ctx context.Context, incoming *http.Request, depth int) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, onwardTimeout)
	defer cancel()
	address := m.CallerAddress
	if incoming.Header.Get(HeaderStraight) != "" {
		address = m.next.Backend.Address()
	}
	request, err := http.NewRequestWithContext(ctx, incoming.Method, "http://"+address+incoming.URL.Path, nil)
	if err != nil {
		return 0, errors.Trace(err)
	}
	request.Host = nextHost(incoming, request.Header)
	copied := []string{backend.HeaderFail, backend.HeaderNoRetry, HeaderStraight}
	for _, name := range copied {
		if value := incoming.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	request.Header.Set(backend.HeaderRequest, incoming.Header.Get(backend.HeaderRequest)+"."+strconv.Itoa(depth))
	request.Header.Set(backend.HeaderDepth, strconv.Itoa(depth))
	answer, err := m.onward.RoundTrip(request)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, errors.Trace(err)
}
