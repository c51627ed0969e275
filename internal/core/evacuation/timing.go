package evacuation

import "time"

// FollowerCount is the number of daemons that watch the orders in the store: those with the lowest
// ranks. It is above one so that some remain if others end or are refused by the store.
const WatcherCount = 3

const (
	// relistPart is the fraction of the bound after which the first follower reads the orders
	// again, since a watch may miss a change. An order that no watch reports then takes effect well
	// within half of the bound.
	relistPart = 4
	// staggerPart is the fraction of the bound by which each further follower waits longer, so that
	// usually only the first one reads.
	staggerPart = 20
	// A daemon that is no follower reads the orders itself once its latest known reading is older
	// than stalePart of the bound plus a random time of up to spreadPart. The sum is at most half
	// of the bound, and the first such daemon to read usually saves the others from reading.
	stalePart  = 0.4
	spreadPart = 0.1
	// startPart is the fraction of the bound for which a starting daemon waits for the orders from
	// a peer before it reads them.
	startPart = 16
	// longestRetry is the maximum delay, in bounds, between two attempts of a daemon that is no
	// follower while the store refuses them. Each attempt costs the store a call, and peers may
	// provide the orders in the meantime.
	longestRetry = 2
)

// Timing determines when a daemon reads the orders itself. If Within is 0 it never does; callers
// check this.
type Timing struct {
	// Within is the bound: the maximum time from an order to the last call sent to the zone.
	Within time.Duration
}

// Relist returns the interval between two readings of the first follower.
func (t Timing) RelistInterval() time.Duration { return t.Within / relistPart }

// Due returns the age of the latest known reading at which a daemon of the given rank reads the
// orders itself. random must be uniformly distributed.
func (t Timing) RefreshAge(rank int, known bool, random uint64) time.Duration {
	drawn := time.Duration(spreadPart * float64(t.Within) * float64(random>>11) / (1 << 53)) // the fraction of a float64 has 53 bits
	switch {
	case !known:
		return t.Within/startPart + drawn
	case rank < WatcherCount:
		return t.RelistInterval() + time.Duration(rank)*t.Within/staggerPart
	}
	return time.Duration(stalePart*float64(t.Within)) + drawn
}

// Retry returns how long a daemon of the given rank waits after a number of consecutive failed
// readings.
func (t Timing) RetryDelay(rank, failures int) time.Duration {
	if rank < WatcherCount {
		return t.RelistInterval()
	}
	return min(t.RelistInterval()<<min(max(failures-1, 0), 8), longestRetry*t.Within)
}
