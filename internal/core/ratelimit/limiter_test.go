package ratelimit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	// A back end may get in any checkedSpan allowedOverage times what it states, and allowedSlack calls.
	checkedSpan    = 4 * time.Second
	allowedOverage = 1.5
	allowedSlack   = 5
)

// start counts the starts of one class within a time in which calls arrive at short intervals.
func start(limiter *Limiter, from, until time.Duration, class int) (starts []time.Duration) {
	for now := from; now < until; now += 5 * time.Millisecond {
		if limiter.TryStart(now, class) == 0 {
			starts = append(starts, now)
		}
	}
	return starts
}

func TestNoLimitBeforeOneIsStated(t *testing.T) {
	check := is.New(t)
	limiter := &Limiter{}
	check.True(!limiter.IsLimiting())
	check.Equal(limiter.Wait(0, 0), time.Duration(0))
	check.Equal(len(start(limiter, 0, time.Second, 0)), 200)
}

// Guards against a back end that gets more than it stated in any four seconds, whatever limits it states
// one after the other: the highest of those in force in that time counts.
func TestNoSpanGetsMoreThanStated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := &Limiter{}
		type change struct {
			at   time.Duration
			rate float64
		}
		var changes []change
		var starts []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 6).Draw(t, "limits") {
			rate := rapid.Float64Range(0.3, 60).Draw(t, "rate")
			limiter.SetRate(now, rate)
			changes = append(changes, change{now, rate})
			for end := now + time.Duration(rapid.IntRange(200, 6000).Draw(t, "ms"))*time.Millisecond; now < end; {
				now += time.Duration(rapid.IntRange(1, 400).Draw(t, "gap")) * time.Millisecond
				for range rapid.IntRange(1, 8).Draw(t, "calls") {
					if limiter.TryStart(now, rapid.IntRange(0, 2).Draw(t, "class")) == 0 {
						starts = append(starts, now)
					}
				}
			}
		}
		for first, from := range starts {
			count, highest := 0, 0.0
			for _, at := range starts[first:] {
				if at < from+checkedSpan {
					count++
				}
			}
			for index, c := range changes {
				ended := index+1 < len(changes) && changes[index+1].at < from
				if !ended && c.at < from+checkedSpan {
					highest = max(highest, c.rate)
				}
			}
			if allowed := allowedOverage*highest*checkedSpan.Seconds() + allowedSlack; float64(count) > allowed {
				t.Fatalf("%d starts in %s from %s, allowed %.1f", count, checkedSpan, from, allowed)
			}
		}
	})
}

// A start at the very moment at which a lower rate is stated counts under the rate before it.
func TestStartAtTheMomentOfALowerRate(t *testing.T) {
	check := is.New(t)
	limiter := &Limiter{}
	limiter.SetRate(0, 1)
	const lowered = 10 * time.Second // the bucket is full
	count := 0
	for limiter.TryStart(lowered, 0) == 0 {
		count++
	}
	limiter.SetRate(lowered, 0.3)
	count += len(start(limiter, lowered, lowered+checkedSpan, 0))
	check.True(float64(count) <= allowedOverage*1*checkedSpan.Seconds()+allowedSlack)
	check.Equal(count, minBurst+1) // the bucket, and one in 4 s at 0.3 a second
}

// Guards against a limit that lets through far less than the back end accepts.
func TestAcceptedRateIsUsed(t *testing.T) {
	for _, rate := range []float64{0.4, 5.3, 40} {
		check := is.New(t)
		limiter := &Limiter{}
		limiter.SetRate(0, rate)
		starts := start(limiter, 0, 20*time.Second, 0)
		check.True(float64(len(starts)) >= 0.9*rate*20-1)
	}
}

// Guards against ordinary calls that use up what urgent ones need.
func TestUrgentCallsStartFirst(t *testing.T) {
	check := is.New(t)
	limiter := &Limiter{}
	const rate = 5.3
	limiter.SetRate(0, rate)
	urgent, ordinary := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
		if limiter.TryStart(now, 0) == 0 {
			ordinary++
		}
		if now%(250*time.Millisecond) == 0 && limiter.TryStart(now, 2) == 0 { // 4 a second
			urgent++
		}
	}
	check.True(urgent >= 76) // of 80
	check.True(ordinary >= 15)
}

// The wait that a refusal states is the time after which a call of the class may start if no other does.
func TestStatedWaitIsTrue(t *testing.T) {
	check := is.New(t)
	limiter := &Limiter{}
	limiter.SetRate(0, 2)
	wait := limiter.Wait(0, 1)
	check.Equal(wait, 500*time.Millisecond)
	check.True(limiter.Wait(wait-time.Millisecond, 1) > 0)
	check.Equal(limiter.TryStart(wait, 1), time.Duration(0))
	check.True(limiter.Wait(wait, 0) > limiter.Wait(wait, 1)) // a start is reserved for the higher class
}

func TestEndOfTheLimitAndClockOrder(t *testing.T) {
	check := is.New(t)
	limiter := &Limiter{}
	limiter.SetRate(time.Second, 1)
	check.True(limiter.Wait(900*time.Millisecond, 0) > 0) // a clock read before the lock was taken
	limiter.SetRate(2*time.Second, 0)
	check.True(!limiter.IsLimiting())
	check.Equal(limiter.TryStart(2*time.Second, 0), time.Duration(0))
}
