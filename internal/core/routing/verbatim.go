package routing

import (
	"strings"

	"github.com/springstack/springstack/internal/core/snapshot"
)

// hostRoutes holds the routes of one host in a verbatim table.
type hostRoutes struct {
	// prefixes maps path prefixes, which end with a slash, to their routes.
	prefixes map[string]*Route
	// longestPrefixLength is the length of the longest key of prefixes.
	longestPrefixLength int
}

// CompileVerbatim builds a table that matches hosts and paths without bringing them
// into canonical form, except that hosts are in lower case. The route with
// the longest matching path prefix wins, and the last of those with equal host and
// prefix. Prefixes end with a slash; a route without a prefix matches no call. All
// conditions of a route other than host and prefix are ignored.
func CompileVerbatim(snap *snapshot.Snapshot) *Table {
	table := &Table{hosts: map[string]*hostRoutes{}}
	for _, route := range snap.Routes {
		compiled := compileRoute(route, snap)
		if compiled == nil {
			continue
		}
		table.recordRoute(compiled)
		host := strings.ToLower(route.Match.Host)
		routes := table.hosts[host]
		if routes == nil {
			routes = &hostRoutes{prefixes: map[string]*Route{}}
			table.hosts[host] = routes
		}
		routes.prefixes[route.Match.PathPrefix] = compiled
		routes.longestPrefixLength = max(routes.longestPrefixLength, len(route.Match.PathPrefix))
	}
	return table
}

func (t *Table) findVerbatim(query Query) *Route {
	routes := t.hosts[query.Host]
	if routes == nil {
		return nil
	}
	path := query.Path[:min(len(query.Path), routes.longestPrefixLength)]
	for {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil
		}
		if route := routes.prefixes[path[:slash+1]]; route != nil {
			return route
		}
		path = path[:slash]
	}
}
