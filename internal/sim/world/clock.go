package world

import "time"

// clock is one machine's monotonic and wall clock. Both run at the machine's
// own rate; the wall clock can also jump in either direction.
type clock struct {
	rate     float64
	base     time.Duration
	baseAt   time.Duration
	wallSkew time.Duration
}

// epoch is the wall-clock time at virtual time 0.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newClock(origin time.Duration) *clock {
	return &clock{rate: 1, base: origin}
}

// monotonic returns the machine's monotonic time at a virtual time.
func (c *clock) monotonic(now time.Duration) time.Duration {
	return c.base + time.Duration(float64(now-c.baseAt)*c.rate)
}

// wall returns the machine's wall-clock time at a virtual time.
func (c *clock) wall(now time.Duration) time.Time {
	return epoch.Add(now + c.wallSkew)
}

// setRate changes how fast the clock runs from now on.
func (c *clock) setRate(now time.Duration, rate float64) {
	c.base = c.monotonic(now)
	c.baseAt = now
	c.rate = rate
}

// virtual returns how much virtual time passes while the clock moves by local.
func (c *clock) virtual(local time.Duration) time.Duration {
	return time.Duration(float64(local) / c.rate)
}
