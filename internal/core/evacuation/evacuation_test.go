package evacuation

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/position"
	_ "github.com/springstack/springstack/internal/fixedseed"
)

// drawHistory draws the contents of the store at several positions: orders that are issued,
// withdrawn and issued again, and positions at which only other objects changed.
func drawHistory(t *rapid.T) []Orders {
	history := []Orders{{}}
	for range rapid.IntRange(1, 12).Draw(t, "changes") {
		last := history[len(history)-1]
		zones := slices.Clone(last.Zones)
		zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
		if at := slices.Index(zones, zone); at >= 0 {
			zones = slices.Delete(zones, at, at+1)
		} else {
			zones = append(zones, zone)
		}
		history = append(history, NewOrders(position.Position{Revision: last.At.Revision + uint64(rapid.IntRange(1, 3).Draw(t, "step"))}, zones))
	}
	return history
}

// Daemons that receive readings late, repeatedly, out of order or not at all hold the same orders
// once each has received the latest one.
func TestAllDaemonsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		newest := history[len(history)-1]
		for range 2 {
			var table Table
			received := rapid.SliceOf(rapid.SampledFrom(history)).Draw(t, "heard")
			received = append(received, newest)
			for index, orders := range rapid.Permutation(received).Draw(t, "order") {
				table.Merge(time.Duration(index), SharedOrders{Orders: orders, Known: true})
			}
			if table.Orders().At != newest.At || !slices.Equal(table.Orders().Zones, newest.Zones) {
				t.Fatalf("knows %v, the store holds %v", table.Orders(), newest)
			}
		}
	})
}

// Daemons exchange orders with losses. The orders of a daemon are always those of the store at
// their position, and its position never decreases.
func TestExchangedOrdersAreNeverMixed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		stored := map[position.Position][]string{}
		for _, orders := range history {
			stored[orders.At] = orders.Zones
		}
		tables := make([]Table, 4)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := time.Duration(step) * time.Millisecond
			to := rapid.IntRange(0, len(tables)-1).Draw(t, "to")
			before := tables[to].Orders()
			if rapid.Bool().Draw(t, "reads") {
				read := rapid.SampledFrom(history).Draw(t, "read")
				tables[to].Merge(now, SharedOrders{Orders: read, Known: true})
			} else {
				from := rapid.IntRange(0, len(tables)-1).Draw(t, "from")
				tables[to].Merge(now, tables[from].SharedOrders(now))
			}
			after := tables[to].Orders()
			if after.At.Before(before.At) || !slices.Equal(after.Zones, stored[after.At]) {
				t.Fatalf("%v after %v", after, before)
			}
		}
	})
}

func TestAnOutdatedOrderIsIgnored(t *testing.T) {
	check := is.New(t)
	var table Table
	check.True(!table.Merge(0, SharedOrders{Orders: NewOrders(position.Position{Revision: 9}, nil), Known: true}))
	check.True(!table.Merge(time.Second, SharedOrders{Orders: NewOrders(position.Position{Revision: 7}, []string{"a"}), Known: true}))
	check.True(!table.Orders().Evacuates("a"))
	check.Equal(table.ReadingAge(time.Second), time.Second) // it does not count as a reading either
}

func TestUnknownOrdersAreIgnored(t *testing.T) {
	check := is.New(t)
	var table, fresh Table
	table.Merge(0, SharedOrders{Orders: NewOrders(position.Position{Revision: 0}, nil), Known: true})
	check.True(!table.Merge(time.Hour, fresh.SharedOrders(time.Hour)))
	check.Equal(table.ReadingAge(time.Hour), time.Hour)
}

func TestTwoZonesAreEvacuatedAndRestoredSeparately(t *testing.T) {
	check := is.New(t)
	var table Table
	check.True(table.Merge(0, SharedOrders{Orders: NewOrders(position.Position{Revision: 5}, []string{"b", "a", "a"}), Known: true}))
	check.Equal(table.Orders().Zones, []string{"a", "b"})
	check.True(table.Merge(0, SharedOrders{Orders: NewOrders(position.Position{Revision: 6}, []string{"b"}), Known: true}))
	check.True(!table.Orders().Evacuates("a"))
	check.True(table.Orders().Evacuates("b"))
}

func TestTheAgeOfAReadingIsExchanged(t *testing.T) {
	check := is.New(t)
	var reader, other Table
	reader.Merge(10*time.Second, SharedOrders{Orders: NewOrders(position.Position{Revision: 3}, nil), Known: true})
	other.Merge(40*time.Second, reader.SharedOrders(11*time.Second))
	check.Equal(other.ReadingAge(40*time.Second), time.Second)
	reader.Merge(12*time.Second, SharedOrders{Orders: NewOrders(position.Position{Revision: 4}, nil), Known: true, Age: -time.Hour}) // from a faulty peer
	check.Equal(reader.ReadingAge(12*time.Second), time.Duration(0))
}
