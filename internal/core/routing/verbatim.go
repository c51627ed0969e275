package routing

import (
	"strings"

	"github.com/springstack/springstack/internal/core/snapshot"
)

// hostRoutes holds the routes of one host in a verbatim table.
type hostRoutes struct {
	// prefixes maps path prefixes, which end with a slash, to their routes.
	prefixes map[string]*Route
	// longest is the length of the longest prefix.
	longest int
}

// CompileVerbatim builds a table that matches hosts and paths as sent, without
// bringing them into canonical form: the route with the longest matching path
// prefix wins. Prefixes end with a slash. All conditions of a route other than
// host and prefix are ignored.
func CompileVerbatim(held *snapshot.Snapshot) *Table {
	table := &Table{hosts: map[string]*hostRoutes{}}
	for _, route := range held.Routes {
		compiled := compileRoute(route, held)
		if compiled == nil {
			continue
		}
		table.count(compiled)
		host := strings.ToLower(route.Match.Host)
		under := table.hosts[host]
		if under == nil {
			under = &hostRoutes{prefixes: map[string]*Route{}}
			table.hosts[host] = under
		}
		under.prefixes[route.Match.PathPrefix] = compiled
		under.longest = max(under.longest, len(route.Match.PathPrefix))
	}
	return table
}

func (t *Table) findVerbatim(query Query) *Route {
	under := t.hosts[query.Host]
	if under == nil {
		return nil
	}
	path := query.Path[:min(len(query.Path), under.longest)]
	for {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil
		}
		if route := under.prefixes[path[:slash+1]]; route != nil {
			return route
		}
		path = path[:slash]
	}
}
