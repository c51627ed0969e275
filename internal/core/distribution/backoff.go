package distribution

import (
	"math/rand/v2"
	"time"
)

// Backoff bounds the waits between attempts.
type Backoff struct {
	// Base is the bound of the first wait; it doubles with each failure.
	Base time.Duration
	// Max is the bound of every wait.
	Max time.Duration
}

// Wait returns a wait drawn evenly from (0, bound], called full jitter: after
// a herd dies together, its members come back spread out.
func (b Backoff) Wait(random *rand.Rand, failures int) time.Duration {
	bound := b.Base
	for i := 0; i < failures && bound < b.Max; i++ {
		bound *= 2
	}
	return Jitter(random, min(bound, b.Max))
}

// Jitter returns a time drawn evenly from (0, bound].
func Jitter(random *rand.Rand, bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(bound))) + 1
}
