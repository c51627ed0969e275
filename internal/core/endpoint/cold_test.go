package endpoint

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/warmup"
)

// The lowest and highest classes of calls.
const (
	low    = 0
	urgent = warmup.ClassCount - 1
)

// coldSet returns a set whose first endpoints are cold, with a cold rate.
func coldSet(count, cold int, rate float64) *Set {
	backends, members := fixture(sameZone(count)...)
	for index := range cold {
		members[index].Endpoint = protocol.EndpointWarming
	}
	locality := home
	locality.TrustStates, locality.ColdRate = true, rate
	return Build(nil, locality, backends, members, 0)
}

func TestColdEndpointReceivesItsColdRate(t *testing.T) {
	check := is.New(t)
	const (
		service = 200 * time.Millisecond
		running = 4 // calls at each warm endpoint: 20 per second
		rate    = 4.5
		calls   = 100000
	)
	set := coldSet(10, 1, rate)
	for _, endpoint := range set.All {
		endpoint.ApplyLoadReport(0, LoadReport{Running: running, Service: service, Own: -1})
	}
	counts := countChoices(set, 0, calls)
	wantedRatio := rate / (running / service.Seconds()) // relative to a warm endpoint
	callsPerWarm := float64(calls-counts["b0"]) / 9
	ratio := float64(counts["b0"]) / callsPerWarm
	check.True(ratio > wantedRatio*0.8 && ratio < wantedRatio*1.2)
}

func TestColdEndpointReceivesCallsWithoutLoadReports(t *testing.T) {
	counts := countChoices(coldSet(10, 1, 4.5), 0, 10000)
	is.New(t).True(counts["b0"] > 0 && counts["b0"] < 500)
}

func TestColdRefusalExcludesTheEndpointForItsDuration(t *testing.T) {
	check := is.New(t)
	set := coldSet(2, 2, 4.5)
	set.All[0].RecordStartRefusal(0, time.Second, urgent)
	check.Equal(countChoices(set, time.Second-1, 100)["b0"], 0)
	check.True(countChoices(set, time.Second, 100)["b0"] > 0)
}

func TestNoEndpointIsChosenWhileAllRefuseAsCold(t *testing.T) {
	check := is.New(t)
	set := coldSet(3, 3, 4.5)
	for index, endpoint := range set.All {
		endpoint.RecordStartRefusal(0, time.Duration(index+1)*time.Second, urgent)
	}
	tried := Tried{set.All[0]}
	check.Equal(set.Choose(0, 7, nil), nil)
	check.Equal(set.Choose(0, 7, tried), nil)
	check.Equal(set.ColdWait(0), time.Second)
	check.True(!set.HasUntried(0, tried))
	check.True(set.Choose(time.Second, 7, nil) == set.All[0])
}

func TestUnreachableEndpointIsNotChosenInsteadOfColdOnes(t *testing.T) {
	check := is.New(t)
	set := coldSet(3, 2, 4.5)
	set.All[0].RecordStartRefusal(0, time.Second, urgent)
	set.All[1].RecordStartRefusal(0, time.Second, urgent)
	set.All[2].SetReachable(false)
	check.Equal(set.Choose(0, 7, nil), nil)
	check.Equal(set.ColdWait(0), time.Second)
	check.True(set.Choose(time.Second, 7, nil) != nil)
}

func TestZoneWithColdRefusalsSpillsOver(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(home.Zone, "next")
	set := Build(nil, Locality{Region: home.Region, Zone: home.Zone, ColdRate: 4.5}, backends, members, 0)
	set.All[0].RecordStartRefusal(0, time.Second, urgent)
	check.True(set.Choose(0, rand.Uint64(), nil) == set.All[1])
	check.Equal(set.ColdWait(0), time.Duration(0))
}

func TestColdRefusalDurationIsBounded(t *testing.T) {
	check := is.New(t)
	set := coldSet(1, 1, 4.5)
	set.All[0].RecordStartRefusal(0, 1000*time.Hour, urgent)
	check.True(set.Choose(notAcceptingPeriod, 7, nil) != nil)
	set.All[0].RecordStartRefusal(0, -time.Hour, urgent)
	check.True(set.Choose(0, 7, nil) != nil)
}

func TestShareWithoutAColdRate(t *testing.T) {
	check := is.New(t)
	set := coldSet(2, 1, 0)
	check.Equal(set.All[0].capacityShare(0), initialShare)
	check.Equal(set.All[0].capacityShare(2*warmUpPeriod), maxWarmingShare)
	check.Equal(set.All[1].capacityShare(0), 1.0)
}

func TestChooseColdReturnsAnEndpointThatRefusedALowerClass(t *testing.T) {
	check := is.New(t)
	set := coldSet(2, 2, 4.5)
	set.All[0].RecordStartRefusal(0, time.Second, urgent)
	set.All[1].RecordStartRefusal(0, time.Second, low)
	check.Equal(set.Choose(0, 7, nil), nil)
	check.True(set.ChooseCold(0, 7, nil, urgent) == set.All[1])
	check.Equal(set.ChooseCold(0, 7, nil, low), nil)
	check.Equal(set.ChooseCold(0, 7, Tried{set.All[1]}, urgent), nil)
	set.All[1].RecordStartRefusal(0, time.Second, urgent)
	check.Equal(set.ChooseCold(0, 7, nil, urgent), nil)
}

func TestChooseColdSkipsUnreachableAndRefusingEndpoints(t *testing.T) {
	check := is.New(t)
	set := coldSet(2, 2, 4.5)
	for _, endpoint := range set.All {
		endpoint.RecordStartRefusal(0, time.Second, low)
	}
	set.All[0].SetReachable(false)
	set.All[1].Begin()
	set.All[1].End(0, NotAccepting)
	check.Equal(set.ChooseCold(0, 7, nil, urgent), nil)
}
