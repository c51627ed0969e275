package quotas

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/tenancy"
)

const (
	// tenantSkew is the exponent of the Zipf distribution of calls over tenants.
	tenantSkew = 1.2
	// quotaFactor is the ratio of a tenant's quota to its usual rate.
	quotaFactor = 1.6
	zones       = 4
	// applyTime is within what time a changed quota is in force on all daemons.
	applyTime = 2500 * time.Millisecond
)

// call is one call of a tenant.
type call struct {
	at     time.Duration
	tenant int
	daemon int
}

// span is a time from which, and until which, something is in effect.
type span struct{ from, until time.Duration }

func (s span) contains(at time.Duration) bool { return s.from <= at && at < s.until }

// day holds the calls and faults of a drawn day.
type day struct {
	daemons int
	quotas  []tenancy.Quota
	calls   []call
	// cut daemons reach no other daemon, killed daemons do not run; nil for most of them.
	cut    []*span
	killed []*span
	// lowered is the tenant whose quota is divided by lowerDivisor at loweredAt; each daemon applies
	// it lowerDelay later.
	lowered    int
	loweredAt  time.Duration
	lowerDelay []time.Duration
}

// lowerDivisor is the factor by which a quota is lowered.
const lowerDivisor = 4

// quotaAt returns the quota of a tenant that a daemon has in force.
func (d *day) quotaAt(tenant, daemon int, at time.Duration) tenancy.Quota {
	quota := d.quotas[tenant]
	if tenant == d.lowered && at >= d.loweredAt+d.lowerDelay[daemon] {
		quota.PerSecond /= lowerDivisor
		quota.Burst /= lowerDivisor
	}
	return quota
}

// isCut reports whether a daemon reaches no other one.
func (d *day) isCut(daemon int, at time.Duration) bool {
	return d.cut[daemon] != nil && d.cut[daemon].contains(at)
}

// isDown reports whether a daemon does not run.
func (d *day) isDown(daemon int, at time.Duration) bool {
	return d.killed[daemon] != nil && d.killed[daemon].contains(at)
}

// drawDay draws a day: calls of all tenants with one that sends many times its usual from one zone
// after the other, daemons that are cut off or restarted meanwhile, and a quota that is lowered.
func drawDay(options Options, seed uint64) *day {
	random := rand.New(rand.NewPCG(seed, 1))
	drawn := &day{
		daemons: options.Daemons, cut: make([]*span, options.Daemons), killed: make([]*span, options.Daemons),
		lowerDelay: make([]time.Duration, options.Daemons), lowered: random.IntN(options.Tenants),
		loweredAt: time.Duration(float64(options.Length) * (0.5 + 0.2*random.Float64())),
	}
	for daemon := range options.Daemons {
		drawn.lowerDelay[daemon] = time.Duration(random.Float64() * float64(applyTime))
	}
	hot, hotSpan := random.IntN(min(4, options.Tenants)), drawSpan(random, options.Length, 6500*time.Millisecond)
	for daemon := range options.Daemons {
		if random.Float64() < options.CutShare {
			drawn.cut[daemon] = &span{hotSpan.from, hotSpan.from + 5500*time.Millisecond}
		} else if random.Float64() < options.KillShare {
			killed := drawSpan(random, options.Length, 2*time.Second)
			drawn.killed[daemon] = &killed
		}
	}
	drawn.drawCalls(options, random, hot, hotSpan)
	return drawn
}

func drawSpan(random *rand.Rand, length, duration time.Duration) span {
	from := time.Duration((0.2 + 0.4*random.Float64()) * float64(length))
	return span{from, from + duration}
}

// drawCalls draws the calls of all tenants, and their quotas.
func (d *day) drawCalls(options Options, random *rand.Rand, hot int, hotSpan span) {
	weights, sum := make([]float64, options.Tenants), 0.0
	for tenant := range weights {
		weights[tenant] = math.Pow(float64(tenant+1), -tenantSkew)
		sum += weights[tenant]
	}
	for tenant, weight := range weights {
		usual := options.PerSecond * weight / sum
		d.quotas = append(d.quotas, tenancy.Quota{PerSecond: math.Ceil(usual * quotaFactor), Burst: math.Ceil(usual * quotaFactor)})
		for at := time.Duration(0); ; {
			rate := usual
			isHot := tenant == hot && hotSpan.contains(at)
			if isHot {
				rate *= options.HotFactor
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= options.Length {
				break
			}
			daemon := random.IntN(d.daemons)
			if isHot && options.HotMoves {
				zone := int((at-hotSpan.from)/time.Second) % zones
				daemon = daemon - daemon%zones + zone
			}
			if daemon < d.daemons && !d.isDown(daemon, at) {
				d.calls = append(d.calls, call{at: at, tenant: tenant, daemon: daemon})
			}
		}
	}
	slices.SortFunc(d.calls, func(a, b call) int { return int(a.at - b.at) })
}
