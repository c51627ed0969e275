package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Whatever is added when, the true sum of the last span lies between the two bounds.
func TestAWindowsBoundsHoldTheTrueSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := is.New(t)
		const span = 10 * time.Second
		counted := &window{}
		var times []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "additions") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "milliseconds")) * time.Millisecond
			counted.add(now, span, unit)
			times = append(times, now)
			truth := int64(0)
			for _, at := range times {
				if at > now-span {
					truth += unit
				}
			}
			check.True(counted.lowerBound(now, span) <= truth)
			check.True(counted.upperBound(now, span) >= truth)
		}
	})
}

// What is given back in the same part is gone.
func TestAnAmountCanBeTakenBack(t *testing.T) {
	check := is.New(t)
	counted := &window{}
	counted.add(time.Second, 10*time.Second, 3*unit)
	counted.add(time.Second, 10*time.Second, -2*unit)
	check.Equal(counted.upperBound(time.Second, 10*time.Second), int64(unit))
	counted.add(time.Second, 10*time.Second, -5*unit) // never below nothing
	check.Equal(counted.upperBound(time.Second, 10*time.Second), int64(0))
}

// What is taken back leaves the part that it was added in, and no other one, also when a
// later part has taken its place.
func TestTakingBackTouchesItsOwnPartOnly(t *testing.T) {
	check := is.New(t)
	const span = 10 * time.Second
	var held window
	held.add(0, span, 3)
	held.add(2*time.Second, span, 4)
	held.takeBack(0, span, 2)
	check.Equal(held.upperBound(2*time.Second, span), int64(5))
	held.takeBack(0, span, 9) // never below nothing
	check.Equal(held.upperBound(2*time.Second, span), int64(4))
	held.add(11*time.Second, span, 7) // in the place of the first part
	held.takeBack(0, span, 1)
	check.Equal(held.upperBound(11*time.Second, span), int64(11))
}
