package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// The histograms of a daemon's data path.
var (
	callerSeconds = define(Histogram, "caller_seconds",
		"Time of a caller's request at this daemon, in seconds.",
		"Its upper quantiles, against gate_queue_seconds and backend_seconds, tell where time goes.")
	turnSeconds = define(Histogram, "turn_seconds",
		"Time for which a caller's request waited behind others of its connection, in seconds.",
		"Long times: callers send requests one behind another that may not run side by side.")
	queueSeconds = define(Histogram, "gate_queue_seconds",
		"Wait of a call for a slot of the back end, in seconds.",
		"Long waits: the back end has more work than slots.")
	backendSeconds = define(Histogram, "backend_seconds",
		"Time from sending a call to the back end to its answer, in seconds.",
		"Long times on one daemon only: that back end is slow.")
)

// buckets are the upper bounds of the histograms, in seconds.
var buckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}

// Timing is one histogram of durations.
type Timing struct{ histogram prometheus.Histogram }

// Seconds adds a duration.
func (t Timing) Seconds(took time.Duration) { t.histogram.Observe(took.Seconds()) }

// Timings are the histograms of one daemon.
type Timings struct {
	Caller  Timing
	Turn    Timing
	Queue   Timing
	Backend Timing
}

// NewTimings returns empty histograms.
func NewTimings() Timings {
	return Timings{
		Caller:  callerSeconds.newTiming(),
		Turn:    turnSeconds.newTiming(),
		Queue:   queueSeconds.newTiming(),
		Backend: backendSeconds.newTiming(),
	}
}

// Collectors are the histograms for a registry.
func (t Timings) Collectors() []prometheus.Collector {
	return []prometheus.Collector{t.Caller.histogram, t.Turn.histogram, t.Queue.histogram, t.Backend.histogram}
}

func (d *Definition) newTiming() Timing {
	return Timing{prometheus.NewHistogram(prometheus.HistogramOpts{Name: d.Name, Help: d.Help, Buckets: buckets})}
}
