package routing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
)

func TestVerbatimTableMatchesTheLongestPrefixAsSent(t *testing.T) {
	service := resource.ServiceRef{Partner: "p", Name: "s"}
	var routes []resource.Route
	for name, match := range map[string]resource.Match{
		"short": {Host: "a.example", PathPrefix: "/x/"},
		"long":  {Host: "a.example", PathPrefix: "/x/y/"},
		"other": {Host: "B.example", PathPrefix: "/"},
	} {
		routes = append(routes, resource.Route{Partner: "p", Name: name, Match: match,
			Split: []resource.Destination{{Service: service, Weight: 1}}})
	}
	table := CompileVerbatim(&snapshot.Snapshot{Routes: routes})
	for _, given := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/x//y/", "short"},
		{"a.example", "/x/%79/", "short"},
		{"a.example", "/x/../z", "short"},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/1", ""},
		{"a.example", "*", ""},
	} {
		t.Run(given.host+given.path, func(t *testing.T) {
			found := table.Find(Query{Host: given.host, Path: given.path})
			name := ""
			if found != nil {
				name = found.Resource.Name
			}
			is.New(t).Equal(name, given.want)
		})
	}
}
