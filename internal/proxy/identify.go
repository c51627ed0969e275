package proxy

import (
	"net/http"
	"strings"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/tenancy"
	"github.com/springstack/springstack/internal/result"
)

// identify returns the tenant of a request; nil if the route is public or the configuration has no
// tenants. If it returns false, the request is refused.
func (p *Proxy) identify(current *view, route *resource.Route, request *http.Request) (*tenancy.Tenant, Refusal, bool) {
	tenants := current.snapshot.Tenants
	if p.config.Edge == nil || !tenants.IsRequired() || route.Public {
		return nil, Refusal{}, true
	}
	tenant := tenants.Find(p.config.Edge.parseKey(request.Header))
	if tenant == nil {
		return nil, Refusal{Code: result.UnknownKey}, false
	}
	return tenant, Refusal{}, true
}

// takeQuota asks for the permission to run the call. If it returns false, the call is refused.
func (c *callerCall) takeQuota() (Refusal, bool) {
	take := c.proxy.config.TakeQuota
	if c.tenant == nil || take == nil {
		return Refusal{}, true
	}
	permitted, retryAfter := take(c.context, c.tenant)
	switch {
	case permitted:
		c.hasQuota = true
		return Refusal{}, true
	case c.context.Err() != nil:
		return Refusal{Code: result.DeadlineBeforeStart}, false
	}
	return Refusal{Code: result.QuotaExceeded, RetryAfter: retryAfter}, false
}

// returnQuota gives back the permission of a call that did not run.
func (c *callerCall) returnQuota() {
	if c.hasQuota {
		c.hasQuota = false
		c.proxy.config.ReturnQuota(c.tenant)
	}
}

// parseKey returns the API key of a request; empty if there is none or the header is malformed or
// repeated.
func (e *Edge) parseKey(header http.Header) string {
	lines := header[e.Key]
	if len(lines) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(lines[0], " ")
	if !strings.EqualFold(scheme, e.KeyScheme) {
		return ""
	}
	return strings.TrimLeft(key, " ")
}

// setTenant removes the API key from a forwarded request, and replaces the name of the tenant. If
// the configuration has no tenants, both headers have no special meaning and stay.
func (c *callerCall) setTenant(header http.Header) {
	edge := c.proxy.config.Edge
	if edge == nil || !c.identified {
		return
	}
	delete(header, edge.Key)
	delete(header, edge.Tenant)
	if c.tenant != nil {
		header[edge.Tenant] = []string{c.tenant.Name}
	}
}

// priority returns the priority of the call. A call on a public route of a configuration with
// tenants precedes those of all tenants: it is usually made by a back end during a tenant's call,
// which fails without it.
func (c *callerCall) priority() resource.Priority {
	route := c.route.Resource.Priority
	switch {
	case c.tenant != nil:
		return route.ForTenant(c.tenant.Priority)
	case c.identified:
		return route.ForTenant(resource.PriorityHigh)
	}
	return route
}
