package endpoint

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// statedSet returns a set whose first endpoint states a call rate.
func statedSet(count int, perSecond float64) *Set {
	backends, members := fixture(sameZone(count)...)
	members[0].CallRate = perSecond
	locality := home
	locality.TrustStates = true
	return Build(nil, locality, backends, members, 0)
}

// Guards against a back end in need that gets the calls of its peers, or none at all.
func TestEndpointThatStatesARateIsOfferedThatRate(t *testing.T) {
	for _, service := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond} {
		check := is.New(t)
		const (
			running = 4 // calls at each other endpoint
			rate    = 5.3
			calls   = 100000
		)
		set := statedSet(10, rate)
		check.True(set.StatesCallRate())
		for _, endpoint := range set.All[1:] {
			endpoint.ApplyLoadReport(0, LoadReport{Running: running, Service: service, Own: -1})
		}
		set.All[0].ApplyLoadReport(0, LoadReport{Service: service, Own: -1})
		counts := countChoices(set, 0, calls)
		wantedRatio := statedRateOffer * rate / (running / service.Seconds()) // relative to another endpoint
		ratio := float64(counts["b0"]) / (float64(calls-counts["b0"]) / 9)
		check.True(ratio > wantedRatio*0.8 && ratio < wantedRatio*1.2)
	}
}

func TestTheLowerOfColdRateAndStatedRateApplies(t *testing.T) {
	check := is.New(t)
	set := coldSet(1, 1, 4.5)
	check.Equal(set.All[0].limit(), 4.5)
	set.All[0].CallRate = 2
	check.Equal(set.All[0].limit(), 2.0)
	set.All[0].CallRate = 20
	check.Equal(set.All[0].limit(), 4.5)
}

func TestLargeBodiesGoToNoLimitedEndpointOfTheOwnDaemon(t *testing.T) {
	check := is.New(t)
	set := statedSet(1, 5)
	check.Equal(set.ChooseOnNode(0, set.All[0].Node, nil), nil)
}
