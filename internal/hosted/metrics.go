package hosted

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/springstack/springstack/internal/daemon"
	"github.com/springstack/springstack/internal/metrics"
)

// metricsHandler returns the handler that serves the daemon's metrics.
func (d *Daemon) metricsHandler() http.Handler {
	registry := metrics.NewRegistry(collector{daemon: d}, d.timings.Collectors()...)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.Handle("GET /metrics/brief", metrics.BriefHandler(registry))
	return mux
}

// collector reads the metrics of a hosted daemon at each scrape.
type collector struct{ daemon *Daemon }

// Describe sends nothing, which makes the collector unchecked: label values such as codes are not
// known in advance.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values.
func (c collector) Collect(out chan<- prometheus.Metric) {
	ready := 0.0
	if c.daemon.Ready() {
		ready = 1
	}
	metrics.Ready.Send(out, ready)
	metrics.Version.Send(out, float64(c.daemon.configuration.version()))
	metrics.VersionAge.Send(out, c.daemon.configuration.versionAge().Seconds())
	for source, name := range contactSourceNames {
		if age, contacted := c.daemon.contacts.age(contactSource(source)); contacted {
			metrics.HeardAge.Send(out, age.Seconds(), name)
		}
	}
	metrics.StoreEra.Send(out, float64(c.daemon.eras.current()))
	metrics.StoreEraFaults.Send(out, float64(c.daemon.eras.unreadableCount()))
	metrics.Members.Send(out, float64(c.daemon.mesh.daemonCount()))
	metrics.PeersLost.Send(out, float64(c.daemon.mesh.lostPeerCount()))
	metrics.LogLinesDropped.Send(out, float64(c.daemon.linesDropped()))
	c.daemon.mesh.messages.collect(out)
	for call, count := range c.daemon.storeCalls.snapshot() {
		metrics.StoreCalls.Send(out, float64(count), string(call.purpose), strconv.Itoa(int(call.code)), call.code.Name())
	}
	for _, record := range c.daemon.mesh.rolloutRecords() {
		metrics.RolloutStage.Send(out, float64(record.Stage), record.Service.Name, record.Target)
	}
	c.daemon.evacuations.collect(out)
	c.daemon.mesh.quotas.collect(out)
	daemon.CollectPath(out, c.daemon.dataPath.Counters())
}

// collect sends the metrics of evacuation orders; none if the daemon does not follow such orders.
func (r *evacuationReader) collect(out chan<- prometheus.Metric) {
	if r.timing.Within == 0 {
		return
	}
	zones, age := r.mesh.evacuatedZones()
	for _, zone := range zones {
		code := codeOf(r.orderFault(zone))
		metrics.EvacuatedZoneDaemons.Send(out, float64(zone.daemons), zone.zone, strconv.Itoa(int(code)), code.Name())
	}
	metrics.EvacuationsAge.Send(out, age.Seconds())
}
