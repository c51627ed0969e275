// Package routing compiles the routes of a snapshot into an immutable table and
// finds the route and destination of a call. It reads no clock and draws no
// random numbers; the caller passes in a random number where one is needed.
package routing

import (
	"cmp"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
	"github.com/springstack/springstack/internal/core/region"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// DefaultTimeout is the timeout of routes that state none.
const DefaultTimeout = 15 * time.Second

// TimeoutOf returns the time limit of a route's calls, including all attempts.
func TimeoutOf(route *resource.Route) time.Duration { return cmp.Or(route.Timeout, DefaultTimeout) }

// DefaultAttempts is the maximum number of attempts for routes that state none.
const DefaultAttempts = 3

// Query holds the properties of a call that routes are matched against.
type Query struct {
	Method string
	// Host is the canonical host, as resource.CanonicalHost returns it; for a verbatim
	// table, it is the host in lower case, without its port.
	Host string
	// Path is the canonical path, as resource.CanonicalPath returns it; for a verbatim
	// table, it is the path as sent.
	Path string
	// Header returns the first value of a header; nil means no headers.
	Header func(name string) string
}

// Destination is one weighted destination of a compiled route.
type Destination struct {
	Service resource.ServiceRef
	// cumulativeWeight is the sum of the weights up to and including this destination.
	cumulativeWeight uint64
}

// Route is a compiled route. It is immutable.
type Route struct {
	Resource resource.Route
	// Class is the class of the route's calls, for statistics.
	Class callclass.Class
	// Targets lists the destinations in the order of Resource.Split.
	Targets []Destination
	// Timeout is the time limit of the whole call; never 0.
	Timeout time.Duration
	// Attempts is the maximum number of attempts of a call; at least 1.
	Attempts int
	// Regions is the set of regions in which calls may run.
	Regions region.Set
	// SecretHeader and SecretText are set on the request; empty for none.
	SecretHeader string
	SecretText   resource.SecretValue

	host        string
	totalWeight uint64
}

// Repeatable reports whether a call with the method may safely run twice: as the
// route states, or for GET and HEAD only if the route does not state it.
func (r *Route) Repeatable(method string) bool {
	if r.Resource.Repeatable != nil {
		return *r.Resource.Repeatable
	}
	return method == "GET" || method == "HEAD"
}

// Pick selects a destination by weight. Random is uniformly distributed over all uint64 values.
func (r *Route) Pick(random uint64) resource.ServiceRef {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	point := random % r.totalWeight
	for _, destination := range r.Targets {
		if point < destination.cumulativeWeight {
			return destination.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Table is a routing table. It is immutable and thus safe for concurrent use.
type Table struct {
	// exact maps paths to the routes that match them exactly, most specific first.
	exact map[string][]*Route
	// prefixes maps path prefixes to their routes, most specific first.
	prefixes map[string][]*Route
	// hosts maps hosts to the routes of a verbatim table; nil in other tables.
	hosts map[string]*hostRoutes
	// longestPrefixLength is the length of the longest key of prefixes.
	longestPrefixLength int
	routeCount          int
	// restrictions holds the distinct region restrictions of the routes to each
	// service.
	restrictions map[resource.ServiceRef][]region.Set
}

// Compile builds the routing table of a snapshot. Routes without a destination
// are skipped.
func Compile(snap *snapshot.Snapshot) *Table {
	table := &Table{exact: map[string][]*Route{}, prefixes: map[string][]*Route{}}
	for _, route := range snap.Routes {
		if compiled := compileRoute(route, snap); compiled != nil {
			table.add(compiled)
		}
	}
	for _, routes := range table.exact {
		slices.SortFunc(routes, compareSpecificity)
	}
	for _, routes := range table.prefixes {
		slices.SortFunc(routes, compareSpecificity)
	}
	return table
}

func compileRoute(route resource.Route, snap *snapshot.Snapshot) *Route {
	compiled := &Route{
		Resource: route,
		Class:    callclass.OfRoute(&route),
		Timeout:  TimeoutOf(&route),
		Attempts: cmp.Or(route.RetryAttempts, DefaultAttempts),
		Regions:  region.NewSet(route.AllowedRegions),
		host:     canonicalHost(route.Match.Host),
	}
	for _, destination := range route.Split {
		compiled.totalWeight += uint64(max(destination.Weight, 1))
		compiledDestination := Destination{Service: destination.Service, cumulativeWeight: compiled.totalWeight}
		compiled.Targets = append(compiled.Targets, compiledDestination)
	}
	if len(compiled.Targets) == 0 {
		return nil
	}
	if route.Secret != nil {
		key := resource.Key{Partner: route.Partner, Kind: resource.KindSecret, Name: route.Secret.Name}
		compiled.SecretHeader = textproto.CanonicalMIMEHeaderKey(route.Secret.Header)
		compiled.SecretText = snap.Secrets[key].Value
	}
	return compiled
}

func (t *Table) add(route *Route) {
	t.recordRoute(route)
	match := route.Resource.Match
	if match.Path != "" {
		t.exact[match.Path] = append(t.exact[match.Path], route)
		return
	}
	prefix := strings.TrimSuffix(match.PathPrefix, "/")
	t.prefixes[prefix] = append(t.prefixes[prefix], route)
	t.longestPrefixLength = max(t.longestPrefixLength, len(prefix))
}

// recordRoute adds a route to the table's size and its region restriction, if any, to
// the restrictions of its services.
func (t *Table) recordRoute(route *Route) {
	t.routeCount++
	if !route.Regions.Restricted() {
		return
	}
	if t.restrictions == nil {
		t.restrictions = map[resource.ServiceRef][]region.Set{}
	}
	for _, destination := range route.Targets {
		restrictions := t.restrictions[destination.Service]
		if !slices.ContainsFunc(restrictions, route.Regions.Equal) {
			t.restrictions[destination.Service] = append(restrictions, route.Regions)
		}
	}
}

// HasRestrictions reports whether any route is restricted to regions.
func (t *Table) HasRestrictions() bool {
	return t != nil && len(t.restrictions) > 0 // t is nil until the first configuration version is in force
}

// RestrictionsOf returns the distinct region restrictions of the routes to a service. It is
// empty if none of these routes is restricted.
func (t *Table) RestrictionsOf(service resource.ServiceRef) []region.Set {
	return t.restrictions[service]
}

// Size returns the number of routes.
func (t *Table) Size() int { return t.routeCount }

// Find returns the most specific route that matches a call, or nil.
func (t *Table) Find(query Query) *Route {
	if t.hosts != nil {
		return t.findVerbatim(query)
	}
	if route := firstMatch(t.exact[query.Path], query); route != nil {
		return route
	}
	prefix := query.Path
	for {
		prefix = strings.TrimSuffix(prefix, "/")
		if len(prefix) <= t.longestPrefixLength {
			if route := firstMatch(t.prefixes[prefix], query); route != nil {
				return route
			}
		}
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return nil
		}
		prefix = prefix[:cut]
	}
}

func firstMatch(routes []*Route, query Query) *Route {
	for _, route := range routes {
		if route.matchesConditions(query) {
			return route
		}
	}
	return nil
}

// matchesConditions reports whether a call meets the conditions of the route other than its path.
func (r *Route) matchesConditions(query Query) bool {
	if r.host != "" && r.host != query.Host {
		return false
	}
	methods := r.Resource.Match.Methods
	if len(methods) > 0 && !slices.Contains(methods, query.Method) {
		return false
	}
	for _, condition := range r.Resource.Match.Headers {
		if query.Header == nil || query.Header(condition.Name) != condition.Value {
			return false
		}
	}
	return true
}

// compareSpecificity orders routes with the same path: those with a host first, then
// those that list more methods and headers, then by name and partner.
func compareSpecificity(a, b *Route) int {
	if (a.host == "") != (b.host == "") {
		if a.host != "" {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(conditionCount(b), conditionCount(a)),
		strings.Compare(a.Resource.Name, b.Resource.Name),
		strings.Compare(string(a.Resource.Partner), string(b.Resource.Partner)),
	)
}

func conditionCount(route *Route) int {
	match := route.Resource.Match
	return len(match.Methods) + len(match.Headers)
}

// canonicalHost returns the canonical form of a route's host. An invalid host is
// returned unchanged and matches no call.
func canonicalHost(host string) string {
	if host == "" {
		return ""
	}
	canonical, err := resource.CanonicalHost(host)
	if err != nil {
		return host
	}
	return canonical
}
