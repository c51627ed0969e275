package evacuation

import "time"

// FollowerCount is how many daemons watch the orders: the first of all by rank, so that some
// are left when others end or are refused by the store.
const WatcherCount = 3

const (
	// relistPart is the part of the bound after which the first follower reads the orders
	// again, for a watch may be silent about a change: an order that no watch tells of is
	// then in force well within half of the bound.
	relistPart = 4
	// staggerPart is the part of the bound by which the next follower waits longer, so that
	// usually one alone reads.
	staggerPart = 20
	// stalePart and spreadPart: two parts in five of the bound after the newest reading that
	// it has heard of, and up to a tenth more by chance, any daemon reads the orders itself.
	// It is half of the bound at most, and the first that reads spares the others.
	stalePart  = 0.4
	spreadPart = 0.1
	// startPart is the part of the bound for which a daemon that starts waits for the word
	// of a peer before it reads.
	startPart = 16
	// longestRetry is how many bounds a daemon that is no follower waits at most between
	// two tries that the store refuses: each try is a call, and peers tell it meanwhile.
	longestRetry = 2
)

// Timing says when a daemon reads the orders itself. The zero value never does.
type Timing struct {
	// Within is the bound: the time from an order to its last call.
	Within time.Duration
}

// Relist is the time between two readings of the first follower.
func (t Timing) RelistInterval() time.Duration { return t.Within / relistPart }

// Due is how old the newest reading known may become before a daemon of a rank reads itself;
// random is uniform.
func (t Timing) RefreshAge(rank int, known bool, random uint64) time.Duration {
	drawn := time.Duration(spreadPart * float64(t.Within) * float64(random>>11) / (1 << 53)) // 53 bits are a float64's fraction
	switch {
	case !known:
		return t.Within/startPart + drawn
	case rank < WatcherCount:
		return t.RelistInterval() + time.Duration(rank)*t.Within/staggerPart
	}
	return time.Duration(stalePart*float64(t.Within)) + drawn
}

// Retry is how long a daemon of a rank waits after a number of readings in a row that failed.
func (t Timing) RetryDelay(rank, failures int) time.Duration {
	if rank < WatcherCount {
		return t.RelistInterval()
	}
	return min(t.RelistInterval()<<min(max(failures-1, 0), 8), longestRetry*t.Within)
}
