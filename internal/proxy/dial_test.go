package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Connecting may take as long as answers of peers do lately, within bounds.
func TestDialTimeoutFollowsRoundTrip(t *testing.T) {
	check := is.New(t)
	roundTrip := time.Duration(0)
	made := newUpstream("127.0.0.1:1", Limits{DialTimeout: 150 * time.Millisecond, DialLimit: 600 * time.Millisecond}, time.Second)
	check.Equal(made.dialTimeout(), 150*time.Millisecond)
	made.roundTrip = func() time.Duration { return roundTrip }
	check.Equal(made.dialTimeout(), 150*time.Millisecond)
	roundTrip = 400 * time.Millisecond
	check.Equal(made.dialTimeout(), 400*time.Millisecond)
	roundTrip = time.Minute
	check.Equal(made.dialTimeout(), 600*time.Millisecond)
}
