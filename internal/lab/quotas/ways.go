package quotas

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quota"
	"github.com/springstack/springstack/internal/core/tenancy"
)

// way is a way to limit calls.
type way interface {
	// pass decides on a call.
	pass(call) bool
	// messages returns how many messages each daemon has received.
	messages() []int
}

// pairOf identifies a tenant at a daemon.
type pairOf struct{ tenant, daemon int }

// leases is the way of core/quota: each tenant has counters, each at one daemon, which lease calls.
type leases struct {
	day       *day
	tolerance quota.Tolerance
	accounts  map[pairOf]*quota.Account
	counters  map[counterKey]*quota.Counter
	// owners caches the daemon that keeps each counter.
	owners   map[counterKey]int
	received []int
}

func newLeases(drawn *day, tolerance quota.Tolerance) *leases {
	return &leases{
		day: drawn, tolerance: tolerance, accounts: map[pairOf]*quota.Account{},
		counters: map[counterKey]*quota.Counter{}, owners: map[counterKey]int{}, received: make([]int, drawn.daemons),
	}
}

// counterKey identifies one of the counters of a tenant.
type counterKey struct {
	tenant int
	shard  quota.Shard
}

// ownerOf returns the daemon that keeps a counter.
func (l *leases) ownerOf(key counterKey) int {
	if owner, known := l.owners[key]; known {
		return owner
	}
	best, bestScore := 0, uint64(0)
	purpose := fmt.Sprint(key.tenant, " ", key.shard.Index)
	for daemon := range l.day.daemons {
		if score := membership.Score(purpose, nodeID(daemon)); score > bestScore {
			best, bestScore = daemon, score
		}
	}
	l.owners[key] = best
	return best
}

func nodeID(daemon int) protocol.NodeID { return protocol.NodeID(fmt.Sprintf("d%d", daemon)) }

func tenantName(tenant int) string { return fmt.Sprintf("t%d", tenant) }

func (l *leases) messages() []int { return l.received }

func (l *leases) pass(given call) bool {
	pair := pairOf{given.tenant, given.daemon}
	account := l.accounts[pair]
	if account == nil {
		account = quota.NewAccount(tenantName(given.tenant), nodeID(given.daemon))
		l.accounts[pair] = account
	}
	account.Count()
	if decision, _ := account.Take(given.at); decision != quota.Undecided {
		return decision == quota.Passed
	}
	lease, answered := l.request(given, account.Wanted(given.at))
	if !answered {
		passed, _ := account.TakeAlone(given.at, l.day.quotaAt(given.tenant, given.daemon, given.at), l.day.daemons)
		return passed
	}
	account.Rejoin()
	return account.Apply(given.at, lease)
}

// request asks the tenant's counter, which may be cut off or down. A counter that was down since
// the last request starts anew.
func (l *leases) request(given call, wanted int) (quota.Lease, bool) {
	key := counterKey{given.tenant, quota.ShardFor(nodeID(given.daemon), l.day.quotaAt(given.tenant, given.daemon, given.at))}
	owner := l.ownerOf(key)
	isDown := l.day.isDown(owner, given.at)
	if isDown {
		delete(l.counters, key)
	}
	if isDown || owner != given.daemon && (l.day.isCut(owner, given.at) || l.day.isCut(given.daemon, given.at)) {
		return quota.Lease{}, false
	}
	if owner != given.daemon {
		l.received[owner]++
	}
	part := key.shard.Of(l.day.quotaAt(given.tenant, owner, given.at))
	counter := l.counters[key]
	if counter == nil {
		counter = quota.NewCounter(given.at, part, key.shard.Tolerance(l.tolerance))
		l.counters[key] = counter
	}
	return counter.Request(given.at, part, nodeID(given.daemon), wanted, key.shard.Daemons(l.day.daemons)), true
}

// bucket is a plain token bucket.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) take(at time.Duration, stated tenancy.Quota) bool {
	b.level = min(b.level+stated.PerSecond*(at-b.at).Seconds(), max(stated.Burst, 1))
	b.at = at
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// shares is the way without messages: each daemon has an equal share of each quota.
type shares struct {
	day     *day
	buckets map[pairOf]*bucket
	random  *rand.Rand
}

func newShares(drawn *day, random *rand.Rand) *shares {
	return &shares{day: drawn, buckets: map[pairOf]*bucket{}, random: random}
}

func (s *shares) messages() []int { return make([]int, s.day.daemons) }

func (s *shares) pass(given call) bool {
	stated := s.day.quotaAt(given.tenant, given.daemon, given.at)
	stated.PerSecond /= float64(s.day.daemons)
	stated.Burst /= float64(s.day.daemons)
	pair := pairOf{given.tenant, given.daemon}
	own := s.buckets[pair]
	if own == nil {
		own = &bucket{level: max(s.random.Float64(), stated.Burst), at: given.at}
		s.buckets[pair] = own
	}
	return own.take(given.at, stated)
}

// reportPeriod is the time between two reports in the way of reports.
const reportPeriod = 250 * time.Millisecond

// reports is the way of sampling: daemons pass calls with a probability that a counter works out
// for each tenant from the calls that all daemons report periodically. A daemon without contact
// keeps the last probability.
type reports struct {
	day    *day
	random *rand.Rand
	// counted is what has been sent since the last report, by tenant and daemon.
	counted  map[pairOf]int
	share    map[pairOf]float64
	level    []float64
	nextAt   time.Duration
	received []int
}

func newReports(drawn *day, random *rand.Rand) *reports {
	made := &reports{
		day: drawn, random: random, counted: map[pairOf]int{}, share: map[pairOf]float64{},
		received: make([]int, drawn.daemons), nextAt: reportPeriod,
	}
	for _, stated := range drawn.quotas {
		made.level = append(made.level, stated.Burst)
	}
	return made
}

func (r *reports) messages() []int { return r.received }

func (r *reports) pass(given call) bool {
	for given.at >= r.nextAt {
		r.report(r.nextAt)
		r.nextAt += reportPeriod
	}
	pair := pairOf{given.tenant, given.daemon}
	r.counted[pair]++
	share, limited := r.share[pair]
	return !limited || r.random.Float64() < share
}

// report has all daemons report their calls to the counters, which are not modelled apart: each
// report of a daemon about a tenant is one message to daemon 0.
func (r *reports) report(at time.Duration) {
	sums := make([]float64, len(r.day.quotas))
	for pair, count := range r.counted {
		if !r.day.isCut(pair.daemon, at) {
			sums[pair.tenant] += float64(count)
			r.received[pair.daemon]++
		}
	}
	clear(r.counted)
	for tenant, sum := range sums {
		stated := r.day.quotaAt(tenant, 0, at)
		r.level[tenant] = min(r.level[tenant]+stated.PerSecond*reportPeriod.Seconds(), max(stated.Burst, 1))
		share := 1.0
		if sum > 0 {
			share = min(1, max(r.level[tenant], 0)/sum)
		}
		r.level[tenant] -= sum * share
		for daemon := range r.day.daemons {
			pair := pairOf{tenant, daemon}
			switch {
			case r.day.isCut(daemon, at):
			case share < 1:
				r.share[pair] = share
			default:
				delete(r.share, pair)
			}
		}
	}
}
