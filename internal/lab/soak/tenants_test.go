package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/platform/standin"
)

// keyedRun returns the run of a request for a tenant.
func keyedRun(id string, at time.Time, header http.Header) standin.Arrival {
	return standin.Arrival{ID: id, Instance: "a", Service: "app", Method: http.MethodGet, Target: "/read/", At: at, Ran: true, Header: header}
}

func TestTenantsAreJudged(t *testing.T) {
	for name, given := range map[string]struct {
		key, tenant string
		header      http.Header
		broken      int
	}{
		"own tenant":     {keyOf(openTenant), openTenant, http.Header{"Tenant": {openTenant}}, 0},
		"another tenant": {keyOf(openTenant), openTenant, http.Header{"Tenant": {limitedTenant}}, 1},
		"no tenant":      {keyOf(openTenant), openTenant, nil, 1},
		"two tenants":    {keyOf(openTenant), openTenant, http.Header{"Tenant": {openTenant, openTenant}}, 1},
		"unknown key":    {unknownKey, "", http.Header{"Tenant": {openTenant}}, 1},
		"key passed on":  {keyOf(openTenant), openTenant, http.Header{"Tenant": {openTenant}, "Authorization": {"Token x"}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			oracle := NewOracle()
			oracle.checkTenant(Request{ID: "q", Key: given.key, Tenant: given.tenant}, keyedRun("q", time.Now(), given.header))
			is.New(t).Equal(len(oracle.Violations()), given.broken)
		})
	}
}

func TestQuotasAreJudgedInEachWindow(t *testing.T) {
	check := is.New(t)
	oracle := NewOracle()
	start := time.Now()
	run := func(number int, at time.Duration) {
		request := Request{ID: fmt.Sprint(number), Tenant: limitedTenant}
		oracle.checkQuota(request, keyedRun(request.ID, start.Add(at), nil))
	}
	const allowed = 99 // limitedBound without its fraction
	for number := range allowed {
		run(number, 0)
	}
	check.Equal(len(oracle.Violations()), 0)
	run(allowed, quotaWindow) // of the next window
	check.Equal(len(oracle.Violations()), 0)
	for number := range allowed {
		run(allowed+1+number, quotaWindow)
	}
	check.Equal(len(oracle.Violations()), 1)
}

func TestClientsSendRequestsOfAllTenants(t *testing.T) {
	check := is.New(t)
	keys := map[string]int{}
	for count := range 200 {
		for _, request := range requestsOf(&machine{name: "m", service: services[0]}, 0, count) {
			request.setDefaultKey()
			keys[request.Key]++
			check.True(request.Repeatable || request.Tenant == openTenant)
		}
	}
	check.Equal(len(keys), 3)
}
