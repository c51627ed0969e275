package following

import "time"

// Backoff is the random pause between calls to a store that fails. Its bound
// doubles with each failure in a row.
type Backoff struct {
	Minimum time.Duration
	Maximum time.Duration
}

// DefaultBackoff returns the pauses for production. A call costs the same whether
// it is refused or not, and a store may refuse a third of the daemons for ten
// seconds and more; peers tell these of versions meanwhile. After the store is back
// a daemon may take contact_ms (3 s and more) to follow it again.
func DefaultBackoff() Backoff {
	return Backoff{Minimum: 100 * time.Millisecond, Maximum: 4 * time.Second}
}

// Pause returns the pause after a number of failures in a row, by a uniform random
// number.
func (b Backoff) Delay(failures int, random uint64) time.Duration {
	bound := b.Minimum
	for range failures {
		bound = min(2*bound, b.Maximum)
	}
	return b.Minimum/2 + time.Duration(random%uint64(bound))
}
