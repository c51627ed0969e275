package daemon

import (
	"fmt"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// livenessBound is how long the node may go without a step before the daemon
// calls itself dead; it is stepped each node.TickInterval.
const livenessBound = 10 * time.Second

// adminHandler serves liveness, readiness and metrics, and pprof if asked to.
func (d *Daemon) adminHandler(registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", d.serveLive)
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	if d.overrides.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

func (d *Daemon) serveLive(writer http.ResponseWriter, _ *http.Request) {
	since := d.mesh.shell.SinceStep()
	if since > livenessBound {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintf(writer, "last_step_ms=%d\n", since.Milliseconds())
}

// serveReady answers 200 while callers may be sent here.
func (d *Daemon) serveReady(writer http.ResponseWriter, _ *http.Request) {
	state := d.mesh.shell.State()
	reasons := d.notReady(state)
	if len(reasons) > 0 {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintf(writer, "ready=%t version=%d serving=%t members=%d reasons=%q\n",
		len(reasons) == 0, state.Version, state.Serving, state.Members, strings.Join(reasons, ","))
}

// notReady lists why callers should not be sent here; empty when they may be.
func (d *Daemon) notReady(state State) []string {
	var reasons []string
	if state.Version == 0 {
		reasons = append(reasons, "no_snapshot")
	}
	if !state.Serving {
		reasons = append(reasons, "no_serving_lease")
	}
	if d.draining.Load() {
		reasons = append(reasons, "draining")
	}
	return reasons
}
