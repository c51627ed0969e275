package hosted

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quota"
	"github.com/springstack/springstack/internal/core/tenancy"
)

const (
	// quotaTimeout limits the time of a request to the counter of a tenant, remoteQuotaTimeout that
	// to one in another region. A call of the tenant waits for it.
	quotaTimeout       = 150 * time.Millisecond
	remoteQuotaTimeout = 450 * time.Millisecond
	// contactRetryDelay is how long a daemon spends its own share of a quota before it asks the
	// counter again that did not answer.
	contactRetryDelay = 300 * time.Millisecond
	// takeoverDelay is how long a counter must have been unreachable before another daemon takes
	// its place. It is not shorter than the window of a quota, so that the leases of both counters
	// hardly fall into one window.
	takeoverDelay = 5 * time.Second
	// counterCandidates is the number of daemons that may keep the counter of a tenant, in the
	// order of their rank.
	counterCandidates = 3
	// counterPurpose begins the purpose passed to membership.RankForDuty to rank daemons as the counter of
	// a tenant.
	counterPurpose = "quota "
)

// quotas limits the calls of tenants over all daemons: it leases the calls of this daemon from the
// counters of the tenants, and keeps the counters of some tenants itself.
type quotas struct {
	mesh      *mesh
	tolerance quota.Tolerance
	// tenant returns a tenant of the configuration in force; nil if there is none.
	tenant func(name string) *tenancy.Tenant
	// accounts holds the account of each tenant that has sent calls here, by name.
	accounts sync.Map
	ranks    counterRanks
	// mutex guards counters and unreachableSince.
	mutex    sync.Mutex
	counters map[counterKey]*quota.Counter
	// unreachableSince is since when each daemon has not answered a request for a lease.
	unreachableSince map[protocol.NodeID]time.Duration
}

// counterKey identifies one of the counters of a tenant.
type counterKey struct {
	tenant string
	shard  quota.Shard
}

// purpose returns the purpose by which daemons are ranked as this counter.
func (k counterKey) purpose() string {
	return counterPurpose + k.tenant + " " + strconv.Itoa(k.shard.Index)
}

// leaseAccount is the account of one tenant with what is needed to request leases.
type leaseAccount struct {
	*quota.Account
	// waiting is the number of calls that wait for a lease.
	waiting atomic.Int64
	// turn is held by the call that requests a lease, and guards the account.
	turn chan struct{}
	// aloneUntil is until when the counter is not asked because it has not answered.
	aloneUntil time.Duration

	passed  atomic.Uint64
	refused atomic.Uint64
}

func newQuotas(m *mesh, tolerance quota.Tolerance, tenant func(string) *tenancy.Tenant) *quotas {
	return &quotas{
		mesh: m, tolerance: tolerance, tenant: tenant,
		counters: map[counterKey]*quota.Counter{}, unreachableSince: map[protocol.NodeID]time.Duration{},
	}
}

// Take implements proxy.Quotas.
func (q *quotas) Take(ctx context.Context, tenant *tenancy.Tenant) (bool, time.Duration) {
	if !tenant.Quota.IsLimited() {
		return true, 0
	}
	account := q.account(tenant.Name)
	account.Count()
	passed, wait := q.take(ctx, tenant, account)
	if passed {
		account.passed.Add(1)
	} else {
		account.refused.Add(1)
	}
	return passed, wait
}

// Return implements proxy.Quotas.
func (q *quotas) Return(tenant *tenancy.Tenant) {
	if tenant.Quota.IsLimited() {
		q.account(tenant.Name).Return()
	}
}

func (q *quotas) account(tenant string) *leaseAccount {
	if found, ok := q.accounts.Load(tenant); ok {
		return found.(*leaseAccount)
	}
	made := &leaseAccount{Account: quota.NewAccount(tenant, q.mesh.self.ID), turn: make(chan struct{}, 1)}
	stored, _ := q.accounts.LoadOrStore(tenant, made)
	return stored.(*leaseAccount)
}

// take spends a token, and requests a lease if there is none.
func (q *quotas) take(ctx context.Context, tenant *tenancy.Tenant, account *leaseAccount) (bool, time.Duration) {
	if decision, wait := account.Take(q.mesh.clock()); decision != quota.Undecided {
		return decision == quota.Passed, wait
	}
	account.waiting.Add(1)
	defer account.waiting.Add(-1)
	select {
	case account.turn <- struct{}{}:
		defer func() { <-account.turn }()
	case <-ctx.Done():
		return false, 0
	}
	if decision, wait := account.Take(q.mesh.clock()); decision != quota.Undecided {
		return decision == quota.Passed, wait // the call before this one has requested a lease
	}
	return q.takeFromLease(ctx, tenant, account)
}

// takeFromLease requests a lease and spends a token of it, or one of the daemon's own share if no
// counter answers. The turn of the account is held.
func (q *quotas) takeFromLease(ctx context.Context, tenant *tenancy.Tenant, account *leaseAccount) (bool, time.Duration) {
	now := q.mesh.clock()
	if now >= account.aloneUntil {
		wanted := max(account.Wanted(now), int(account.waiting.Load()))
		if lease, answered := q.requestLease(ctx, tenant, wanted); answered {
			account.Rejoin()
			account.Apply(q.mesh.clock(), lease)
			decision, wait := account.Take(q.mesh.clock())
			return decision == quota.Passed, max(wait, lease.RetryAfter)
		}
		account.aloneUntil = q.mesh.clock() + contactRetryDelay
	}
	return account.TakeAlone(q.mesh.clock(), tenant.Quota, q.mesh.daemonCount())
}

// requestLease requests a lease from the counter of a tenant. It returns false if there was no
// answer.
func (q *quotas) requestLease(ctx context.Context, tenant *tenancy.Tenant, wanted int) (quota.Lease, bool) {
	key := counterKey{tenant.Name, quota.ShardFor(q.mesh.self.ID, tenant.Quota)}
	request := &protocol.QuotaRequest{
		Format: protocol.Format, From: q.mesh.self.ID, Tenant: tenant.Name,
		Shard: key.shard.Index, Shards: key.shard.Count, Wanted: wanted,
	}
	for _, candidate := range q.rankCounters(key) {
		reply := q.ask(ctx, candidate, request)
		if reply != nil && reply.IsCounter {
			return quota.Lease{Tokens: reply.Tokens, RetryAfter: reply.RetryAfter}, true
		}
		if reply == nil && !q.isTakenOver(candidate.ID) {
			return quota.Lease{}, false
		}
	}
	return quota.Lease{}, false
}

// ask sends a request to a daemon, which may be this one; nil means no answer.
func (q *quotas) ask(ctx context.Context, target dissemination.Peer, request *protocol.QuotaRequest) *protocol.QuotaReply {
	if target.ID == q.mesh.self.ID {
		return q.handleRequest(request)
	}
	timeout := quotaTimeout
	if target.Region != q.mesh.self.Region {
		timeout = remoteQuotaTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := q.mesh.client.Call(ctx, target.Address, request)
	reply, _ := body.(*protocol.QuotaReply)
	if err != nil {
		reply = nil
	}
	q.recordAnswer(target.ID, reply != nil)
	return reply
}

// recordAnswer records whether a daemon answered.
func (q *quotas) recordAnswer(id protocol.NodeID, answered bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_, unreachable := q.unreachableSince[id]
	switch {
	case answered && unreachable:
		delete(q.unreachableSince, id)
		q.mesh.events.event("quota_counter_regained", field("peer", string(id)))
	case !answered && !unreachable:
		q.unreachableSince[id] = q.mesh.clock()
		q.mesh.events.event("quota_counter_lost", field("peer", string(id)))
	}
}

// isTakenOver reports whether a daemon has been unreachable for so long that the daemon ranked after
// it keeps its counters.
func (q *quotas) isTakenOver(id protocol.NodeID) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	since, unreachable := q.unreachableSince[id]
	return unreachable && q.mesh.clock()-since >= takeoverDelay
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
	q.mesh.runInBackground(func() {
		ctx, cancel := context.WithTimeout(q.mesh.context, quotaTimeout)
		defer cancel()
		// A request without a tenant leases nothing.
		_, err := q.mesh.client.Call(ctx, target.Address, &protocol.QuotaRequest{Format: protocol.Format, From: q.mesh.self.ID})
		q.recordAnswer(target.ID, err == nil)
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
