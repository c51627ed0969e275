package routing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/region"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// The restrictions of a service are the region lists of its own routes without duplicates.
func TestRestrictionsOfAServiceComeFromItsRoutes(t *testing.T) {
	check := is.New(t)
	service := func(name string) resource.ServiceRef { return resource.ServiceRef{Partner: "k", Name: name} }
	routeTo := func(regions []string, names ...string) resource.Route {
		route := resource.Route{Partner: "k", Match: resource.Match{PathPrefix: "/"}, AllowedRegions: regions}
		for _, name := range names {
			route.Split = append(route.Split, resource.Destination{Service: service(name), Weight: 1})
		}
		return route
	}
	table := Compile(&snapshot.Snapshot{Routes: []resource.Route{
		routeTo([]string{"b", "a"}, "one"), routeTo([]string{"a", "b"}, "one", "two"), routeTo([]string{}, "two"), routeTo(nil, "three"),
	}})
	check.True(table.HasRestrictions())
	check.Equal(table.RestrictionsOf(service("one")), []region.Set{region.NewSet([]string{"a", "b"})})
	check.Equal(table.RestrictionsOf(service("two")), []region.Set{region.NewSet([]string{"a", "b"}), region.NewSet([]string{})})
	check.Equal(len(table.RestrictionsOf(service("three"))), 0)
	check.True(!Compile(&snapshot.Snapshot{Routes: []resource.Route{routeTo(nil, "one")}}).HasRestrictions())
	check.True(!(*Table)(nil).HasRestrictions())
}
