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
		counted := &window{}
		var times []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "additions") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "milliseconds")) * time.Millisecond
			counted.add(now, span, retryUnit)
			times = append(times, now)
			truth := int64(0)
			for _, at := range times {
				if at > now-span {
					truth += retryUnit
				}
			}
			check.True(counted.lowerBound(now, span) <= truth)
			check.True(counted.upperBound(now, span) >= truth)
		}
	})
}

// A negative amount reverses one that was added in the same interval.
func TestNegativeAmountReversesAnAddition(t *testing.T) {
	check := is.New(t)
	counted := &window{}
	counted.add(time.Second, 10*time.Second, 3*retryUnit)
	counted.add(time.Second, 10*time.Second, -2*retryUnit)
	check.Equal(counted.upperBound(time.Second, 10*time.Second), int64(retryUnit))
	counted.add(time.Second, 10*time.Second, -5*retryUnit) // never below zero
	check.Equal(counted.upperBound(time.Second, 10*time.Second), int64(0))
}

// takeBack changes only the interval in which the amount was added, also after a later
// interval has reused its slot.
func TestSubtractChangesOnlyItsOwnInterval(t *testing.T) {
	check := is.New(t)
	const span = 10 * time.Second
	var held window
	held.add(0, span, 3)
	held.add(2*time.Second, span, 4)
	held.subtract(0, span, 2)
	check.Equal(held.upperBound(2*time.Second, span), int64(5))
	held.subtract(0, span, 9) // never below zero
	check.Equal(held.upperBound(2*time.Second, span), int64(4))
	held.add(11*time.Second, span, 7) // reuses the first slot
	held.subtract(0, span, 1)
	check.Equal(held.upperBound(11*time.Second, span), int64(11))
}
