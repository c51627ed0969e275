package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The dial timeout must follow the recent round-trip time, between DialTimeout and DialLimit.
func TestDialTimeoutFollowsRoundTrip(t *testing.T) {
	check := is.New(t)
	roundTrip := time.Duration(0)
	upstream := newUpstream("127.0.0.1:1", Limits{DialTimeout: 150 * time.Millisecond, DialLimit: 600 * time.Millisecond}, time.Second)
	check.Equal(upstream.dialTimeout(), 150*time.Millisecond)
	upstream.roundTrip = func() time.Duration { return roundTrip }
	check.Equal(upstream.dialTimeout(), 150*time.Millisecond)
	roundTrip = 400 * time.Millisecond
	check.Equal(upstream.dialTimeout(), 400*time.Millisecond)
	roundTrip = time.Minute
	check.Equal(upstream.dialTimeout(), 600*time.Millisecond)
}
