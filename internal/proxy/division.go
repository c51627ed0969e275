package proxy

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
)

// VersionSplit divides the calls to one service between the back ends of the target software
// version and those of the other versions, which are stable, by the stage of a roll-out.
type VersionSplit struct {
	Target string
	Stage  rollout.Stage
	// CanaryShare is the fraction of calls that canaries get in the canary stage.
	CanaryShare float64
}

// VersionSplits holds the splits by service. The calls to other services are not divided.
type VersionSplits map[resource.ServiceRef]VersionSplit

// allCanariesDivisor is the reciprocal of the fraction of canary calls that are spread over all
// back ends of the target version, so that each gets some calls. The other canary calls go to a few
// of these back ends, which thus run at full load.
const allCanariesDivisor = 4

// canary sends a share of the calls to the target version. The zero value sends none.
type canary struct {
	share float64
	// fullLoad holds the back ends that get most canary calls: so many that each gets about as
	// many calls as a stable back end. allTargets holds all back ends of the target version.
	fullLoad   *endpoint.Set
	allTargets *endpoint.Set
}

// pool holds the endpoints of a service for calls with the same region restriction, and the
// canaries that get a share of these calls instead. Without a roll-out the set contains all these
// endpoints.
type pool struct {
	set    *endpoint.Set
	canary canary
}

// applySplit sets the endpoints and the canary of the pool according to the stage of a roll-out.
func (s *service) applySplit(split VersionSplit) {
	s.set = s.allEndpoints
	if split.Target == "" {
		return
	}
	targetSet := s.allEndpoints.Filter(func(candidate *endpoint.Endpoint) bool { return candidate.Software == split.Target })
	stableSet := s.allEndpoints.Filter(func(candidate *endpoint.Endpoint) bool { return candidate.Software != split.Target })
	switch split.Stage {
	case rollout.StageHeld:
		if stableSet.UsableCount() > 0 {
			s.set = stableSet
		}
	case rollout.StageCanary:
		if stableSet.UsableCount() > 0 {
			s.set = stableSet
			s.canary = newCanary(targetSet, stableSet.UsableCount(), split.CanaryShare)
		}
	case rollout.StageShift, rollout.StageCompleted:
		if targetSet.UsableCount() > 0 {
			s.set = targetSet
		}
	case rollout.StageHalted, rollout.StageRolledBack:
		s.set = stableSet
	}
}

// newCanary chooses the back ends in fullLoad. All daemons that know the same back ends choose the
// same ones.
func newCanary(targetSet *endpoint.Set, stableCount int, share float64) canary {
	ranked := slices.Clone(targetSet.All)
	slices.SortFunc(ranked, func(a, b *endpoint.Endpoint) int { return rollout.CompareCanaries(a.Backend, b.Backend) })
	ranked = slices.DeleteFunc(ranked, func(candidate *endpoint.Endpoint) bool { return !candidate.State.AcceptsCalls() })
	count := max(1, int(share*float64(stableCount)))
	chosen := ranked[:min(count, len(ranked))]
	return canary{
		share:      share,
		fullLoad:   targetSet.Filter(func(candidate *endpoint.Endpoint) bool { return slices.Contains(chosen, candidate) }),
		allTargets: targetSet,
	}
}

// choose returns a canary for the canary share of the calls, and nil for the other calls. Both draw
// and random must be uniform random numbers.
func (c canary) choose(now time.Duration, draw, random uint64) *endpoint.Endpoint {
	if c.fullLoad == nil || c.fullLoad.UsableCount() == 0 {
		return nil
	}
	point := float64(draw>>11) / (1 << 53) // a float64 has 53 bits of precision
	if point >= c.share {
		return nil
	}
	if point*allCanariesDivisor < c.share {
		return c.allTargets.Choose(now, random, nil)
	}
	return c.fullLoad.Choose(now, random, nil)
}

// SetAnswerCounting starts or stops counting the back end's answers at the gate.
func (p *Proxy) SetAnswerCounting(count bool) {
	if count {
		p.rolloutAnswers.Start()
		return
	}
	p.rolloutAnswers.Stop()
}

// AnswerEvidence returns the back end's answers as counted by the gate, and the number of calls
// that run or wait there.
func (p *Proxy) AnswerEvidence() (evidence rollout.Evidence, outstanding int) {
	if p.gate == nil {
		return nil, 0
	}
	load := p.gate.Load()
	return p.rolloutAnswers.Evidence(), load.Running + load.Queued
}
