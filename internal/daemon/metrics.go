package daemon

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/springstack/springstack/internal/metrics"
	"github.com/springstack/springstack/internal/proxy"
)

// registry returns the metrics of this daemon and of its process.
func (d *Daemon) registry() *prometheus.Registry {
	return metrics.NewRegistry(daemonCollector{daemon: d})
}

// daemonCollector reads the counters of a daemon when it is scraped.
type daemonCollector struct {
	daemon *Daemon
}

// Describe sends nothing: the collector is unchecked, because kinds and codes
// appear as they are met.
func (daemonCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the present values.
func (c daemonCollector) Collect(out chan<- prometheus.Metric) {
	c.collectNode(out)
	c.collectControl(out)
	c.collectPath(out)
	c.collectCertificate(out)
}

func (c daemonCollector) collectNode(out chan<- prometheus.Metric) {
	state := c.daemon.mesh.shell.State()
	ready := 0.0
	if len(c.daemon.notReady(state)) == 0 {
		ready = 1
	}
	metrics.Ready.Send(out, ready)
	metrics.Version.Send(out, float64(state.Version))
	metrics.Resources.Send(out, float64(state.Resources))
	metrics.Members.Send(out, float64(state.Members))
	metrics.NodeSteps.Send(out, float64(state.Steps))
	metrics.NodeStepSeconds.Send(out, state.StepTime.Seconds())
	metrics.PlatformCalls.Send(out, float64(state.PlatformCalls))
	metrics.PeerCallFailures.Send(out, float64(state.PeerFailures))
}

func (c daemonCollector) collectControl(out chan<- prometheus.Metric) {
	for kind, traffic := range c.daemon.mesh.meter.ByKind() {
		metrics.ControlBytes.Send(out, float64(traffic.BytesIn), string(kind), "in")
		metrics.ControlBytes.Send(out, float64(traffic.BytesOut), string(kind), "out")
		metrics.ControlFrames.Send(out, float64(traffic.FramesIn), string(kind), "in")
		metrics.ControlFrames.Send(out, float64(traffic.FramesOut), string(kind), "out")
	}
}

func (c daemonCollector) collectPath(out chan<- prometheus.Metric) {
	CollectPath(out, c.daemon.path.Counters())
}

// CollectPath sends the counters of a data path.
func CollectPath(out chan<- prometheus.Metric, counters proxy.Counters) {
	metrics.CallerCalls.Send(out, float64(counters.CallerCalls))
	metrics.GateCalls.Send(out, float64(counters.GateCalls))
	metrics.Attempts.Send(out, float64(counters.Attempts))
	metrics.Retries.Send(out, float64(counters.Retries))
	metrics.StartWaits.Send(out, float64(counters.StartWaits))
	metrics.CallsAhead.Send(out, float64(counters.Ahead))
	metrics.AheadDepth.Send(out, float64(counters.AheadDepth))
	metrics.AheadBytes.Send(out, float64(counters.AheadBytes))
	metrics.BodiesWaiting.Send(out, float64(counters.BodiesWaiting))
	metrics.GateRunning.Send(out, float64(counters.GateRunning))
	metrics.GateQueued.Send(out, float64(counters.GateQueued))
	cold := 0.0
	if counters.Cold {
		cold = 1
	}
	metrics.BackendCold.Send(out, cold)
	metrics.BackendCallLimit.Send(out, counters.CallRate)
	metrics.BackendNoticeFaults.Send(out, float64(counters.NoticeFaults))
	for reason, count := range counters.Abandoned {
		metrics.AttemptsAbandoned.Send(out, float64(count), reason.String())
	}
	metrics.BackendConnections.Send(out, float64(counters.BackendOpen))
	metrics.HungCalls.Send(out, float64(counters.HungCalls))
	metrics.BackendEnds.Send(out, float64(counters.BackendEnds))
	metrics.IsolatedCalls.Send(out, float64(counters.IsolatedCalls))
	for belief, count := range counters.HarmfulRequests {
		metrics.HarmfulRequests.Send(out, float64(count), belief.String())
	}
	for code, count := range counters.Refusals {
		metrics.Refusals.Send(out, float64(count), strconv.Itoa(int(code)), code.Name())
	}
}

// collectCertificate sends nothing in the clear.
func (c daemonCollector) collectCertificate(out chan<- prometheus.Metric) {
	identity := c.daemon.identity
	if identity == nil {
		return
	}
	metrics.CertificateExpiry.Send(out, float64(identity.Expires().Unix()))
	usable := 0.0
	if identity.Failure() == nil {
		usable = 1
	}
	metrics.CertificateFilesUsable.Send(out, usable)
}
