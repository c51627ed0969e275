package evacuation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/position"
)

const testBound = 5 * time.Second

// testDaemon is a daemon in virtual time, with its known orders and its connections to the store
// and to peers.
type testDaemon struct {
	table          Table
	rank           int
	isRefused      bool
	isDisconnected bool
	isDead         bool
	refreshAge     time.Duration
	retryAt        time.Duration
	failures       int
}

// testFleet holds daemons that read from a store whose watches report no changes.
type testFleet struct {
	daemons   []*testDaemon
	random    *rand.Rand
	timing    Timing
	readCount int
}

func newFleet(count int) *testFleet {
	fleet := &testFleet{random: rand.New(rand.NewPCG(7, 1)), timing: Timing{Within: testBound}}
	for rank := range count {
		daemon := &testDaemon{rank: rank}
		daemon.refreshAge = fleet.timing.RefreshAge(rank, false, fleet.random.Uint64())
		fleet.daemons = append(fleet.daemons, daemon)
	}
	return fleet
}

// run steps all daemons through a period in which the store holds the given orders.
func (f *testFleet) run(from, to time.Duration, stored Orders) {
	for now := from; now < to; now += 10 * time.Millisecond {
		for _, daemon := range f.daemons {
			if !daemon.isDead && daemon.table.ReadingAge(now) >= daemon.refreshAge && now >= daemon.retryAt {
				f.read(now, daemon, stored)
			}
		}
	}
}

// read simulates a reading by one daemon, which broadcasts the result.
func (f *testFleet) read(now time.Duration, daemon *testDaemon, stored Orders) {
	f.readCount++
	if daemon.isRefused || daemon.isDisconnected {
		daemon.failures++
		daemon.retryAt = now + f.timing.RetryDelay(daemon.rank, daemon.failures)
		return
	}
	daemon.failures = 0
	for _, other := range f.daemons {
		if other == daemon || !other.isDisconnected && !other.isDead {
			other.table.Merge(now, SharedOrders{Orders: stored, Known: true})
			other.refreshAge = f.timing.RefreshAge(other.rank, true, f.random.Uint64())
		}
	}
}

// countUnaware returns the number of connected daemons that do not know the order for a zone.
func (f *testFleet) countUnaware(zone string) (count int) {
	for _, daemon := range f.daemons {
		if !daemon.isDead && !daemon.isDisconnected && !daemon.table.Orders().Evacuates(zone) {
			count++
		}
	}
	return count
}

// An order that no watch reports reaches all connected daemons within half of the bound,
// whenever it is issued, even if some daemons are dead, refused by the store or disconnected.
func TestAnUnreportedOrderIsKnownWithinHalfOfTheBound(t *testing.T) {
	for name, impair := range map[string]func(*testDaemon){
		"nobody":                         func(*testDaemon) {},
		"watchers dead":                  func(daemon *testDaemon) { daemon.isDead = daemon.rank < WatcherCount },
		"watchers refused":               func(daemon *testDaemon) { daemon.isRefused = daemon.rank < WatcherCount },
		"all refused but one":            func(daemon *testDaemon) { daemon.isRefused = daemon.rank != 20 },
		"watchers cut off from the rest": func(daemon *testDaemon) { daemon.isDisconnected = daemon.rank < WatcherCount },
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			for phase := range 12 {
				fleet := newFleet(77)
				orderedAt := 20*time.Second + time.Duration(phase)*173*time.Millisecond
				fleet.run(0, orderedAt, NewOrders(position.Position{Revision: 3}, nil))
				for _, daemon := range fleet.daemons {
					impair(daemon)
				}
				fleet.run(orderedAt, orderedAt+testBound/2, NewOrders(position.Position{Revision: 4}, []string{"z"}))
				check.Equal(fleet.countUnaware("z"), 0)
			}
		})
	}
}

// In normal operation the store receives only one call per quarter of the bound, from the first
// watcher.
func TestNormalOperationCostsTheStoreFewCalls(t *testing.T) {
	check := is.New(t)
	fleet := newFleet(77)
	fleet.run(0, 10*time.Second, NewOrders(position.Position{Revision: 3}, nil))
	fleet.readCount = 0
	fleet.run(10*time.Second, 70*time.Second, NewOrders(position.Position{Revision: 3}, nil))
	check.True(fleet.readCount <= 49) // one per RelistInterval, and one more because the period may begin just before a reading
}

// While the store refuses all calls, daemons that are no watchers call it at increasing intervals.
func TestAFailingStoreIsNotOverloaded(t *testing.T) {
	check := is.New(t)
	fleet := newFleet(77)
	fleet.run(0, 10*time.Second, NewOrders(position.Position{Revision: 3}, nil))
	for _, daemon := range fleet.daemons {
		daemon.isRefused = true
	}
	fleet.run(10*time.Second, 40*time.Second, NewOrders(position.Position{Revision: 3}, nil))
	fleet.readCount = 0
	fleet.run(40*time.Second, 100*time.Second, NewOrders(position.Position{Revision: 3}, nil))
	const maxWatcherReads, maxOtherReads = 49 * WatcherCount, 7 * (77 - WatcherCount) // readings at the retry delays of 1.25 s and 10 s, and one more each because the period may begin just before a reading
	check.True(fleet.readCount <= maxWatcherReads+maxOtherReads)
}

// When all daemons start at once, a few read the orders and the others receive them.
func TestASimultaneousStartCostsTheStoreFewCalls(t *testing.T) {
	check := is.New(t)
	fleet := newFleet(77)
	fleet.run(0, time.Second, NewOrders(position.Position{Revision: 3}, []string{"z"}))
	check.Equal(fleet.countUnaware("z"), 0)
	check.True(fleet.readCount <= 3)
}

func ExampleTiming() {
	timing := Timing{Within: 5 * time.Second}
	fmt.Println(timing.RelistInterval(), timing.RefreshAge(1, true, 0), timing.RefreshAge(9, true, 0), timing.RetryDelay(9, 3))
	// Output: 1.25s 1.5s 2s 5s
}
