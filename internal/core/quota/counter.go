package quota

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/tenancy"
)

const (
	// matureAfter is the age, in windows, from which a counter leases what the quota allows in a
	// window again and again. A younger one leases the rate alone, since an earlier counter of the
	// tenant may have leased the burst in the same window.
	matureAfter = 2
	// heardFor is how long after its last request a daemon counts as heard by a counter.
	heardFor = time.Second
	// leaseDivisor bounds a lease to a part of the tokens at hand, so that the first daemon to ask
	// does not get them all.
	leaseDivisor = 8
	// minRetryAfter and maxRetryAfter bound the wait that a counter tells.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Lease answers a request for tokens.
type Lease struct {
	// Tokens is the number of calls that the daemon may pass.
	Tokens int
	// RetryAfter is when to ask again if there are no tokens.
	RetryAfter time.Duration
}

// Counter is the token bucket of one tenant, which also bounds the leases in each window. It is not
// safe for concurrent use.
type Counter struct {
	quota     tenancy.Quota
	tolerance Tolerance
	level     float64
	createdAt time.Duration
	updatedAt time.Duration
	leases    leaseWindow
	// reserved is the part of a window that daemons which are not heard may spend alone.
	reserved float64
	// heardAt is when each daemon last asked.
	heardAt  map[protocol.NodeID]time.Duration
	prunedAt time.Duration
	// refused counts the tokens that were asked for in vain since refusedSince.
	refused      float64
	refusedSince time.Duration
}

// NewCounter returns the counter of a tenant for a daemon that has just become its counter.
func NewCounter(now time.Duration, quota tenancy.Quota, tolerance Tolerance) *Counter {
	return &Counter{
		quota: quota, tolerance: tolerance, createdAt: now, updatedAt: now, prunedAt: now, refusedSince: now,
		level:   max(counterPart*tolerance.Slack, 1),
		leases:  newLeaseWindow(tolerance.leaseWindow()),
		heardAt: map[protocol.NodeID]time.Duration{},
	}
}

// Request leases tokens to a daemon. wanted is the number that it expects to use, daemons the
// number of daemons of the mesh. The quota may have changed since the last request.
func (c *Counter) Request(now time.Duration, quota tenancy.Quota, from protocol.NodeID, wanted, daemons int) Lease {
	c.quota = quota
	c.heardAt[from] = now
	c.refill(now, daemons)
	available := min(c.level, c.leasable()-c.leases.sum(now))
	tokens := min(wanted, max(1, int(available/leaseDivisor)))
	if wanted < 1 || available < float64(tokens) {
		return Lease{RetryAfter: c.refuse(now, max(wanted, 1))}
	}
	c.level -= float64(tokens)
	c.leases.add(now, float64(tokens))
	return Lease{Tokens: tokens}
}

// leasable returns the number of tokens that may be leased in a window.
func (c *Counter) leasable() float64 { return c.tolerance.leased(c.quota) - c.reserved }

// rate returns the rate at which tokens are added, in calls per second.
func (c *Counter) rate(now time.Duration) float64 {
	window := c.tolerance.leaseWindow()
	if now-c.createdAt < matureAfter*window {
		return max(c.quota.PerSecond-c.reserved/c.tolerance.seconds(), 0)
	}
	return max(c.leasable()/window.Seconds(), 0)
}

// refill adds the tokens since the last request.
func (c *Counter) refill(now time.Duration, daemons int) {
	if now-c.prunedAt >= heardFor {
		c.prune(now)
	}
	silent := 1 - min(float64(len(c.heardAt))/float64(max(daemons, 1)), 1)
	c.reserved = c.tolerance.reserved(c.quota, silent)
	c.level = min(c.level+c.rate(now)*(now-c.updatedAt).Seconds(), c.tolerance.depth(c.quota))
	c.updatedAt = now
}

// prune forgets the daemons that are no longer heard. Between two calls of prune, a daemon may
// count as heard for up to twice heardFor.
func (c *Counter) prune(now time.Duration) {
	for id, at := range c.heardAt {
		if now-at > heardFor {
			delete(c.heardAt, id)
		}
	}
	c.prunedAt = now
}

// refuse records tokens that were asked for in vain, and returns when as many as were refused lately
// will have been added.
func (c *Counter) refuse(now time.Duration, wanted int) time.Duration {
	if now-c.refusedSince > time.Second {
		c.refused, c.refusedSince = 0, now
	}
	c.refused += float64(wanted)
	wait := time.Duration((c.refused - c.level) / max(c.quota.PerSecond, 1e-3) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
