package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
)

// versionedSet is a set of back ends of the old and the new version.
func newVersionedSet(old, target int) *endpoint.Set {
	return newVersionedSetFor(endpoint.Locality{}, old, target)
}

// versionedSetIn is the same for a chooser somewhere; the versions have a zone each.
func newVersionedSetFor(self endpoint.Locality, old, target int) *endpoint.Set {
	var members []protocol.Member
	var backends []resource.Backend
	for index := range old + target {
		name := fmt.Sprintf("b%d", index)
		software, zone := "v1", "old"
		if index >= old {
			software, zone = "v2", "new"
		}
		members = append(members, protocol.Member{
			ID: protocol.NodeID(name), Incarnation: 1, State: protocol.MemberAlive, Service: resource.ServiceRef{Name: "app"},
			Backend: name, Endpoint: protocol.EndpointReady, Slots: 6, Software: software, DataAddress: name, Zone: zone,
		})
		backends = append(backends, resource.Backend{Name: name, Service: "app", Slots: 6})
	}
	return endpoint.Build(nil, self, backends, members, 0)
}

// sentTo counts where calls go by version, and at how many back ends of the new one.
func countByVersion(divided *service, calls int) (byVersion map[string]int, targets map[string]int) {
	random := rand.New(rand.NewPCG(1, 2))
	byVersion, targets = map[string]int{}, map[string]int{}
	for range calls {
		chosen := divided.canary.choose(0, random.Uint64(), random.Uint64())
		if chosen == nil {
			chosen = divided.set.Choose(0, random.Uint64(), nil)
		}
		if chosen == nil {
			byVersion["none"]++
			continue
		}
		byVersion[chosen.Software]++
		if chosen.Software == "v2" {
			targets[chosen.Backend]++
		}
	}
	return byVersion, targets
}

func newSplitService(old, target int, stage rollout.Stage) *service {
	made := &service{allEndpoints: newVersionedSet(old, target)}
	made.applySplit(VersionSplit{Target: "v2", Stage: stage, CanaryShare: 0.07})
	return made
}

// Canaries get their share and no more, most of it at as many back ends as it loads like
// the others, and each back end gets some.
func TestCanariesGetTheirShare(t *testing.T) {
	check := is.New(t)
	const calls = 20000
	byVersion, targets := countByVersion(newSplitService(40, 40, rollout.StageCanary), calls)
	check.True(byVersion["v2"] > calls*6/100)
	check.True(byVersion["v2"] < calls*8/100)
	check.Equal(len(targets), 40)
	many := 0
	for _, count := range targets {
		if count > calls*2/100 {
			many++
		}
	}
	check.Equal(many, 2) // 0.07 of 40
}

func TestRolloutStageSelectsVersion(t *testing.T) {
	check := is.New(t)
	for _, given := range []struct {
		stage       rollout.Stage
		old, target int
		wanted      string
	}{
		{rollout.StageHeld, 4, 4, "v1"}, {rollout.StageHeld, 0, 4, "v2"},
		{rollout.StageCanary, 0, 4, "v2"}, {rollout.StageCanary, 4, 0, "v1"},
		{rollout.StageShift, 4, 4, "v2"}, {rollout.StageShift, 4, 0, "v1"},
		{rollout.StageHalted, 4, 4, "v1"}, {rollout.StageHalted, 0, 4, "none"},
		{rollout.StageRolledBack, 4, 4, "v1"}, {rollout.StageRolledBack, 0, 4, "none"},
		{rollout.StageCompleted, 4, 4, "v2"}, {rollout.StageCompleted, 4, 0, "v1"},
	} {
		byVersion, _ := countByVersion(newSplitService(given.old, given.target, given.stage), 100)
		check.Equal(byVersion, map[string]int{given.wanted: 100}) // stage by stage
	}
}

// A service without an order is not divided.
func TestServiceWithoutTargetVersionIsNotSplit(t *testing.T) {
	check := is.New(t)
	made := &service{allEndpoints: newVersionedSet(3, 3)}
	made.applySplit(VersionSplit{})
	check.True(made.set == made.allEndpoints)
	byVersion, _ := countByVersion(made, 600)
	check.True(byVersion["v2"] > 200)
}
