package hosted

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/springstack/springstack/internal/metrics"
)

// maxTenantMetrics is the number of tenants that have metrics of their own. The calls of all others
// are summed under an empty name.
const maxTenantMetrics = 20

// The values of the label outcome of metrics.TenantCalls.
const (
	outcomePassed  = "passed"
	outcomeRefused = "refused"
)

// tenantCalls holds the numbers of a tenant's calls at this daemon.
type tenantCalls struct {
	tenant          string
	passed, refused uint64
}

// callsByTenant returns the calls of the tenants with quotas, the busiest tenants first.
func (q *quotas) callsByTenant() []tenantCalls {
	var calls []tenantCalls
	q.accounts.Range(func(name, account any) bool {
		counted := account.(*leaseAccount)
		calls = append(calls, tenantCalls{tenant: name.(string), passed: counted.passed.Load(), refused: counted.refused.Load()})
		return true
	})
	slices.SortFunc(calls, func(a, b tenantCalls) int {
		return cmp.Or(cmp.Compare(b.passed+b.refused, a.passed+a.refused), cmp.Compare(a.tenant, b.tenant))
	})
	return calls
}

// collect sends the metrics of quotas.
func (q *quotas) collect(out chan<- prometheus.Metric) {
	calls := q.callsByTenant()
	if len(calls) > maxTenantMetrics {
		var others tenantCalls
		for _, other := range calls[maxTenantMetrics:] {
			others.passed += other.passed
			others.refused += other.refused
		}
		calls = append(calls[:maxTenantMetrics:maxTenantMetrics], others)
	}
	for _, counted := range calls {
		metrics.TenantCalls.Send(out, float64(counted.passed), counted.tenant, outcomePassed)
		metrics.TenantCalls.Send(out, float64(counted.refused), counted.tenant, outcomeRefused)
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	metrics.QuotaCountersLost.Send(out, float64(len(q.unreachableSince)))
}
