package endpoint

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/core/position"
	"github.com/springstack/springstack/internal/core/protocol"
)

// homeWithEvacuated returns the home locality with zones evacuated.
func homeWithEvacuated(zones ...string) Locality {
	self := home
	self.Evacuations = evacuation.NewOrders(position.Position{Revision: 1}, zones)
	return self
}

// None of the choosing methods returns an endpoint of an evacuated zone.
func TestEvacuatedZoneIsNotChosen(t *testing.T) {
	backends, members := fixture(home.Zone, home.Zone, "other", "other")
	set := Build(nil, homeWithEvacuated(home.Zone), backends, members, 0)
	inHomeZone := func(endpoint *Endpoint) bool { return endpoint != nil && endpoint.Zone == home.Zone }
	for name, choose := range map[string]func(uint64, Tried) *Endpoint{
		"by load": func(random uint64, tried Tried) *Endpoint { return set.Choose(0, random, tried) },
		"keyed":   func(random uint64, tried Tried) *Endpoint { return set.ChooseByRequestKey(0, random, tried) },
		"ranked":  func(random uint64, tried Tried) *Endpoint { return set.ChooseByContentHash(0, random, tried) },
		"of a version": func(random uint64, tried Tried) *Endpoint {
			return set.Filter(func(*Endpoint) bool { return true }).Choose(0, random, tried)
		},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			for random := range uint64(40) {
				first := choose(random*0x9e3779b97f4a7c15, nil)
				check.True(first != nil)
				check.True(!inHomeZone(first))
				check.True(!inHomeZone(choose(random, Tried{first}))) // nor for a retry or hedge
			}
			check.True(!set.HasUntried(0, Tried{set.All[2], set.All[3]}))
		})
	}
}

func TestServiceWithOnlyEvacuatedZonesIsBlocked(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(home.Zone, "other")
	check.True(!Build(nil, homeWithEvacuated(home.Zone), backends, members, 0).BlockedByEvacuation())
	set := Build(nil, homeWithEvacuated(home.Zone, "other"), backends, members, 0)
	check.True(set.BlockedByEvacuation())
	check.Equal(set.Choose(0, 1, nil), nil)
	check.True(!Build(nil, homeWithEvacuated(home.Zone), nil, nil, 0).BlockedByEvacuation()) // no endpoints at all
}

// The evacuated state in the member record applies even before the calling daemon has
// received the evacuation order.
func TestEvacuatedStateInTheRecordApplies(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(home.Zone, "other")
	members[0].Endpoint = protocol.EndpointEvacuated
	set := Build(nil, home, backends, members, 0)
	check.Equal(countChoices(set, 0, 50), map[string]int{"b1": 50})
	members[0].Endpoint = protocol.EndpointReady
	members[0].Sequence++
	check.Equal(Build(set, home, backends, members, 0).UsableCount(), 2)
}

// A gate's refusal of new calls counts only until its next member record.
func TestRefusalOfCallsEndsWithANewerRecord(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(home.Zone, "other")
	set := Build(nil, home, backends, members, 0)
	refusingEndpoint := set.All[0]
	refusingEndpoint.Begin()
	refusingEndpoint.End(0, NotAccepting)
	check.Equal(countChoices(set, time.Second, 50), map[string]int{"b1": 50})
	members[0].Sequence++
	set = Build(set, home, backends, members, time.Second)
	check.True(countChoices(set, time.Second, 50)["b0"] > 0)
}

func TestDrainingEndpointStaysUnusableWhenItsZoneResumes(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(home.Zone, "other")
	members[0].Endpoint = protocol.EndpointDraining
	set := Build(nil, homeWithEvacuated(home.Zone), backends, members, 0)
	check.Equal(set.All[0].State, protocol.EndpointDraining)
	check.Equal(Build(set, home, backends, members, 0).UsableCount(), 1)
}
