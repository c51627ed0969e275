package evacuation

import "time"

// WatcherCount is the number of daemons that watch the orders in the store: those with the lowest
// ranks. It is above one so that some remain if others end or are refused by the store.
const WatcherCount = 3

const (
	// The first watcher reads the orders again after the bound divided by relistDivisor, since a
	// watch may miss a change. An order that no watch reports then takes effect well within half of
	// the bound.
	relistDivisor = 4
	// Each further watcher waits longer than the previous one by the bound divided by
	// staggerDivisor, so that usually only the first watcher reads.
	staggerDivisor = 20
	// A daemon that is no watcher reads the orders itself once its latest known reading is older
	// than staleFraction of the bound plus a random time of up to jitterFraction of the bound. The
	// sum is at most half of the bound. Since daemons exchange the orders, usually only the first
	// such daemon reads.
	staleFraction  = 0.4
	jitterFraction = 0.1
	// A starting daemon waits for the orders from a peer, for the bound divided by startupDivisor
	// plus the random time, before it reads them from the store.
	startupDivisor = 16
	// maxRetryDelayFactor is the maximum delay, as a multiple of the bound, between two attempts of
	// a daemon that is no watcher while the store refuses them. Each attempt costs the store a
	// call, and peers may provide the orders in the meantime.
	maxRetryDelayFactor = 2
)

// Timing determines when a daemon reads the orders itself. If Within is 0 it never does; callers
// check this.
type Timing struct {
	// Within is the bound: the maximum time from an order to the last call sent to the zone.
	Within time.Duration
}

// RelistInterval returns the interval between two readings of the first watcher.
func (t Timing) RelistInterval() time.Duration { return t.Within / relistDivisor }

// RefreshAge returns the age of the latest known reading at which a daemon of the given rank reads
// the orders itself. known is true if it has any reading. random must be uniformly distributed.
func (t Timing) RefreshAge(rank int, known bool, random uint64) time.Duration {
	jitter := time.Duration(jitterFraction * float64(t.Within) * float64(random>>11) / (1 << 53)) // the significand of a float64 has 53 bits
	switch {
	case !known:
		return t.Within/startupDivisor + jitter
	case rank < WatcherCount:
		return t.RelistInterval() + time.Duration(rank)*t.Within/staggerDivisor
	}
	return time.Duration(staleFraction*float64(t.Within)) + jitter
}

// RetryDelay returns how long a daemon of the given rank waits after a number of consecutive failed
// readings.
func (t Timing) RetryDelay(rank, failures int) time.Duration {
	if rank < WatcherCount {
		return t.RelistInterval()
	}
	return min(t.RelistInterval()<<min(max(failures-1, 0), 8), maxRetryDelayFactor*t.Within)
}
