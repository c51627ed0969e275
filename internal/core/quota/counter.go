package quota

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/tenancy"
)

const (
	// takeoverPart is the part of its depth with which a new counter starts: an earlier counter of
	// the tenant may have just leased all of it.
	takeoverPart = 0.2
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

// Counter is the token bucket of one tenant. It is not safe for concurrent use.
type Counter struct {
	quota     tenancy.Quota
	tolerance Tolerance
	level     float64
	updatedAt time.Duration
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
		quota: quota, tolerance: tolerance, updatedAt: now, prunedAt: now, refusedSince: now,
		level:   max(tolerance.depth(quota)*takeoverPart, 1),
		heardAt: map[protocol.NodeID]time.Duration{},
	}
}

// Request leases tokens to a daemon. wanted is the number that it expects to use, daemons the
// number of daemons of the mesh. The quota may have changed since the last request.
func (c *Counter) Request(now time.Duration, quota tenancy.Quota, from protocol.NodeID, wanted, daemons int) Lease {
	c.quota = quota
	c.heardAt[from] = now
	c.refill(now, daemons)
	tokens := min(wanted, max(1, int(c.level/leaseDivisor)))
	if wanted < 1 || c.level < float64(tokens) {
		return Lease{RetryAfter: c.refuse(now, max(wanted, 1))}
	}
	c.level -= float64(tokens)
	return Lease{Tokens: tokens}
}

// refill adds the tokens since the last request.
func (c *Counter) refill(now time.Duration, daemons int) {
	if now-c.prunedAt >= heardFor {
		c.prune(now)
	}
	silent := 1 - min(float64(len(c.heardAt))/float64(max(daemons, 1)), 1)
	rate := max(c.quota.PerSecond-c.tolerance.reservedRate(c.quota, silent), 0)
	c.level = min(c.level+rate*(now-c.updatedAt).Seconds(), c.tolerance.depth(c.quota))
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
