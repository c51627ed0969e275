// Package routing compiles the routes of a snapshot into a table that is
// never changed afterwards, and finds the route and destination of a call.
// It reads no clock and draws no random numbers; both are passed in.
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

// DefaultTimeout bounds a call whose route states no timeout.
const DefaultTimeout = 15 * time.Second

// TimeoutOf is how long a call of a route may take in all.
func TimeoutOf(route *resource.Route) time.Duration { return cmp.Or(route.Timeout, DefaultTimeout) }

// DefaultAttempts is the most attempts of a call whose route states none.
const DefaultAttempts = 3

// Query is what a call is matched by.
type Query struct {
	Method string
	// Host is the canonical host, as resource.CanonicalHost returns it.
	Host string
	// Path is the canonical path, as resource.CanonicalPath returns it.
	Path string
	// Header gives the first value of a header; nil means no headers.
	Header func(name string) string
}

// Target is one weighted destination of a compiled route.
type Target struct {
	Service resource.ServiceRef
	// upTo is the running total of the weights including this target.
	upTo uint64
}

// Route is a route prepared for matching. It is immutable.
type Route struct {
	Resource resource.Route
	// Class tells calls of like routes apart from others.
	Class callclass.Class
	// Targets are the destinations in the file's order.
	Targets []Target
	// Timeout bounds the whole call; never 0.
	Timeout time.Duration
	// Attempts is the most attempts of one call; at least 1.
	Attempts int
	// Regions are where calls may run.
	Regions region.Allowed
	// SecretHeader and SecretText are set on the request; empty for none.
	SecretHeader string
	SecretText   resource.SecretValue

	host        string
	totalWeight uint64
}

// Repeatable tells whether running a call with the method twice does no harm:
// as the route states, or else for GET and HEAD only.
func (r *Route) Repeatable(method string) bool {
	if r.Resource.Repeatable != nil {
		return *r.Resource.Repeatable
	}
	return method == "GET" || method == "HEAD"
}

// Pick chooses a destination by weight from a uniform random number.
func (r *Route) Pick(random uint64) resource.ServiceRef {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	point := random % r.totalWeight
	for _, target := range r.Targets {
		if point < target.upTo {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Table finds routes. It is immutable and needs no lock.
type Table struct {
	// exact holds the routes with a path by that path, most specific first.
	exact map[string][]*Route
	// prefixes holds the routes with a prefix by that prefix, most specific
	// first.
	prefixes map[string][]*Route
	// hosts holds the routes of a verbatim table, by host; nil in others.
	hosts map[string]*hostRoutes
	// longest is the length of the longest prefix.
	longest int
	size    int
	// restrictions are those of the routes to each service, each list once.
	restrictions map[resource.ServiceRef][]region.Allowed
}

// Compile builds the table of a snapshot. Routes without destination are left
// out; snapshot.Build has refused them already.
func Compile(held *snapshot.Snapshot) *Table {
	table := &Table{exact: map[string][]*Route{}, prefixes: map[string][]*Route{}}
	for _, route := range held.Routes {
		if compiled := compileRoute(route, held); compiled != nil {
			table.add(compiled)
		}
	}
	for _, routes := range table.exact {
		slices.SortFunc(routes, moreSpecific)
	}
	for _, routes := range table.prefixes {
		slices.SortFunc(routes, moreSpecific)
	}
	return table
}

func compileRoute(route resource.Route, held *snapshot.Snapshot) *Route {
	compiled := &Route{
		Resource: route,
		Class:    callclass.Of(&route),
		Timeout:  TimeoutOf(&route),
		Attempts: cmp.Or(route.RetryAttempts, DefaultAttempts),
		Regions:  region.NewAllowed(route.AllowedRegions),
		host:     canonicalHost(route.Match.Host),
	}
	for _, destination := range route.Split {
		compiled.totalWeight += uint64(max(destination.Weight, 1))
		target := Target{Service: destination.Service, upTo: compiled.totalWeight}
		compiled.Targets = append(compiled.Targets, target)
	}
	if len(compiled.Targets) == 0 {
		return nil
	}
	if route.Secret != nil {
		key := resource.Key{Partner: route.Partner, Kind: resource.KindSecret, Name: route.Secret.Name}
		compiled.SecretHeader = textproto.CanonicalMIMEHeaderKey(route.Secret.Header)
		compiled.SecretText = held.Secrets[key].Value
	}
	return compiled
}

func (t *Table) add(route *Route) {
	t.count(route)
	match := route.Resource.Match
	if match.Path != "" {
		t.exact[match.Path] = append(t.exact[match.Path], route)
		return
	}
	prefix := strings.TrimSuffix(match.PathPrefix, "/")
	t.prefixes[prefix] = append(t.prefixes[prefix], route)
	t.longest = max(t.longest, len(prefix))
}

// count counts a route, and notes its regions if it is restricted to some.
func (t *Table) count(route *Route) {
	t.size++
	if !route.Regions.Restricted() {
		return
	}
	if t.restrictions == nil {
		t.restrictions = map[resource.ServiceRef][]region.Allowed{}
	}
	for _, target := range route.Targets {
		known := t.restrictions[target.Service]
		if !slices.ContainsFunc(known, route.Regions.Equal) {
			t.restrictions[target.Service] = append(known, route.Regions)
		}
	}
}

// Restricts tells whether some route is restricted to regions.
func (t *Table) HasRestrictions() bool {
	return t != nil && len(t.restrictions) > 0 // nil while no version is in force yet
}

// RestrictionsOf are the regions that the routes to a service are restricted to, each list
// once; empty where all of them may run anywhere.
func (t *Table) RestrictionsOf(service resource.ServiceRef) []region.Allowed {
	return t.restrictions[service]
}

// Size returns the number of routes.
func (t *Table) Size() int { return t.size }

// Find returns the most specific route that matches, or nil.
func (t *Table) Find(query Query) *Route {
	if t.hosts != nil {
		return t.findVerbatim(query)
	}
	if route := first(t.exact[query.Path], query); route != nil {
		return route
	}
	prefix := query.Path
	for {
		prefix = strings.TrimSuffix(prefix, "/")
		if len(prefix) <= t.longest {
			if route := first(t.prefixes[prefix], query); route != nil {
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

func first(routes []*Route, query Query) *Route {
	for _, route := range routes {
		if route.matches(query) {
			return route
		}
	}
	return nil
}

func (r *Route) matches(query Query) bool {
	if r.host != "" && r.host != query.Host {
		return false
	}
	methods := r.Resource.Match.Methods
	if len(methods) > 0 && !slices.Contains(methods, query.Method) {
		return false
	}
	for _, wanted := range r.Resource.Match.Headers {
		if query.Header == nil || query.Header(wanted.Name) != wanted.Value {
			return false
		}
	}
	return true
}

// moreSpecific orders routes of the same path: those with a host first, then
// those with more methods and headers given, then by key.
func moreSpecific(a, b *Route) int {
	if (a.host == "") != (b.host == "") {
		if a.host != "" {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(conditions(b), conditions(a)),
		strings.Compare(a.Resource.Name, b.Resource.Name),
		strings.Compare(string(a.Resource.Partner), string(b.Resource.Partner)),
	)
}

func conditions(route *Route) int {
	match := route.Resource.Match
	return len(match.Methods) + len(match.Headers)
}

// canonicalHost is the form that hosts of calls are compared in. A host that
// has none is kept, and matches no call.
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
