package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quota"
	"github.com/springstack/springstack/internal/core/tenancy"
)

const (
	// quotaTimeout limits the time of a request to the counter of a tenant, remoteQuotaTimeout that
	// to one in another region. A call of the tenant waits for it.
	quotaTimeout       = 150 * time.Millisecond
	remoteQuotaTimeout = 450 * time.Millisecond
	// contactRetryDelay is how long a daemon spends its own share of a quota before it asks a counter
	// again that did not answer.
	contactRetryDelay = 300 * time.Millisecond
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
	// ranks is guarded by the mutex of the mesh.
	ranks counterRanks
	// mutex guards counters and unreachableSince.
	mutex    sync.Mutex
	counters map[counterKey]*quota.Counter
	// unreachableSince is since when each daemon has not answered a request for a lease.
	unreachableSince map[protocol.NodeID]time.Duration
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

	// passed and refused count the calls of the tenant, for metrics.
	passed  atomic.Uint64
	refused atomic.Uint64
}

func newQuotas(m *mesh, tolerance quota.Tolerance, tenant func(string) *tenancy.Tenant) *quotas {
	return &quotas{
		mesh: m, tolerance: tolerance, tenant: tenant,
		counters: map[counterKey]*quota.Counter{}, unreachableSince: map[protocol.NodeID]time.Duration{},
	}
}

// Take asks for the permission to pass one call of a tenant; see proxy.Config.TakeQuota.
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

// Return gives back the permission of a call that did not run; see proxy.Config.ReturnQuota.
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
			return account.Apply(q.mesh.clock(), lease), lease.RetryAfter
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
	body, err := q.mesh.sendRequest(ctx, target.Address, request)
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
