package hosted

import (
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quota"
	"github.com/springstack/springstack/internal/core/tenancy"
)

const (
	// takeoverDelay is how long the daemon with a counter must have been unreachable before the next
	// in rank keeps a new one. Leases of both may otherwise fall into one window of the quota.
	takeoverDelay = 5 * time.Second
	// counterCandidates is the number of daemons, in the order of their rank, that may keep a counter.
	counterCandidates = 3
	// counterPurpose begins the purpose by which membership.RankForDuty ranks daemons as keepers of a
	// counter.
	counterPurpose = "quota "
)

// counterKey identifies one of the counters of a tenant.
type counterKey struct {
	tenant string
	shard  quota.Shard
}

// purpose returns the purpose by which daemons are ranked as this counter.
func (k counterKey) purpose() string {
	return counterPurpose + k.tenant + " " + strconv.Itoa(k.shard.Index)
}

// handleRequest answers a request for a lease.
func (q *quotas) handleRequest(request *protocol.QuotaRequest) *protocol.QuotaReply {
	tenant := q.tenant(request.Tenant)
	key := counterKey{request.Tenant, quota.Shard{Index: request.Shard, Count: request.Shards}}
	if tenant == nil || request.Wanted < 1 || !key.shard.IsValid() {
		return &protocol.QuotaReply{}
	}
	if !q.isCounter(key) {
		q.mutex.Lock()
		defer q.mutex.Unlock()
		delete(q.counters, key)
		return &protocol.QuotaReply{}
	}
	if !tenant.Quota.IsLimited() {
		return &protocol.QuotaReply{IsCounter: true, Tokens: request.Wanted}
	}
	lease := q.lease(key, tenant.Quota, request)
	return &protocol.QuotaReply{IsCounter: true, Tokens: lease.Tokens, RetryAfter: lease.RetryAfter}
}

// lease leases tokens of a counter that this daemon keeps.
func (q *quotas) lease(key counterKey, whole tenancy.Quota, request *protocol.QuotaRequest) quota.Lease {
	daemons, now := key.shard.Daemons(q.mesh.daemonCount()), q.mesh.clock()
	part := key.shard.Of(whole)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	counter := q.counters[key]
	if counter == nil {
		counter = quota.NewCounter(now, part, key.shard.Tolerance(q.tolerance))
		q.counters[key] = counter
	}
	return counter.Request(now, part, request.From, request.Wanted, daemons)
}

// isCounter reports whether this daemon keeps a counter: all daemons that rank before
// it have been unreachable for takeoverDelay, and are still.
func (q *quotas) isCounter(key counterKey) bool {
	for _, candidate := range q.rankCounters(key) {
		if candidate.ID == q.mesh.self.ID {
			return true
		}
		if !q.isTakenOver(candidate.ID) {
			q.verifyCounter(candidate)
			return false
		}
	}
	return false
}

// verifyCounter checks in the background whether a daemon that keeps counters answers, since a
// peer has asked this daemon instead.
func (q *quotas) verifyCounter(target dissemination.Peer) {
	q.mesh.running.Go(func() {
		// A request without a tenant leases nothing.
		q.ask(q.mesh.context, target, &protocol.QuotaRequest{Format: protocol.Format, From: q.mesh.self.ID})
	})
}

// rankCounters returns the daemons that may keep a counter, best first.
func (q *quotas) rankCounters(key counterKey) []dissemination.Peer {
	q.mesh.mutex.Lock()
	defer q.mesh.mutex.Unlock()
	revision := q.mesh.roster.StructureRevision()
	if ranked, cached := q.ranks.load(revision, key); cached {
		return ranked
	}
	var candidates []dissemination.Peer
	for _, member := range membership.RankForDuty(key.purpose(), q.mesh.roster.Where(membership.MayBeParent)) {
		if len(candidates) < counterCandidates {
			candidates = append(candidates, dissemination.Peer{ID: member.ID, Address: member.ControlAddress, Zone: member.Zone, Region: member.Region})
		}
	}
	q.ranks.store(revision, key, candidates)
	return candidates
}

// counterRanks caches the ranked daemons of each counter for one revision of the roster's structure.
type counterRanks struct {
	revision uint64
	byKey    map[counterKey][]dissemination.Peer
}

func (c *counterRanks) load(revision uint64, key counterKey) ([]dissemination.Peer, bool) {
	if c.revision != revision {
		return nil, false
	}
	ranked, found := c.byKey[key]
	return ranked, found
}

func (c *counterRanks) store(revision uint64, key counterKey, ranked []dissemination.Peer) {
	if c.revision != revision || c.byKey == nil {
		c.revision, c.byKey = revision, map[counterKey][]dissemination.Peer{}
	}
	c.byKey[key] = ranked
}
