package soak

import (
	"time"

	"github.com/springstack/springstack/platform/standin"
)

// The tenants of all versions. Requests of the limited one exceed its quota.
const (
	openTenant    = "open"
	limitedTenant = "limited"
	limitedRate   = 12
	limitedBurst  = 12
)

// The tolerance of quotas in the settings of all daemons.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

// limitedBound is the maximum number of requests of the limited tenant that may run in a window.
const limitedBound = (limitedRate*float64(quotaWindow/time.Second)+limitedBurst)*(1+quotaOverage) + quotaSlack

// The promises about tenants.
const (
	promiseOfTenants = "a request runs for the tenant of its key"
	promiseOfQuotas  = "a tenant's requests keep to its quota"
)

// unknownKey is a key that no version holds.
const unknownKey = "key-of-nobody"

// keyOf returns the key of a tenant.
func keyOf(tenant string) string { return "key-of-" + tenant }

// tenants returns the tenants of a configuration.
func tenants() []standin.Tenant {
	return []standin.Tenant{
		{Name: openTenant, Keys: []string{keyOf(openTenant)}},
		{Name: limitedTenant, Keys: []string{keyOf(limitedTenant)}, Rate: limitedRate, Burst: limitedBurst},
	}
}

// Of the requests that may be repeated, one in limitedEvery is of the limited tenant, and one in
// unknownEvery has a key of nobody. All others are of the open tenant.
const (
	limitedEvery = 5
	unknownEvery = 31
)

// withKey returns a request of a client with the key of its tenant.
func withKey(request Request, count int) Request {
	switch {
	case request.Repeatable && count%unknownEvery == 0:
		request.Key = unknownKey
	case request.Repeatable && count%limitedEvery == 0:
		request.Tenant, request.Key = limitedTenant, keyOf(limitedTenant)
	}
	return request
}

// setDefaultKey gives a request without a key that of the open tenant.
func (r *Request) setDefaultKey() {
	if r.Key == "" {
		r.Tenant, r.Key = openTenant, keyOf(openTenant)
	}
}

// checkTenant judges for whom a request runs.
func (o *Oracle) checkTenant(request Request, arrival standin.Arrival) {
	if request.Key == "" {
		return
	}
	o.exercised(promiseOfTenants, arrival.At)
	named := arrival.Header[standin.TenantHeader]
	if request.Tenant == "" || len(named) != 1 || named[0] != request.Tenant {
		o.violate(promiseOfTenants, "%s of %q ran for %q", request.ID, request.Tenant, named)
	}
	if len(arrival.Header[standin.KeyHeader]) > 0 {
		o.violate(promiseOfTenants, "%s came with its key", request.ID)
	}
}

// checkQuota judges how many requests of the limited tenant run in a window. Further runs of the
// same request don't count.
func (o *Oracle) checkQuota(request Request, arrival standin.Arrival) {
	if request.Tenant != limitedTenant || len(o.runs[request.ID]) > 0 {
		return
	}
	o.exercised(promiseOfQuotas, arrival.At)
	o.limitedRuns = append(standin.Lately(o.limitedRuns, quotaWindow, arrival.At), arrival.At)
	if count := len(o.limitedRuns); float64(count) > limitedBound {
		o.violate(promiseOfQuotas, "%d requests of %q ran in %s", count, limitedTenant, quotaWindow)
	}
}
