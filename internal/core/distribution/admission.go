package distribution

import "time"

// Admission limits the bytes of snapshots that a parent starts to send, as a
// token bucket. After a herd restarts, children of a parent are answered in
// turn instead of all at once.
type SendLimiter struct {
	// perSecond is the refill in bytes a second, burst the size of the bucket.
	perSecond int
	burst     int
	tokens    float64
	at        time.Duration
}

// The default limits: a burst of some whole snapshots and a rate that a small
// machine's link carries beside its calls.
const (
	DefaultBytesPerSecond = 8 << 20
	DefaultBurstBytes     = 4 << 20
)

// NewAdmission returns a full bucket.
func NewSendLimiter(perSecond, burst int) *SendLimiter {
	return &SendLimiter{perSecond: perSecond, burst: burst, tokens: float64(burst)}
}

// Admit takes the bytes from the bucket. When they don't fit it takes nothing
// and returns the wait after which they would. A message larger than the
// bucket is admitted when the bucket is full.
func (a *SendLimiter) Admit(now time.Duration, bytes int) (wait time.Duration, admitted bool) {
	a.tokens = min(float64(a.burst), a.tokens+float64(a.perSecond)*(now-a.at).Seconds())
	a.at = now
	needed := min(float64(bytes), float64(a.burst))
	if a.tokens >= needed {
		a.tokens -= needed
		return 0, true
	}
	seconds := (needed - a.tokens) / float64(a.perSecond)
	return time.Duration(seconds * float64(time.Second)), false
}
