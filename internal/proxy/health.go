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
	// downAfter is how many probes in a row must fail before a back end counts
	// as down.
	maxProbeFailures = 3
	// probeBytes bounds what is read of a probe's answer.
	maxProbeAnswerBytes = 4 << 10
	// firstProbeWait is the time between probes until the first success.
	firstProbeInterval = 50 * time.Millisecond
)

// health follows the back end beside the daemon by probes. What calls meet
// goes before what probes say, for health and load endpoints lag and mislead;
// the back end's own signal that it is leaving is taken at its word.
type health struct {
	proxy  *Proxy
	client *http.Client
	// answeredAt is when a call was last answered, on the clock.
	lastAnswerAt atomic.Int64
	// wake asks for a probe now.
	wake chan struct{}
	// context ends with the proxy, done is closed when run has ended.
	context context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	load    atomic.Pointer[backendLoad]

	// state and failures belong to run.
	state               protocol.EndpointState
	consecutiveFailures int
}

// ownLoad is a back end's own report.
type backendLoad struct {
	running    float64
	reportedAt time.Duration
}

// loadAnswer is the form of a back end's load endpoint.
type loadResponse struct {
	Running *float64 `json:"running"`
}

func newHealth(p *Proxy) *health {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	ctx, cancel := context.WithCancel(context.Background())
	return &health{
		proxy:   p,
		client:  &http.Client{Transport: transport, Timeout: p.limits.ProbeTimeout},
		wake:    make(chan struct{}, 1),
		context: ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		state:   protocol.EndpointNone,
	}
}

// stop ends the probes and waits for the one that runs.
func (h *health) stop() {
	h.cancel()
	<-h.done
}

// answered records that a call was answered. It writes a few times a second at
// most, so that calls do not contend for it.
func (h *health) recordAnswer() {
	now := int64(h.proxy.config.Clock())
	if now-h.lastAnswerAt.Load() > int64(h.proxy.limits.ProbePeriod)/4 {
		h.lastAnswerAt.Store(now)
	}
}

// unreachable asks for a probe now, for a call met no connection.
func (h *health) requestProbe() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// backendUnreachable is called when a call met no connection to the back end.
func (p *Proxy) handleBackendUnreachable(start protocol.BackendStart) {
	if !p.config.Reported {
		p.health.requestProbe()
		return
	}
	if p.config.OnBackendUnreachable != nil {
		p.config.OnBackendUnreachable(start)
	}
}

// ownLoad is the back end's last report and its age; the report is negative
// when there is none.
func (h *health) backendLoad() (float64, time.Duration) {
	held := h.load.Load()
	if held == nil {
		return -1, 0
	}
	return held.running, h.proxy.config.Clock() - held.reportedAt
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
		case <-h.wake:
		case <-h.context.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// probe asks the back end once and settles its state.
func (h *health) probe() {
	spec, known := h.serviceSpec()
	if !known {
		return
	}
	found := h.probeState(spec)
	if h.context.Err() != nil {
		return
	}
	h.applyProbe(found)
	if spec.LoadPath != "" {
		h.fetchLoad(spec.LoadPath)
	}
}

// spec is the service as the snapshot in force has it.
func (h *health) serviceSpec() (resource.Service, bool) {
	held := h.proxy.view.Load().snapshot
	if held == nil {
		return resource.Service{}, false
	}
	spec, found := held.Services[h.proxy.config.Service]
	return spec, found
}

// ask probes health, or only whether the back end takes connections when the
// service declares no health path.
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

// settle takes a probe's finding. Down needs several in a row, so that one
// lost probe moves no work; the rest is taken at once.
func (h *health) applyProbe(found protocol.EndpointState) {
	if found == protocol.EndpointDown {
		h.consecutiveFailures++
		if h.consecutiveFailures < maxProbeFailures && h.state != protocol.EndpointNone {
			return
		}
	} else {
		h.consecutiveFailures = 0
	}
	if found == h.state {
		return
	}
	h.setState(found)
}

// change puts a new state in force at the gate and tells the daemon.
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
