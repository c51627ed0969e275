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

// newVersionedSet returns a set of back ends: stableCount of version v1, targetCount of version v2.
func newVersionedSet(stableCount, targetCount int) *endpoint.Set {
	return newVersionedSetFor(endpoint.Locality{}, stableCount, targetCount)
}

// newVersionedSetFor is like newVersionedSet for a choosing daemon with the given locality. The
// back ends of v1 are in zone old, those of v2 in zone new.
func newVersionedSetFor(self endpoint.Locality, stableCount, targetCount int) *endpoint.Set {
	var members []protocol.Member
	var backends []resource.Backend
	for index := range stableCount + targetCount {
		name := fmt.Sprintf("b%d", index)
		software, zone := "v1", "old"
		if index >= stableCount {
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

// countByVersion chooses endpoints for calls to a service and counts the calls by version, and those
// to v2 by back end.
func countByVersion(calledService *service, calls int) (byVersion map[string]int, byTarget map[string]int) {
	random := rand.New(rand.NewPCG(1, 2))
	byVersion, byTarget = map[string]int{}, map[string]int{}
	for range calls {
		chosen := calledService.canary.choose(0, random.Uint64(), random.Uint64())
		if chosen == nil {
			chosen = calledService.set.Choose(0, random.Uint64(), nil)
		}
		if chosen == nil {
			byVersion["none"]++
			continue
		}
		byVersion[chosen.Software]++
		if chosen.Software == "v2" {
			byTarget[chosen.Backend]++
		}
	}
	return byVersion, byTarget
}

// newSplitService returns a service whose calls are split between v1 and the target version v2 in the
// given stage, with a canary share of 7 %.
func newSplitService(stableCount, targetCount int, stage rollout.Stage) *service {
	split := &service{allEndpoints: newVersionedSet(stableCount, targetCount)}
	split.applySplit(VersionSplit{Target: "v2", Stage: stage, CanaryShare: 0.07})
	return split
}

// Canaries must get the canary share of the calls and no more. Most of it must go to a few back ends
// at full load, and each back end of the target version must get some calls.
func TestCanariesGetTheirShare(t *testing.T) {
	check := is.New(t)
	const calls = 20000
	byVersion, byTarget := countByVersion(newSplitService(40, 40, rollout.StageCanary), calls)
	check.True(byVersion["v2"] > calls*6/100)
	check.True(byVersion["v2"] < calls*8/100)
	check.Equal(len(byTarget), 40)
	fullLoadCount := 0
	for _, count := range byTarget {
		if count > calls*2/100 {
			fullLoadCount++
		}
	}
	check.Equal(fullLoadCount, 2) // 0.07 of 40
}

func TestRolloutStageSelectsVersion(t *testing.T) {
	check := is.New(t)
	for _, test := range []struct {
		stage                    rollout.Stage
		stableCount, targetCount int
		wantedVersion            string
	}{
		{rollout.StageHeld, 4, 4, "v1"}, {rollout.StageHeld, 0, 4, "v2"},
		{rollout.StageCanary, 0, 4, "v2"}, {rollout.StageCanary, 4, 0, "v1"},
		{rollout.StageShift, 4, 4, "v2"}, {rollout.StageShift, 4, 0, "v1"},
		{rollout.StageHalted, 4, 4, "v1"}, {rollout.StageHalted, 0, 4, "none"},
		{rollout.StageRolledBack, 4, 4, "v1"}, {rollout.StageRolledBack, 0, 4, "none"},
		{rollout.StageCompleted, 4, 4, "v2"}, {rollout.StageCompleted, 4, 0, "v1"},
	} {
		byVersion, _ := countByVersion(newSplitService(test.stableCount, test.targetCount, test.stage), 100)
		check.Equal(byVersion, map[string]int{test.wantedVersion: 100}) // the version that the stage selects
	}
}

// Without a target version calls must go to the back ends of both versions.
func TestServiceWithoutTargetVersionIsNotSplit(t *testing.T) {
	check := is.New(t)
	unsplit := &service{allEndpoints: newVersionedSet(3, 3)}
	unsplit.applySplit(VersionSplit{})
	check.True(unsplit.set == unsplit.allEndpoints)
	byVersion, _ := countByVersion(unsplit, 600)
	check.True(byVersion["v2"] > 200)
}
