package scale

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/lab/hollow"
	"github.com/springstack/springstack/internal/lab/host"
)

// node shortens signatures.
type node = hollow.Node

// Role is what a daemon does in the tree.
type Role string

// The roles.
const (
	RoleLeaf  Role = "leaf"
	RoleRelay Role = "relay"
	RoleRoot  Role = "root"
)

// RoleCost is the mean cost of one role.
type RoleCost struct {
	Role  Role `json:"role"`
	Count int  `json:"count"`
	// At rest, by second.
	RestBytesIn   float64 `json:"rest_bytes_in_per_second"`
	RestBytesOut  float64 `json:"rest_bytes_out_per_second"`
	RestMessages  float64 `json:"rest_messages_per_second"`
	RestProcessor float64 `json:"rest_cpu_fraction"`
	// By change and by restart of any daemon, beyond the rest.
	ChangeBytes      float64 `json:"change_bytes"`
	ChangeProcessor  float64 `json:"change_cpu_seconds"`
	RestartBytes     float64 `json:"restart_bytes"`
	RestartProcessor float64 `json:"restart_cpu_seconds"`
}

// Report is the result of a run. Rates are those of a day of 2,300 changes and
// 180 restarts; those at high churn have a hundred times the restarts.
type Report struct {
	Daemons int `json:"daemons"`
	// Real is how many whole daemons ran besides the hollow ones.
	Real     int `json:"real_daemons"`
	Services int `json:"services"`
	// ConvergenceP50 and P99 are from acceptance to the last daemon's swap.
	ConvergenceP50 float64 `json:"convergence_p50_ms"`
	ConvergenceP99 float64 `json:"convergence_p99_ms"`
	// ProcessorP99 is in cores, over the daemons. The process's time is
	// attributed to them; see the package.
	ProcessorP99       float64 `json:"daemon_cpu_fraction_p99"`
	ProcessorMean      float64 `json:"daemon_cpu_fraction_mean"`
	ProcessorHighChurn float64 `json:"daemon_cpu_fraction_p99_at_100x_churn"`
	BytesP99           float64 `json:"daemon_control_bytes_per_second_p99"`
	BytesMean          float64 `json:"daemon_control_bytes_per_second_mean"`
	BytesHighChurn     float64 `json:"daemon_control_bytes_per_second_p99_at_100x_churn"`
	// Busiest is the daemon with the highest rate of a day.
	Busiest          float64 `json:"busiest_relay_bytes_per_second"`
	BusiestHighChurn float64 `json:"busiest_relay_bytes_per_second_at_100x_churn"`
	// ResidentMegabytes is by daemon, the process's own share included whole.
	ResidentMegabytes float64 `json:"daemon_rss_mb"`
	FormMilliseconds  float64 `json:"form_ms"`
	// HerdReady is until every daemon serves again after all were restarted at
	// once; HerdBusiest the most bytes of one daemon in one second meanwhile.
	HerdReady         float64    `json:"herd_restart_ready_ms"`
	HerdBusiest       float64    `json:"herd_busiest_bytes_per_second"`
	PlatformReaders   int        `json:"platform_readers_max"`
	PlatformCallsPeak uint64     `json:"platform_calls_per_second_max"`
	Violations        int        `json:"violations"`
	Examples          []string   `json:"examples,omitempty"`
	Roles             []RoleCost `json:"roles"`
	// Events counts the daemons' events by name over the whole run.
	Events     map[string]uint64 `json:"events"`
	Seconds    float64           `json:"seconds"`
	Conditions host.Conditions   `json:"conditions"`

	convergence []time.Duration
}

// finish puts the figures together.
func (r *run) finish() {
	report := r.report
	report.ConvergenceP50 = milliseconds(report.convergence, 0.50)
	report.ConvergenceP99 = milliseconds(report.convergence, 0.99)
	day := r.composite(1)
	high := r.composite(HighChurn)
	report.ProcessorP99 = quantileOf(day, 0.99, processorOf)
	report.ProcessorMean = lo.Mean(lo.Map(day, func(one rates, _ int) float64 { return one.processor }))
	report.ProcessorHighChurn = quantileOf(high, 0.99, processorOf)
	report.BytesP99 = quantileOf(day, 0.99, rates.bytes)
	report.BytesMean = lo.Mean(lo.Map(day, func(one rates, _ int) float64 { return one.bytes() }))
	report.BytesHighChurn = quantileOf(high, 0.99, rates.bytes)
	report.Busiest = quantileOf(day, 1, rates.bytes)
	report.BusiestHighChurn = quantileOf(high, 1, rates.bytes)
	counters := r.cluster.Platform.Counters()
	report.PlatformReaders = counters.ReadersMax
	report.PlatformCallsPeak = counters.CallsPerSecondMax
	report.Violations, report.Examples = r.cluster.Observer.Violations()
	report.Roles = r.roleCosts()
	report.Events = r.cluster.Events()
}

func processorOf(one rates) float64 { return one.processor }

// composite returns each daemon's rates on a day with some times its restarts.
func (r *run) composite(churn float64) []rates {
	return lo.Map(r.cluster.Nodes, func(_ *node, index int) rates {
		rest := r.rest.perSecond(index)
		change := r.changes.perEvent(index, r.options.Changes, rest)
		restart := r.restarts.perEvent(index, r.options.Restarts, rest)
		return rest.plus(change, ChangesADay/secondsADay).plus(restart, churn*RestartsADay/secondsADay)
	})
}

// quantileOf returns a quantile of a value over daemons.
func quantileOf(all []rates, quantile float64, value func(rates) float64) float64 {
	values := lo.Map(all, func(one rates, _ int) float64 { return value(one) })
	return quantileOfSorted(sorted(values), quantile)
}

func sorted(values []float64) []float64 {
	slices.Sort(values)
	return values
}

// quantileOfSorted is the nearest-rank quantile; 0 for none.
func quantileOfSorted(values []float64, quantile float64) float64 {
	if len(values) == 0 {
		return 0
	}
	rank := int(float64(len(values))*quantile+0.999999) - 1
	return values[min(max(rank, 0), len(values)-1)]
}

func milliseconds(times []time.Duration, quantile float64) float64 {
	values := lo.Map(times, func(one time.Duration, _ int) float64 { return float64(one.Microseconds()) / 1000 })
	return quantileOfSorted(sorted(values), quantile)
}

// roleCosts returns the mean costs of each role, as the tree stood at the end
// of the resting window.
func (r *run) roleCosts() []RoleCost {
	var costs []RoleCost
	for _, role := range []Role{RoleLeaf, RoleRelay, RoleRoot} {
		cost := RoleCost{Role: role}
		for index := range r.cluster.Nodes {
			if r.roles[index] != role {
				continue
			}
			r.addCost(&cost, index)
		}
		if cost.Count > 0 {
			costs = append(costs, cost.mean())
		}
	}
	return costs
}

func (r *run) addCost(cost *RoleCost, index int) {
	rest := r.rest.perSecond(index)
	change := r.changes.perEvent(index, r.options.Changes, rest)
	restart := r.restarts.perEvent(index, r.options.Restarts, rest)
	cost.Count++
	cost.RestBytesIn += rest.in
	cost.RestBytesOut += rest.out
	cost.RestMessages += rest.frames
	cost.RestProcessor += rest.processor
	cost.ChangeBytes += change.bytes()
	cost.ChangeProcessor += change.processor
	cost.RestartBytes += restart.bytes()
	cost.RestartProcessor += restart.processor
}

func (c RoleCost) mean() RoleCost {
	count := float64(c.Count)
	c.RestBytesIn /= count
	c.RestBytesOut /= count
	c.RestMessages /= count
	c.RestProcessor /= count
	c.ChangeBytes /= count
	c.ChangeProcessor /= count
	c.RestartBytes /= count
	c.RestartProcessor /= count
	return c
}

// bytesPerMegabyte is 2^20.
const bytesPerMegabyte = 1 << 20

// residentByDaemon is the resident memory of one daemon: its share of what the
// daemons added, and all that the process had without any.
func (r *run) residentByDaemon() float64 {
	resident := host.ResidentBytes()
	added := float64(max(resident, r.baseline)-r.baseline) / float64(r.options.Daemons)
	return (added + float64(r.baseline)) / bytesPerMegabyte
}
