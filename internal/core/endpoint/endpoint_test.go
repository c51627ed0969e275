package endpoint

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

var home = Locality{Region: "windhoek", Zone: "eros-hall"}

// fixture returns back ends b0, b1, ... and their member records, one for each zone
// listed.
func fixture(zones ...string) ([]resource.Backend, []protocol.Member) {
	var backends []resource.Backend
	var members []protocol.Member
	for index, zone := range zones {
		name := fmt.Sprintf("b%d", index)
		backends = append(backends, resource.Backend{
			Partner: "k", Name: name, Service: "plans", Address: "127.0.0.1:1",
			Region: home.Region, Zone: zone, Slots: 6,
		})
		members = append(members, protocol.Member{
			ID: protocol.NodeID(name), Incarnation: 1, Sequence: 1, State: protocol.MemberAlive,
			DataAddress: "127.0.0.1:2", Region: home.Region, Zone: zone, Slots: 6,
			Service:  resource.ServiceRef{Partner: "k", Name: "plans"},
			Backend:  name,
			Endpoint: protocol.EndpointReady,
		})
	}
	return backends, members
}

func sameZone(count int) (zones []string) {
	for range count {
		zones = append(zones, home.Zone)
	}
	return zones
}

// countChoices counts the choices by back end over a number of calls, without calls in flight.
func countChoices(set *Set, now time.Duration, calls int) map[string]int {
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range calls {
		chosen := set.Choose(now, random.Uint64(), nil)
		counts[chosen.Backend]++
	}
	return counts
}

func TestStateIsTakenFromTheMemberRecord(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(5)...)
	members[0].Endpoint = protocol.EndpointDraining
	members[1].State = protocol.MemberDead
	members[2].State = protocol.MemberLeft
	members[3].Endpoint = protocol.EndpointDown
	set := Build(nil, home, backends, members, 0)
	check.Equal(countChoices(set, 0, 50), map[string]int{"b4": 50})
	restarted := members[1]
	restarted.Incarnation = 2
	restarted.State = protocol.MemberAlive
	set = Build(set, home, backends, append(members, restarted), 0)
	check.Equal(set.UsableCount(), 2)                                // the newer incarnation counts
	check.Equal(Build(nil, home, backends, nil, 0).UsableCount(), 5) // no records yet
}

func TestOwnCallsCountWithoutLoadReports(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(3)...)
	set := Build(nil, home, backends, members, 0)
	random := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		chosen := set.Choose(0, random.Uint64(), nil)
		chosen.Begin()
		if chosen.Backend == "b0" {
			chosen.ApplyLoadReport(0, LoadReport{Own: -1}) // always reports zero load
		} else {
			chosen.ApplyLoadReport(0, LoadReport{Running: chosen.Outstanding(), Own: -1})
		}
	}
	for _, endpoint := range set.All {
		check.True(endpoint.Outstanding() > 80 && endpoint.Outstanding() < 120)
	}
}

func TestReportedLoadOfOtherCallersExpires(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(2)...)
	set := Build(nil, home, backends, members, 0)
	set.All[0].ApplyLoadReport(0, LoadReport{Running: 6, Queued: 3, Own: -1})
	check.Equal(countChoices(set, 0, 100)["b0"], 0)
	check.True(countChoices(set, reportLifetime, 100)["b0"] > 20)
	set.All[1].ApplyLoadReport(reportLifetime, LoadReport{Own: 1e9}) // a false report adds at most the slots
	check.True(set.All[1].load(reportLifetime) < 1.2)
}

func TestSlowEndpointGetsFewerCalls(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(2)...)
	set := Build(nil, home, backends, members, 0)
	set.All[0].ApplyLoadReport(0, LoadReport{Own: -1, Service: 30 * time.Millisecond})
	set.All[1].ApplyLoadReport(0, LoadReport{Own: -1, Service: 10 * time.Millisecond})
	random := rand.New(rand.NewPCG(9, 9))
	for range 40 {
		set.Choose(0, random.Uint64(), nil).Begin()
	}
	check.Equal(set.All[0].Outstanding(), 10)
}

// A call queues only when all slots are occupied: until then the faster endpoint is
// preferred, and of two equally fast ones the less loaded.
func TestFasterEndpointIsPreferredWhileItHasFreeSlots(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(2)...)
	set := Build(nil, home, backends, members, 0)
	set.All[0].ApplyLoadReport(0, LoadReport{Own: -1, Service: 20 * time.Millisecond})
	set.All[1].ApplyLoadReport(0, LoadReport{Own: -1, Service: 10 * time.Millisecond})
	random := rand.New(rand.NewPCG(9, 9))
	for range 6 {
		set.Choose(0, random.Uint64(), nil).Begin()
	}
	check.Equal(set.All[1].Outstanding(), 6)
	set.All[0].ApplyLoadReport(0, LoadReport{Own: -1, Service: 10 * time.Millisecond})
	check.Equal(countChoices(set, 0, 50), map[string]int{"b0": 50})
}

func TestOverloadedEndpointIsAvoided(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(home.Zone, "olympia-hall")
	set := Build(nil, home, backends, members, 0)
	for range 20 {
		set.All[1].Begin() // busy, but accepting calls
	}
	set.All[0].Begin()
	set.All[0].End(0, Overloaded)
	check.Equal(countChoices(set, 0, 50), map[string]int{"b1": 50})
	check.Equal(countChoices(set, overloadPeriod, 50), map[string]int{"b0": 50})
	check.Equal(set.Choose(0, 0, Tried{set.All[1]}).Backend, "b0") // the only one left
}

func TestZoneSpillsOverBeforeItOverloads(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(home.Zone, "olympia-hall", "ludwigs-hall")
	set := Build(nil, home, backends, members, 0)
	check.Equal(countChoices(set, 0, 50), map[string]int{"b0": 50})
	random := rand.New(rand.NewPCG(5, 6))
	for range 18 {
		set.Choose(0, random.Uint64(), nil).Begin()
	}
	for _, endpoint := range set.All {
		check.True(endpoint.Outstanding() >= 4 && endpoint.Outstanding() <= 8)
	}
}

func TestEjectionExpiresAndHasAFloor(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(4)...)
	set := Build(nil, home, backends, members, 0)
	fail := func(index int, outcome Outcome) {
		set.All[index].Begin()
		set.All[index].End(0, outcome)
	}
	fail(0, Unreachable)
	check.Equal(countChoices(set, 0, 100)["b0"], 0)
	check.True(countChoices(set, firstEjection, 100)["b0"] > 10) // tried again
	fail(1, Unreachable)
	check.Equal(len(countChoices(set, 0, 100)), 2)
	fail(2, Unreachable)
	check.Equal(len(countChoices(set, 0, 200)), 4) // below the floor ejections are ignored
}

func TestRefusingEndpointIsAvoidedUntilANewerRecord(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(2)...)
	set := Build(nil, home, backends, members, 0)
	set.All[0].Begin()
	set.All[0].End(0, NotAccepting)
	check.Equal(countChoices(set, 0, 50)["b0"], 0)
	set = Build(set, home, backends, members, 0)
	check.Equal(countChoices(set, 0, 50)["b0"], 0) // the record is unchanged
	members[0].Sequence++
	set = Build(set, home, backends, members, 0)
	check.True(countChoices(set, 0, 50)["b0"] > 10)
}

func TestShareOfANewEndpointRises(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(2)...)
	set := Build(nil, home, backends, members, 0)
	members[0].Incarnation++
	set = Build(set, home, backends, members, 0)
	random := rand.New(rand.NewPCG(7, 8))
	for range 12 {
		set.Choose(0, random.Uint64(), nil).Begin()
	}
	check.True(set.All[0].Outstanding() <= 2)
	check.True(set.All[0].capacityShare(warmUpPeriod) == 1)
}

func TestTriedEndpointsAreChosenLast(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(2)...)
	set := Build(nil, home, backends, members, 0)
	check.Equal(set.Choose(0, 0, Tried{set.All[0]}).Backend, "b1")
	rebuilt := Build(set, home, backends, members, 0)
	check.Equal(rebuilt.Choose(0, 0, Tried{set.All[0]}).Backend, "b1")
	check.True(!set.HasUntried(0, set.All))
	check.True(set.Choose(0, 0, set.All) != nil) // all tried: one is tried again
	check.True(Build(nil, home, nil, nil, 0).Choose(0, 0, nil) == nil)
}

func TestRequestKeysKeepTheirEndpoint(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(7)...)
	set := Build(nil, home, backends, members, 0)
	moved := 0
	seen := map[string]bool{}
	members[3].Endpoint = protocol.EndpointDraining
	setWithoutB3 := Build(set, home, backends, members, 0)
	for key := range uint64(700) {
		before := set.ChooseByRequestKey(0, key*0x9e3779b97f4a7c15, nil).Backend
		after := setWithoutB3.ChooseByRequestKey(0, key*0x9e3779b97f4a7c15, nil).Backend
		seen[before] = true
		if before != after {
			moved++
			check.Equal(before, "b3")
		}
	}
	check.Equal(len(seen), 7)
	check.True(moved > 50 && moved < 150)
}

func benchmarkChoose(b *testing.B, count int) {
	backends, members := fixture(sameZone(count)...)
	set := Build(nil, home, backends, members, 0)
	b.ReportAllocs()
	b.RunParallel(func(parallel *testing.PB) {
		random := rand.New(rand.NewPCG(9, rand.Uint64()))
		for parallel.Next() {
			chosen := set.Choose(time.Second, random.Uint64(), nil)
			chosen.Begin()
			chosen.End(time.Second, Succeeded)
		}
	})
}

// BenchmarkChoose measures Choose, Begin and End, which write one counter of the chosen
// endpoint.
func BenchmarkChoose(b *testing.B) { benchmarkChoose(b, 7) }

func BenchmarkChooseOf100(b *testing.B) { benchmarkChoose(b, 100) }

// BenchmarkChooseOnly measures Choose alone, which writes nothing.
func BenchmarkChooseOnly(b *testing.B) {
	backends, members := fixture(sameZone(7)...)
	set := Build(nil, home, backends, members, 0)
	b.ReportAllocs()
	b.RunParallel(func(parallel *testing.PB) {
		random := rand.New(rand.NewPCG(9, rand.Uint64()))
		for parallel.Next() {
			set.Choose(time.Second, random.Uint64(), nil)
		}
	})
}

func TestDegradedEndpointsAreALastResort(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(4)...)
	members[0].Endpoint = protocol.EndpointDegraded
	set := Build(nil, home, backends, members, 0)
	counts := countChoices(set, time.Hour, 300)
	check.Equal(counts["b0"], 0)
	check.Equal(len(counts), 3)

	tried := Tried{set.All[1], set.All[2], set.All[3]}
	check.Equal(set.Choose(time.Hour, 1, tried).Backend, "b0") // the only one untried
}

func TestWidespreadDegradationIsIgnored(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(6)...)
	for index := range 3 {
		members[index].Endpoint = protocol.EndpointDegraded
	}
	set := Build(nil, home, backends, members, 0)
	check.Equal(len(countChoices(set, time.Hour, 600)), 6)
	set.All[5].Begin()
	set.All[5].End(time.Hour, Unreachable) // this process's own ejections still apply
	check.Equal(len(countChoices(set, time.Hour, 600)), 5)
}

// An endpoint that has just refused a call for load is not expected to accept
// another call.
func TestOverloadedEndpointDoesNotCountAsAlternative(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(2)...)
	set := Build(nil, home, backends, members, 0)
	tried := Tried{set.All[0]}
	check.True(set.HasUntriedWithCapacity(0, tried))
	set.All[1].Begin()
	set.All[1].End(0, Overloaded)
	check.True(!set.HasUntriedWithCapacity(0, tried))
	check.True(set.HasUntried(0, tried))
	check.True(set.HasUntriedWithCapacity(overloadPeriod, tried))
}

// Endpoints with outdated load reports receive calls roughly in proportion to their speed.
// The fastest does not receive every call for which it is drawn.
func TestOutdatedLoadReportsGiveCallsInProportionToSpeed(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(30)...)
	set := Build(nil, home, backends, members, 0)
	speeds := []float64{0.6, 1.0, 1.4}
	for index, endpoint := range set.All {
		service := time.Duration(float64(100*time.Millisecond) / speeds[index%len(speeds)])
		endpoint.ApplyLoadReport(0, LoadReport{Running: 1, Own: -1, Service: service})
	}
	const calls = 60_000
	counts := countChoices(set, time.Minute, calls)
	shares := make([]float64, len(speeds))
	for index, endpoint := range set.All {
		shares[index%len(speeds)] += float64(counts[endpoint.Backend]) * float64(len(speeds)) / calls
	}
	for index, share := range shares {
		check.True(share > 0.9*speeds[index])
		check.True(share < 1.1*speeds[index])
	}
}

// Failures before a back end's restart do not count after it.
func TestRestartResetsFailures(t *testing.T) {
	check := is.New(t)
	locality := home
	locality.TrustStates = true
	backends, members := fixture(sameZone(4)...)
	members[0].Born = 100
	set := Build(nil, locality, backends, members, 0)
	set.All[0].Begin()
	set.All[0].End(0, Unreachable)
	check.Equal(countChoices(set, 0, 100)["b0"], 0)
	set = Build(set, locality, backends, members, 0)
	check.Equal(countChoices(set, 0, 100)["b0"], 0) // the back end has not restarted
	members[0].Born = 200
	set = Build(set, locality, backends, members, 0)
	check.True(countChoices(set, 0, 100)["b0"] > 10)
}

// If the records of two daemons name the same back end, the one with the later start is used.
func TestRecordWithTheLaterStartIsUsed(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(home.Zone)
	moved := members[0]
	moved.ID, moved.DataAddress, moved.Born = "other", "127.0.0.1:3", 200
	members[0].Born, members[0].Incarnation = 100, 9
	check.Equal(Build(nil, home, backends, append(members, moved), 0).All[0].Address, moved.DataAddress)
}
