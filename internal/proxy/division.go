package proxy

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
)

// Split says how the back ends of one service are divided: those of the target version
// get what the stage allows.
type VersionSplit struct {
	Target string
	Stage  rollout.Stage
	// CanaryShare is the share of calls that canaries get.
	CanaryShare float64
}

// Splits are the divisions of services; those not named are not divided.
type VersionSplits map[resource.ServiceRef]VersionSplit

// sampledPart divides the calls of canaries: one part goes to any back end of the
// target version, so that each is seen to work, the others to a few at full load.
const allCanariesDivisor = 4

// canary is the share of calls that a target version gets, and where. The zero value
// is none.
type canary struct {
	share float64
	// few are as many back ends as the share loads like the stable ones; every one is
	// all of the target version.
	fullLoad   *endpoint.Set
	allTargets *endpoint.Set
}

// pool is where calls go in general, and the canaries that a share of them goes to instead.
// The set is that of all endpoints while no roll-out divides them.
type pool struct {
	set    *endpoint.Set
	canary canary
}

// divide sets which endpoints calls go to by the stage of a roll-out.
func (s *service) applySplit(split VersionSplit) {
	s.set = s.allEndpoints
	if split.Target == "" {
		return
	}
	target := s.allEndpoints.Filter(func(one *endpoint.Endpoint) bool { return one.Software == split.Target })
	stable := s.allEndpoints.Filter(func(one *endpoint.Endpoint) bool { return one.Software != split.Target })
	switch split.Stage {
	case rollout.StageHeld:
		if stable.UsableCount() > 0 {
			s.set = stable
		}
	case rollout.StageCanary:
		if stable.UsableCount() > 0 {
			s.set = stable
			s.canary = newCanary(target, stable.UsableCount(), split.CanaryShare)
		}
	case rollout.StageShift, rollout.StageCompleted:
		if target.UsableCount() > 0 {
			s.set = target
		}
	case rollout.StageHalted, rollout.StageRolledBack:
		s.set = stable
	}
}

// newCanary chooses the canaries, the same on all daemons that know the same back ends.
func newCanary(target *endpoint.Set, stable int, share float64) canary {
	ranked := slices.Clone(target.All)
	slices.SortFunc(ranked, func(a, b *endpoint.Endpoint) int { return rollout.CompareCanaries(a.Backend, b.Backend) })
	ranked = slices.DeleteFunc(ranked, func(one *endpoint.Endpoint) bool { return !one.State.AcceptsCalls() })
	count := max(1, int(share*float64(stable)))
	chosen := ranked[:min(count, len(ranked))]
	return canary{
		share:      share,
		fullLoad:   target.Filter(func(one *endpoint.Endpoint) bool { return slices.Contains(chosen, one) }),
		allTargets: target,
	}
}

// choose picks a canary for a share of the calls, and nil for the others. Both numbers
// are uniform random ones.
func (c canary) choose(now time.Duration, draw, random uint64) *endpoint.Endpoint {
	if c.fullLoad == nil || c.fullLoad.UsableCount() == 0 {
		return nil
	}
	point := float64(draw>>11) / (1 << 53) // 53 bits are a float64's fraction
	if point >= c.share {
		return nil
	}
	if point*allCanariesDivisor < c.share {
		return c.allTargets.Choose(now, random, nil)
	}
	return c.fullLoad.Choose(now, random, nil)
}

// CountAnswers has the gate count the answers of its back end, or ends that.
func (p *Proxy) SetAnswerCounting(count bool) {
	if count {
		p.rolloutAnswers.Start()
		return
	}
	p.rolloutAnswers.Stop()
}

// Answers is what the gate has counted, and the calls that run or wait there.
func (p *Proxy) AnswerEvidence() (evidence rollout.Evidence, outstanding int) {
	if p.gate == nil {
		return nil, 0
	}
	load := p.gate.Load()
	return p.rolloutAnswers.Evidence(), load.Running + load.Queued
}
