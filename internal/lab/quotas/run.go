package quotas

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/quota"
)

// Options describe the drawn days.
type Options struct {
	Seed    uint64
	Runs    int
	Length  time.Duration
	Daemons int
	Tenants int
	// PerSecond is the usual rate of the calls of all tenants.
	PerSecond float64
	// HotFactor is how many times its usual one tenant sends for some seconds, from one zone after
	// the other if HotMoves is set.
	HotFactor float64
	HotMoves  bool
	// CutShare is the fraction of the daemons that are cut off, KillShare of those that restart.
	CutShare  float64
	KillShare float64
	Tolerance quota.Tolerance
}

// Figures are what one way did on all days.
type Figures struct {
	Way string `json:"way"`
	// Overruns is the number of tenants' windows with more calls than the tolerance permits, of all
	// days; Worst is the highest ratio of calls to what is permitted.
	Overruns int     `json:"overruns"`
	Worst    float64 `json:"worst"`
	// RefusedBelow is the fraction of the calls below the quotas that were refused, WorstTenant
	// that of the worst tenant of any day.
	RefusedBelow float64 `json:"refused_below"`
	// MessagesPerSecond is the number of requests that a daemon received per second, Busiest that of
	// the busiest daemon.
	MessagesPerSecond float64 `json:"messages_per_second"`
	Busiest           float64 `json:"busiest_messages_per_second"`
}

// Run plays the drawn days with each way.
func Run(options Options) []Figures {
	names := []string{"leases", "equal_shares", "reports"}
	figures := make([]Figures, len(names))
	owed := make([]int, len(names))
	missed := make([]int, len(names))
	for run := range options.Runs {
		seed := options.Seed + uint64(run)
		for index, name := range names {
			drawn := drawDay(options, seed)
			played := newWay(name, drawn, options, seed)
			result := play(drawn, played, options)
			figures[index].Way = name
			figures[index].Overruns += result.overruns
			figures[index].Worst = max(figures[index].Worst, result.worst)
			owed[index] += result.owed
			missed[index] += result.missed
			figures[index].addMessages(played.messages(), options)
		}
	}
	for index := range figures {
		figures[index].RefusedBelow = float64(missed[index]) / float64(max(owed[index], 1))
	}
	return figures
}

func newWay(name string, drawn *day, options Options, seed uint64) way {
	random := rand.New(rand.NewPCG(seed, 2))
	switch name {
	case "equal_shares":
		return newShares(drawn, random)
	case "reports":
		return newReports(drawn, random)
	}
	return newLeases(drawn, options.Tolerance)
}

func (f *Figures) addMessages(received []int, options Options) {
	sum := 0
	for _, count := range received {
		sum += count
	}
	seconds := options.Length.Seconds()
	f.MessagesPerSecond += float64(sum) / float64(len(received)) / seconds / float64(options.Runs)
	f.Busiest = max(f.Busiest, float64(slices.Max(received))/seconds)
}

// outcome is what a way did on one day.
type outcome struct {
	overruns, owed, missed int
	worst                  float64
}

// play has a way decide on all calls of a day, and judges it.
func play(drawn *day, played way, options Options) outcome {
	passed := make([][]time.Duration, len(drawn.quotas))
	due := make([]int, len(drawn.quotas))
	ideal := make([]bucket, len(drawn.quotas))
	for tenant, stated := range drawn.quotas {
		ideal[tenant].level = stated.Burst
	}
	for _, given := range drawn.calls {
		stated := drawn.quotas[given.tenant]
		if given.tenant == drawn.lowered && given.at >= drawn.loweredAt {
			stated.PerSecond /= lowerDivisor
			stated.Burst /= lowerDivisor
		}
		if ideal[given.tenant].take(given.at, stated) {
			due[given.tenant]++
		}
		if played.pass(given) {
			passed[given.tenant] = append(passed[given.tenant], given.at)
		}
	}
	var result outcome
	for tenant, times := range passed {
		result.judge(drawn, tenant, times, options.Tolerance)
		result.owed += due[tenant]
		result.missed += max(due[tenant]-len(times), 0)
	}
	return result
}

// judge counts the windows of a tenant that hold too many calls. After a lower quota is in force
// everywhere, it binds one window later.
func (o *outcome) judge(drawn *day, tenant int, times []time.Duration, tolerance quota.Tolerance) {
	from := 0
	for to, at := range times {
		for at-times[from] >= tolerance.Window {
			from++
		}
		stated := drawn.quotas[tenant]
		if tenant == drawn.lowered && times[from] >= drawn.loweredAt+applyTime+tolerance.Window {
			stated.PerSecond /= lowerDivisor
			stated.Burst /= lowerDivisor
		}
		permitted := (stated.PerSecond*tolerance.Window.Seconds()+stated.Burst)*(1+tolerance.Overage) + tolerance.Slack
		count := float64(to - from + 1)
		o.worst = max(o.worst, count/permitted)
		if count > permitted {
			o.overruns++
		}
	}
}
