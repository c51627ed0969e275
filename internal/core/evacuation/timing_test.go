package evacuation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/position"
)

const testWithin = 5 * time.Second

// testDaemon is a daemon in virtual time, with its known orders and its connections to the store
// and to peers.
type testDaemon struct {
	table    Table
	rank     int
	refused  bool
	cutOff   bool
	dead     bool
	due      time.Duration
	waitsTo  time.Duration
	failures int
}

// testFleet holds daemons that read from a store whose watches report no changes.
type testFleet struct {
	daemons []*testDaemon
	random  *rand.Rand
	timing  Timing
	reads   int
}

func newFleet(count int) *testFleet {
	fleet := &testFleet{random: rand.New(rand.NewPCG(7, 1)), timing: Timing{Within: testWithin}}
	for rank := range count {
		made := &testDaemon{rank: rank}
		made.due = fleet.timing.RefreshAge(rank, false, fleet.random.Uint64())
		fleet.daemons = append(fleet.daemons, made)
	}
	return fleet
}

// run steps all daemons through a period in which the store holds the given orders.
func (f *testFleet) run(from, to time.Duration, held Orders) {
	for now := from; now < to; now += 10 * time.Millisecond {
		for _, one := range f.daemons {
			if !one.dead && one.table.ReadingAge(now) >= one.due && now >= one.waitsTo {
				f.read(now, one, held)
			}
		}
	}
}

// read simulates a reading by one daemon, which broadcasts the result.
func (f *testFleet) read(now time.Duration, one *testDaemon, held Orders) {
	f.reads++
	if one.refused || one.cutOff {
		one.failures++
		one.waitsTo = now + f.timing.RetryDelay(one.rank, one.failures)
		return
	}
	one.failures = 0
	for _, other := range f.daemons {
		if other == one || !other.cutOff && !other.dead {
			other.table.Merge(now, SharedOrders{Orders: held, Known: true})
			other.due = f.timing.RefreshAge(other.rank, true, f.random.Uint64())
		}
	}
}

// unaware returns the number of connected daemons that do not know the order for a zone.
func (f *testFleet) unaware(zone string) (count int) {
	for _, one := range f.daemons {
		if !one.dead && !one.cutOff && !one.table.Orders().Evacuates(zone) {
			count++
		}
	}
	return count
}

// An order that no watch reports reaches all connected daemons within half of the bound, at any
// phase, even if some daemons are dead, refused by the store or disconnected.
func TestASilentOrderIsKnownWithinHalfOfTheBound(t *testing.T) {
	for name, harm := range map[string]func(*testDaemon){
		"nobody":                          func(*testDaemon) {},
		"followers dead":                  func(one *testDaemon) { one.dead = one.rank < WatcherCount },
		"followers refused":               func(one *testDaemon) { one.refused = one.rank < WatcherCount },
		"all refused but one":             func(one *testDaemon) { one.refused = one.rank != 20 },
		"followers cut off from the rest": func(one *testDaemon) { one.cutOff = one.rank < WatcherCount },
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			for phase := range 12 {
				fleet := newFleet(77)
				made := 20*time.Second + time.Duration(phase)*173*time.Millisecond
				fleet.run(0, made, NewOrders(position.Position{Revision: 3}, nil))
				for _, one := range fleet.daemons {
					harm(one)
				}
				fleet.run(made, made+testWithin/2, NewOrders(position.Position{Revision: 4}, []string{"z"}))
				check.Equal(fleet.unaware("z"), 0) // the daemons that do not know the order
			}
		})
	}
}

// In normal operation the store receives only one call per quarter of the bound, from the first
// follower.
func TestACalmMinuteIsCheap(t *testing.T) {
	check := is.New(t)
	fleet := newFleet(77)
	fleet.run(0, 10*time.Second, NewOrders(position.Position{Revision: 3}, nil))
	fleet.reads = 0
	fleet.run(10*time.Second, 70*time.Second, NewOrders(position.Position{Revision: 3}, nil))
	check.True(fleet.reads <= 49) // 60 s divided by 1.25 s, and one more for the phase
}

// While the store refuses all calls, daemons that are no followers call it at increasing intervals.
func TestADeadStoreIsNotStormed(t *testing.T) {
	check := is.New(t)
	fleet := newFleet(77)
	fleet.run(0, 10*time.Second, NewOrders(position.Position{Revision: 3}, nil))
	for _, one := range fleet.daemons {
		one.refused = true
	}
	fleet.run(10*time.Second, 40*time.Second, NewOrders(position.Position{Revision: 3}, nil))
	fleet.reads = 0
	fleet.run(40*time.Second, 100*time.Second, NewOrders(position.Position{Revision: 3}, nil))
	const followers, others = 49 * WatcherCount, 7 * (77 - WatcherCount)
	check.True(fleet.reads <= followers+others)
}

// When all daemons start at once, a few read the orders and the others receive them.
func TestAStartTogetherReadsLittle(t *testing.T) {
	check := is.New(t)
	fleet := newFleet(77)
	fleet.run(0, time.Second, NewOrders(position.Position{Revision: 3}, []string{"z"}))
	check.Equal(fleet.unaware("z"), 0)
	check.True(fleet.reads <= 3)
}

func ExampleTiming() {
	timing := Timing{Within: 5 * time.Second}
	fmt.Println(timing.RelistInterval(), timing.RefreshAge(1, true, 0), timing.RefreshAge(9, true, 0), timing.RetryDelay(9, 3))
	// Output: 1.25s 1.5s 2s 5s
}
