package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
)

func route(name string, match resource.Match) resource.Route {
	return resource.Route{
		Partner: "k", Name: name, Match: match,
		Split: []resource.Destination{{Service: resource.ServiceRef{Partner: "k", Name: name}, Weight: 1}},
	}
}

func TestMostSpecificRouteWins(t *testing.T) {
	table := Compile(&snapshot.Snapshot{Routes: []resource.Route{
		route("all", resource.Match{PathPrefix: "/"}),
		route("plans", resource.Match{PathPrefix: "/plans"}),
		route("plans-deep", resource.Match{PathPrefix: "/plans/hotel/"}),
		route("exact", resource.Match{Path: "/plans/hotel"}),
		route("host", resource.Match{Host: "Roast.example", PathPrefix: "/plans"}),
		route("post", resource.Match{PathPrefix: "/plans", Methods: []string{"POST"}}),
		route("beta", resource.Match{
			PathPrefix: "/plans", Methods: []string{"POST"},
			Headers: []resource.HeaderMatch{{Name: "X-Beta", Value: "1"}},
		}),
	}})
	cases := []struct{ method, host, path, beta, want string }{
		{"GET", "any", "/", "", "all"},
		{"GET", "any", "/planshop", "", "all"}, // a prefix matches whole segments only
		{"GET", "any", "/plans", "", "plans"},
		{"GET", "any", "/plans/", "", "plans"},
		{"GET", "any", "/plans/7/8", "", "plans"},
		{"GET", "any", "/plans/hotel", "", "exact"},
		{"GET", "any", "/plans/hotel/7", "", "plans-deep"},
		{"GET", "roast.example", "/plans/7", "", "host"},
		{"GET", "roast.example", "/plans/hotel", "", "exact"}, // an exact path takes precedence over a host
		{"POST", "any", "/plans/7", "", "post"},
		{"POST", "any", "/plans/7", "1", "beta"},
	}
	for _, given := range cases {
		t.Run(given.method+given.host+given.path+given.beta, func(t *testing.T) {
			header := func(string) string { return given.beta }
			found := table.Find(Query{Method: given.method, Host: given.host, Path: given.path, Header: header})
			is.New(t).Equal(found.Resource.Name, given.want)
		})
	}
	is.New(t).True(Compile(&snapshot.Snapshot{}).Find(Query{Path: "/"}) == nil)
}

func TestSplitFollowsWeights(t *testing.T) {
	check := is.New(t)
	split := route("split", resource.Match{Path: "/"})
	split.Split = append(split.Split, resource.Destination{Service: resource.ServiceRef{Name: "other"}, Weight: 3})
	compiled := Compile(&snapshot.Snapshot{Routes: []resource.Route{split}}).Find(Query{Path: "/"})
	counts := map[string]int{}
	for random := range uint64(400) {
		counts[compiled.Pick(random).Name]++
	}
	check.Equal(counts, map[string]int{"split": 100, "other": 300})
}

func TestCompiledRouteHasDefaultsAndSecret(t *testing.T) {
	check := is.New(t)
	given := route("plans", resource.Match{Path: "/"})
	given.Secret = &resource.SecretUse{Name: "key", Header: "x-plan-key"}
	key := resource.Key{Partner: "k", Kind: resource.KindSecret, Name: "key"}
	snap := &snapshot.Snapshot{
		Routes:  []resource.Route{given},
		Secrets: map[resource.Key]resource.Secret{key: {Value: "text"}},
	}
	compiled := Compile(snap).Find(Query{Path: "/"})
	check.Equal(compiled.Timeout, 15*time.Second)
	check.Equal(compiled.Attempts, DefaultAttempts)
	check.Equal(compiled.SecretHeader, "X-Plan-Key")
	check.Equal(compiled.SecretText.Reveal(), "text")
	check.True(compiled.Repeatable("HEAD"))
	check.True(!compiled.Repeatable("PUT"))
	notRepeatable := false
	compiled.Resource.Repeatable = &notRepeatable
	check.True(!compiled.Repeatable("GET"))
}

func BenchmarkFind(b *testing.B) {
	var routes []resource.Route
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		routes = append(routes, route(name, resource.Match{PathPrefix: "/" + name}))
	}
	table := Compile(&snapshot.Snapshot{Routes: routes})
	query := Query{Method: "GET", Host: "any", Path: "/h/orders/17"}
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			if table.Find(query) == nil {
				b.Fail()
			}
		}
	})
}
