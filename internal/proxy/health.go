package proxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

const (
	// maxProbeFailures is how many consecutive probes must fail before a back end is considered
	// down.
	maxProbeFailures = 3
	// maxProbeAnswerBytes bounds how much is read of the answer to a probe.
	maxProbeAnswerBytes = 4 << 10
	// firstProbeInterval is the longest time between probes before the first success and while the
	// back end is down.
	firstProbeInterval = 50 * time.Millisecond
)

// health probes the back end of the daemon. A recently answered call outweighs a failed probe,
// because health endpoints may respond late or wrongly; a back end's own signal that it drains is
// always followed.
type health struct {
	proxy  *Proxy
	client *http.Client
	// lastAnswerAt is when a call was last answered, on the proxy's clock.
	lastAnswerAt atomic.Int64
	// probeRequests receives a value to request an immediate probe.
	probeRequests chan struct{}
	// context ends with the proxy; done is closed when run has returned.
	context context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	load    atomic.Pointer[backendLoad]

	// state and consecutiveFailures are used by run only.
	state               protocol.EndpointState
	consecutiveFailures int
}

// backendLoad is the load that a back end reports itself.
type backendLoad struct {
	running    float64
	reportedAt time.Duration
}

// loadResponse is the JSON answer of a back end's load endpoint.
type loadResponse struct {
	Running *float64 `json:"running"`
}

func newHealth(p *Proxy) *health {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	ctx, cancel := context.WithCancel(context.Background())
	return &health{
		proxy:         p,
		client:        &http.Client{Transport: transport, Timeout: p.limits.ProbeTimeout},
		probeRequests: make(chan struct{}, 1),
		context:       ctx,
		cancel:        cancel,
		done:          make(chan struct{}),
		state:         protocol.EndpointNone,
	}
}

// stop cancels the probes and waits for run to return.
func (h *health) stop() {
	h.cancel()
	<-h.done
}

// recordAnswer records that a call was answered. It stores at most a few times per second, so that
// calls do not contend on lastAnswerAt.
func (h *health) recordAnswer() {
	now := int64(h.proxy.config.Clock())
	if now-h.lastAnswerAt.Load() > int64(h.proxy.limits.ProbePeriod)/4 {
		h.lastAnswerAt.Store(now)
	}
}

// requestProbe requests an immediate probe after a call could not connect.
func (h *health) requestProbe() {
	select {
	case h.probeRequests <- struct{}{}:
	default:
	}
}

// handleBackendUnreachable is called when a call could not connect to the back end.
func (p *Proxy) handleBackendUnreachable(start protocol.BackendStart) {
	if !p.config.Reported {
		p.health.requestProbe()
		return
	}
	if p.config.OnBackendUnreachable != nil {
		p.config.OnBackendUnreachable(start)
	}
}

// backendLoad returns the load last reported by the back end and its age; the load is negative if
// there is none.
func (h *health) backendLoad() (float64, time.Duration) {
	load := h.load.Load()
	if load == nil {
		return -1, 0
	}
	return load.running, h.proxy.config.Clock() - load.reportedAt
}

// run probes until the proxy is closed.
func (h *health) run() {
	defer close(h.done)
	defer h.client.CloseIdleConnections()
	for {
		h.probe()
		period := h.proxy.limits.ProbePeriod
		if h.state == protocol.EndpointNone || h.state == protocol.EndpointDown {
			period = min(period, firstProbeInterval)
		}
		timer := time.NewTimer(period)
		select {
		case <-timer.C:
		case <-h.probeRequests:
		case <-h.context.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// probe queries the back end once and updates its state.
func (h *health) probe() {
	spec, known := h.serviceSpec()
	if !known {
		return
	}
	state := h.probeState(spec)
	if h.context.Err() != nil {
		return
	}
	h.applyProbe(state)
	if spec.LoadPath != "" {
		h.fetchLoad(spec.LoadPath)
	}
}

// serviceSpec returns the service from the snapshot in force.
func (h *health) serviceSpec() (resource.Service, bool) {
	current := h.proxy.view.Load().snapshot
	if current == nil {
		return resource.Service{}, false
	}
	spec, found := current.Services[h.proxy.config.Service]
	return spec, found
}

// probeState queries the health path, or only opens a connection if the service declares no health
// path.
func (h *health) probeState(spec resource.Service) protocol.EndpointState {
	started := h.proxy.config.Clock()
	state := protocol.EndpointDown
	if spec.HealthPath == "" {
		conn, err := h.proxy.backend.dialer.DialContext(h.context, "tcp", h.proxy.config.BackendAddress)
		if err == nil {
			_ = conn.Close()
			state = protocol.EndpointReady
		}
	} else {
		state = h.fetchHealth(spec.HealthPath)
	}
	callsAnswered := time.Duration(h.lastAnswerAt.Load()) >= started-h.proxy.limits.ProbePeriod
	if state == protocol.EndpointDown && callsAnswered && h.lastAnswerAt.Load() > 0 {
		return protocol.EndpointReady
	}
	return state
}

func (h *health) fetchHealth(path string) protocol.EndpointState {
	answer, err := h.get(path)
	if err != nil {
		return protocol.EndpointDown
	}
	defer answer.Body.Close()
	body, _ := io.ReadAll(io.LimitReader(answer.Body, maxProbeAnswerBytes))
	draining := answer.Header.Get(headerBackendDraining) != "" || string(body) == "draining"
	switch {
	case draining:
		return protocol.EndpointDraining
	case answer.StatusCode >= http.StatusOK && answer.StatusCode < http.StatusMultipleChoices:
		if string(body) == "warming" {
			return protocol.EndpointWarming
		}
		return protocol.EndpointReady
	}
	return protocol.EndpointDown
}

func (h *health) fetchLoad(path string) {
	answer, err := h.get(path)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	var report loadResponse
	err = json.NewDecoder(io.LimitReader(answer.Body, maxProbeAnswerBytes)).Decode(&report)
	if err != nil || report.Running == nil || *report.Running < 0 {
		return
	}
	h.load.Store(&backendLoad{running: *report.Running, reportedAt: h.proxy.config.Clock()})
}

func (h *health) get(path string) (*http.Response, error) {
	url := "http://" + h.proxy.config.BackendAddress + path
	request, err := http.NewRequestWithContext(h.context, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return h.client.Do(request)
}

// applyProbe applies the result of a probe. Down requires several failures in a row, so that one
// lost probe does not divert calls; every other state applies at once.
func (h *health) applyProbe(state protocol.EndpointState) {
	if state == protocol.EndpointDown {
		h.consecutiveFailures++
		if h.consecutiveFailures < maxProbeFailures && h.state != protocol.EndpointNone {
			return
		}
	} else {
		h.consecutiveFailures = 0
	}
	if state == h.state {
		return
	}
	h.setState(state)
}

// setState applies a new state to the gate and reports it to the daemon.
func (h *health) setState(next protocol.EndpointState) {
	previous := h.state
	h.state = next
	switch {
	case next == protocol.EndpointDraining:
		h.proxy.gate.Drain()
	case previous == protocol.EndpointDraining:
		h.proxy.gate.Resume()
	}
	if next == protocol.EndpointReady {
		h.proxy.backend.openSpares(h.proxy.limits.Prewarm)
	}
	h.proxy.logEvent("backend_state", EventField{Key: "backend", Value: h.proxy.config.Backend},
		EventField{Key: "state", Value: next.String()})
	if h.proxy.config.OnBackendState != nil {
		h.proxy.config.OnBackendState(next)
	}
}
