// Package evacuation keeps an operator's orders to empty zones as one daemon knows them.
// All orders are one value: what the store held at one of its positions. A higher position
// wins whole, so orders that are made, withdrawn and made again, heard late, twice or in
// another order come to the same on every daemon. It does no input or output and reads no
// clock.
package evacuation

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/position"
)

// Orders are all orders that the store held at one position. They are immutable.
type Orders struct {
	// At is the store's position; at the start of its era where it holds no order of that era.
	At position.Position
	// Zones are the zones to be empty, in ascending order.
	Zones []string
	// Lost are zones to be empty, in ascending order, by orders of an earlier era that the store
	// does not hold any more and that nobody is known to have withdrawn.
	Lost []string
}

// NewOrders returns the orders for some zones, in any order of them.
func NewOrders(at position.Position, zones []string) Orders {
	sorted := slices.Clone(zones)
	slices.Sort(sorted)
	return Orders{At: at, Zones: slices.Compact(sorted)}
}

// WithLost returns the orders of a reading together with those that the store may have lost since
// some that are known were read.
func (o Orders) WithLost(known Orders) Orders {
	lost := known.Lost
	if known.At.Era < o.At.Era {
		lost = known.AllZones()
	}
	o.Lost = slices.DeleteFunc(slices.Clone(lost), func(zone string) bool { return slices.Contains(o.Zones, zone) })
	return o
}

// All are all zones to be empty, in ascending order.
func (o Orders) AllZones() []string {
	if len(o.Lost) == 0 {
		return o.Zones
	}
	all := slices.Concat(o.Zones, o.Lost)
	slices.Sort(all)
	return all
}

// Evacuates tells whether a zone is to be empty.
func (o Orders) Evacuates(zone string) bool {
	return slices.Contains(o.Zones, zone) || slices.Contains(o.Lost, zone)
}

// Word is what a daemon tells another one of the orders.
type SharedOrders struct {
	Orders Orders
	// Known is false while the daemon has neither read the orders nor heard of them.
	Known bool
	// Age is how long ago the newest reading of the store that the daemon knows of began.
	Age time.Duration
}

// Table is what one daemon knows of the orders. Not safe for concurrent use.
type Table struct {
	orders Orders
	known  bool
	// readAt is when the newest reading began, by this daemon's clock.
	readAt time.Duration
}

// Orders are the newest orders known; none before the first reading.
func (t *Table) Orders() Orders { return t.orders }

// Known tells whether the daemon has read the orders or heard of them.
func (t *Table) IsKnown() bool { return t.known }

// Age is how long ago the newest reading began, or how long the daemon runs if it has heard
// of none: its clock begins at its start.
func (t *Table) ReadingAge(now time.Duration) time.Duration { return now - t.readAt }

// Word is what the daemon tells others now.
func (t *Table) SharedOrders(now time.Duration) SharedOrders {
	return SharedOrders{Orders: t.orders, Known: t.known, Age: t.ReadingAge(now)}
}

// Merge takes a reading, or the word of another daemon, and tells whether other zones are to
// be empty since. Orders at a lower position are older and count for nothing, not even as a
// reading; those of a later era are newer whatever their revision. Of two readings at one position
// the later one counts: what it leaves out of an earlier era is given up.
func (t *Table) Merge(now time.Duration, word SharedOrders) (news bool) {
	if !word.Known || (t.known && word.Orders.At.Before(t.orders.At)) {
		return false
	}
	readAt := now - max(word.Age, 0)
	if t.known && word.Orders.At == t.orders.At && readAt < t.readAt {
		return false
	}
	news = !slices.Equal(word.Orders.AllZones(), t.orders.AllZones())
	t.readAt = max(t.readAt, readAt)
	t.orders = word.Orders
	t.known = true
	return news
}
