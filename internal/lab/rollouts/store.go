package rollouts

import (
	"math/rand/v2"
	"time"

	"github.com/springstack/springstack/internal/core/rollout"
)

// store holds the one order's status, with compare-and-set by revision.
type store struct {
	random   *rand.Rand
	revision uint64
	stage    rollout.Stage
	outcome  rollout.Stage
	// downFrom and downUntil bound a time without answers; losing is the share of
	// writes whose answers are lost.
	downFrom  time.Duration
	downUntil time.Duration
	losing    float64
	// refused is the decider that the store turns away; -1 for none.
	refused int
	// replaced counts outcomes that came after another one; it must stay 0.
	replaced int
	calls    int
}

func (s *store) answers(now time.Duration, decider int) bool {
	s.calls++
	return decider != s.refused && (now < s.downFrom || now >= s.downUntil)
}

// write writes a stage over a revision, and tells whether its writer knows that.
func (s *store) write(now time.Duration, decider int, over uint64, stage rollout.Stage) (known bool) {
	if !s.answers(now, decider) || over != s.revision {
		return false
	}
	if s.outcome.Final() && stage != s.outcome {
		s.replaced++
	}
	s.revision++
	s.stage = stage
	if stage.Final() {
		s.outcome = stage
	}
	return s.random.Float64() >= s.losing
}
