package roundtrip

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTimeoutFollowsRoundTripTimes(t *testing.T) {
	check := is.New(t)
	estimator := &Estimator{}
	check.Equal(estimator.Timeout(), time.Duration(0))
	estimator.Observe(10 * time.Millisecond)
	check.Equal(estimator.Timeout(), 30*time.Millisecond)
	for range 100 {
		estimator.Observe(10 * time.Millisecond)
	}
	check.True(estimator.Timeout() < 12*time.Millisecond)
	for range 4 { // the link becomes slow
		estimator.Observe(200 * time.Millisecond)
	}
	check.True(estimator.Timeout() > 300*time.Millisecond)
	for range 100 {
		estimator.Observe(10 * time.Millisecond)
	}
	check.True(estimator.Timeout() < 20*time.Millisecond)
	estimator.Observe(-time.Second) // the clock was set back
	check.True(estimator.Timeout() >= 0)
}
