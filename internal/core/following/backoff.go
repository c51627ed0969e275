package following

import "time"

// Backoff is a randomized delay between calls to a failing store. Its upper bound
// doubles with each consecutive failure.
type Backoff struct {
	Minimum time.Duration
	Maximum time.Duration
}

// DefaultBackoff returns the production delays. They are long because a refused call
// costs the store as much as an accepted one, and an overloaded store may refuse a third
// of the daemons for ten seconds or more. Refused daemons receive versions from peers
// meanwhile, and once the store has recovered, a daemon is permitted contact_ms (3 s or
// more) to read from it again.
func DefaultBackoff() Backoff {
	return Backoff{Minimum: 100 * time.Millisecond, Maximum: 4 * time.Second}
}

// Delay returns the delay after a number of consecutive failures. random is a uniform
// random number.
func (b Backoff) Delay(failures int, random uint64) time.Duration {
	bound := b.Minimum
	for range failures {
		bound = min(2*bound, b.Maximum)
	}
	return b.Minimum/2 + time.Duration(random%uint64(bound))
}
