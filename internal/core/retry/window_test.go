package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The true sum of the last span lies between the two bounds, for any additions.
func TestWindowBoundsEncloseTheTrueSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := is.New(t)
		const span = 10 * time.Second
		sums := &window{}
		var times []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "additions") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "milliseconds")) * time.Millisecond
			sums.add(now, span, retryUnit)
			times = append(times, now)
			truth := int64(0)
			for _, at := range times {
				if at > now-span {
					truth += retryUnit
				}
			}
			check.True(sums.lowerBound(now, span) <= truth)
			check.True(sums.upperBound(now, span) >= truth)
		}
	})
}

// A negative amount reverses one that was added in the same interval.
func TestNegativeAmountReversesAnAddition(t *testing.T) {
	check := is.New(t)
	sums := &window{}
	sums.add(time.Second, 10*time.Second, 3*retryUnit)
	sums.add(time.Second, 10*time.Second, -2*retryUnit)
	check.Equal(sums.upperBound(time.Second, 10*time.Second), int64(retryUnit))
	sums.add(time.Second, 10*time.Second, -5*retryUnit) // never below zero
	check.Equal(sums.upperBound(time.Second, 10*time.Second), int64(0))
}

// subtract changes only the interval in which the amount was added, also after a later
// interval has reused its slot.
func TestSubtractChangesOnlyItsOwnInterval(t *testing.T) {
	check := is.New(t)
	const span = 10 * time.Second
	var sums window
	sums.add(0, span, 3)
	sums.add(2*time.Second, span, 4)
	sums.subtract(0, span, 2)
	check.Equal(sums.upperBound(2*time.Second, span), int64(5))
	sums.subtract(0, span, 9) // never below zero
	check.Equal(sums.upperBound(2*time.Second, span), int64(4))
	sums.add(11*time.Second, span, 7) // reuses the first slot
	sums.subtract(0, span, 1)
	check.Equal(sums.upperBound(11*time.Second, span), int64(11))
}
