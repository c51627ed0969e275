package distribution

import "time"

// SendLimiter limits the bytes of snapshots that a parent starts to send, by a token
// bucket. After a mass restart, a parent thus answers its children one after another
// instead of all at once.
type SendLimiter struct {
	// perSecond is the refill rate in bytes per second, burst the bucket size in bytes.
	perSecond  int
	burst      int
	tokens     float64
	refilledAt time.Duration
}

// The default limits: a burst of several whole snapshots, and a rate that leaves room
// for calls on the network link of a small machine.
const (
	DefaultBytesPerSecond = 8 << 20
	DefaultBurstBytes     = 4 << 20
)

// NewSendLimiter returns a limiter with a full bucket.
func NewSendLimiter(perSecond, burst int) *SendLimiter {
	return &SendLimiter{perSecond: perSecond, burst: burst, tokens: float64(burst)}
}

// Admit takes the bytes from the bucket. If it holds too few, Admit takes none and
// returns the time until it holds enough. A message larger than the bucket is
// admitted when the bucket is full.
func (l *SendLimiter) Admit(now time.Duration, bytes int) (wait time.Duration, admitted bool) {
	l.tokens = min(float64(l.burst), l.tokens+float64(l.perSecond)*(now-l.refilledAt).Seconds())
	l.refilledAt = now
	needed := min(float64(bytes), float64(l.burst))
	if l.tokens >= needed {
		l.tokens -= needed
		return 0, true
	}
	seconds := (needed - l.tokens) / float64(l.perSecond)
	return time.Duration(seconds * float64(time.Second)), false
}
