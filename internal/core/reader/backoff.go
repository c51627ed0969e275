package reader

import (
	"math/rand/v2"
	"time"
)

// Bounds of the full-jitter backoff after a failed platform call.
const (
	backoffBase = 200 * time.Millisecond
	backoffCap  = 10 * time.Second
)

// backoff is an exponential backoff with full jitter: each wait is drawn
// between zero and a limit that doubles with each consecutive failure, so that
// readers that failed at the same time do not retry at the same time.
type backoff struct {
	failures int
	until    time.Duration
}

// recordFailure records a failure at now and draws the next wait.
func (b *backoff) recordFailure(now time.Duration, random *rand.Rand) {
	limit := backoffCap
	if b.failures < 6 {
		limit = min(backoffCap, backoffBase<<b.failures)
	}
	b.failures++
	b.until = now + jitter(random, limit)
}

// reset ends the wait and clears the count of failures.
func (b *backoff) reset() { *b = backoff{} }

// isDue reports whether the wait is over.
func (b *backoff) isDue(now time.Duration) bool { return now >= b.until }

// jitter draws a duration between 1 ns and limit.
func jitter(random *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 1
	}
	return 1 + time.Duration(random.Int64N(int64(limit)))
}
