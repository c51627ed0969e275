package daemon

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metricsPrefix starts the names of all metrics of springstack.
const metricsPrefix = "springstack_"

// metric describes one metric.
func metric(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(metricsPrefix+name, help, labels, nil)
}

// The metrics of a daemon, explained in docs/OPERATING.md.
var (
	metricReady         = metric("ready", "1 while callers may be sent to this daemon.")
	metricVersion       = metric("version", "Configuration version in force on this daemon.")
	metricResources     = metric("resources", "Resources in the snapshot in force.")
	metricMembers       = metric("members", "Member records known.")
	metricSteps         = metric("node_steps_total", "Steps of the node core.")
	metricStepSeconds   = metric("node_step_seconds_total", "Time spent in steps of the node core.")
	metricPlatformCalls = metric("platform_calls_total", "Calls and watches sent to the platform.")
	metricPeerFailures  = metric("peer_call_failures_total", "Control calls that got no answer.")
	metricControlBytes  = metric("control_bytes_total", "Control bytes on the wire.", "kind", "direction")
	metricControlFrames = metric("control_frames_total", "Control messages on the wire.", "kind", "direction")
	metricCallerCalls   = metric("caller_calls_total", "Calls taken from callers.")
	metricGateCalls     = metric("gate_calls_total", "Calls taken at the gate.")
	metricAttempts      = metric("attempts_total", "Sendings of calls to gates.")
	metricRetries       = metric("retries_total", "Sendings after a call's first.")
	metricGateRunning   = metric("gate_running", "Calls that hold a slot of the back end.")
	metricGateQueued    = metric("gate_queued", "Calls that wait for a slot of the back end.")
	metricRefusals      = metric("refusals_total", "Calls refused, by result code.", "code", "name")
)

// registry returns the metrics of this daemon and of its process.
func (d *Daemon) registry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		daemonCollector{daemon: d},
	)
	return registry
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
}

func gauge(out chan<- prometheus.Metric, desc *prometheus.Desc, value float64, labels ...string) {
	out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

func counter(out chan<- prometheus.Metric, desc *prometheus.Desc, value float64, labels ...string) {
	out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, value, labels...)
}

func (c daemonCollector) collectNode(out chan<- prometheus.Metric) {
	state := c.daemon.mesh.Shell().State()
	ready := 0.0
	if len(c.daemon.notReady(state)) == 0 {
		ready = 1
	}
	gauge(out, metricReady, ready)
	gauge(out, metricVersion, float64(state.Version))
	gauge(out, metricResources, float64(state.Resources))
	gauge(out, metricMembers, float64(state.Members))
	counter(out, metricSteps, float64(state.Steps))
	counter(out, metricStepSeconds, state.StepTime.Seconds())
	counter(out, metricPlatformCalls, float64(state.PlatformCalls))
	counter(out, metricPeerFailures, float64(state.PeerFailures))
}

func (c daemonCollector) collectControl(out chan<- prometheus.Metric) {
	for kind, traffic := range c.daemon.mesh.Meter().ByKind() {
		counter(out, metricControlBytes, float64(traffic.BytesIn), string(kind), "in")
		counter(out, metricControlBytes, float64(traffic.BytesOut), string(kind), "out")
		counter(out, metricControlFrames, float64(traffic.FramesIn), string(kind), "in")
		counter(out, metricControlFrames, float64(traffic.FramesOut), string(kind), "out")
	}
}

func (c daemonCollector) collectPath(out chan<- prometheus.Metric) {
	counters := c.daemon.path.Counters()
	counter(out, metricCallerCalls, float64(counters.CallerCalls))
	counter(out, metricGateCalls, float64(counters.GateCalls))
	counter(out, metricAttempts, float64(counters.Attempts))
	counter(out, metricRetries, float64(counters.Retries))
	gauge(out, metricGateRunning, float64(counters.GateRunning))
	gauge(out, metricGateQueued, float64(counters.GateQueued))
	for code, count := range counters.Refusals {
		counter(out, metricRefusals, float64(count), strconv.Itoa(int(code)), code.Name())
	}
}
