package distribution

import (
	"math/rand/v2"
	"time"
)

// Backoff is an exponential backoff with full jitter.
type Backoff struct {
	// Base is the upper bound of the first wait; the bound doubles with each failure.
	Base time.Duration
	// Max is the upper bound of every wait.
	Max time.Duration
}

// Wait returns the wait before the next attempt, drawn uniformly from (0, bound]. The
// full jitter spreads the attempts of daemons that failed at the same time.
func (b Backoff) Wait(random *rand.Rand, failures int) time.Duration {
	bound := b.Base
	for i := 0; i < failures && bound < b.Max; i++ {
		bound *= 2
	}
	return Jitter(random, min(bound, b.Max))
}

// Jitter returns a duration drawn uniformly from (0, bound]; 0 if bound is not positive.
func Jitter(random *rand.Rand, bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(bound))) + 1
}
