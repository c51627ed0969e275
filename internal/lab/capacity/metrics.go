package capacity

import (
	"github.com/springstack/springstack/internal/lab/scale"
)

// Metric is one figure of a run.
type Metric struct {
	// Name is shown in tables; File names its plot, empty for none.
	Name string
	Unit string
	File string
	// Of reads it from a run; false when the run does not have it.
	Of func(report scale.Report) (float64, bool)
}

// metrics are fitted over daemons and services.
var metrics = []Metric{
	{"control bytes, p99 over daemons", "B/s", "capacity-bytes", plain(func(r scale.Report) float64 { return r.BytesP99 })},
	{"control bytes, mean over daemons", "B/s", "", plain(func(r scale.Report) float64 { return r.BytesMean })},
	{"control bytes, busiest daemon", "B/s", "capacity-busiest", plain(func(r scale.Report) float64 { return r.Busiest })},
	{"processor, p99 over daemons", "% of a core", "capacity-processor", plain(func(r scale.Report) float64 { return percent * r.ProcessorP99 })},
	{"processor, mean over daemons", "% of a core", "", plain(func(r scale.Report) float64 { return percent * r.ProcessorMean })},
	{"resident memory", "MB", "capacity-memory", plain(func(r scale.Report) float64 { return r.ResidentMegabytes })},
	{"convergence, p99 over changes", "ms", "capacity-convergence", plain(func(r scale.Report) float64 { return r.ConvergenceP99 })},
	{"herd restart until all serve", "ms", "capacity-herd", plain(func(r scale.Report) float64 { return r.HerdReady })},
	{"herd restart, busiest second of a daemon", "B/s", "", plain(func(r scale.Report) float64 { return r.HerdBusiest })},
	{"platform readers, most at once", "readers", "", plain(func(r scale.Report) float64 { return float64(r.PlatformReaders) })},
	{"platform calls, busiest second", "calls/s", "", plain(func(r scale.Report) float64 { return float64(r.PlatformCallsPeak) })},
	{"leaf at rest", "B/s", "", ofRole(scale.RoleLeaf, restBytes)},
	{"relay at rest", "B/s", "", ofRole(scale.RoleRelay, restBytes)},
	{"root at rest", "B/s", "", ofRole(scale.RoleRoot, restBytes)},
	{"leaf, one change", "B", "", ofRole(scale.RoleLeaf, func(c scale.RoleCost) float64 { return c.ChangeBytes })},
	{"relay, one change", "B", "", ofRole(scale.RoleRelay, func(c scale.RoleCost) float64 { return c.ChangeBytes })},
	{"root, one change", "B", "", ofRole(scale.RoleRoot, func(c scale.RoleCost) float64 { return c.ChangeBytes })},
	{"leaf, one change", "CPU ms", "", ofRole(scale.RoleLeaf, func(c scale.RoleCost) float64 { return milli * c.ChangeProcessor })},
	{"leaf, one restart of any daemon", "B", "", ofRole(scale.RoleLeaf, func(c scale.RoleCost) float64 { return c.RestartBytes })},
	{"relay, one restart of any daemon", "B", "", ofRole(scale.RoleRelay, func(c scale.RoleCost) float64 { return c.RestartBytes })},
	{"root, one restart of any daemon", "B", "", ofRole(scale.RoleRoot, func(c scale.RoleCost) float64 { return c.RestartBytes })},
}

const (
	percent = 100
	milli   = 1000
)

func plain(read func(scale.Report) float64) func(scale.Report) (float64, bool) {
	return func(report scale.Report) (float64, bool) { return read(report), true }
}

func ofRole(role scale.Role, read func(scale.RoleCost) float64) func(scale.Report) (float64, bool) {
	return func(report scale.Report) (float64, bool) {
		for _, cost := range report.Roles {
			if cost.Role == role {
				return read(cost), true
			}
		}
		return 0, false
	}
}

func restBytes(cost scale.RoleCost) float64 { return cost.RestBytesIn + cost.RestBytesOut }

// points returns a metric over runs.
func (m Metric) points(reports []scale.Report, x func(scale.Report) float64) []Point {
	var points []Point
	for _, report := range reports {
		if value, found := m.Of(report); found {
			points = append(points, Point{X: x(report), Y: value})
		}
	}
	return points
}

func daemonsOf(report scale.Report) float64 { return float64(report.Daemons) }

func servicesOf(report scale.Report) float64 { return float64(report.Services) }
