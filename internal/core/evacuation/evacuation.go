// Package evacuation keeps an operator's orders to empty zones as one daemon knows them.
// All orders are one value: what the store held at one of its positions. A higher position
// wins whole, so orders that are made, withdrawn and made again, heard late, twice or in
// another order come to the same on every daemon. It does no input or output and reads no
// clock.
package evacuation

import (
	"slices"
	"time"
)

// Orders are all orders that the store held at one position. They are immutable.
type Orders struct {
	// At is the store's position; 0 where the store has never held an order.
	At uint64
	// Zones are the zones to be empty, in ascending order.
	Zones []string
}

// NewOrders returns the orders for some zones, in any order of them.
func NewOrders(at uint64, zones []string) Orders {
	sorted := slices.Clone(zones)
	slices.Sort(sorted)
	return Orders{At: at, Zones: slices.Compact(sorted)}
}

// Evacuates tells whether a zone is to be empty.
func (o Orders) Evacuates(zone string) bool { return slices.Contains(o.Zones, zone) }

// Word is what a daemon tells another one of the orders.
type Word struct {
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
func (t *Table) Known() bool { return t.known }

// Age is how long ago the newest reading began, or how long the daemon runs if it has heard
// of none: its clock begins at its start.
func (t *Table) Age(now time.Duration) time.Duration { return now - t.readAt }

// Word is what the daemon tells others now.
func (t *Table) Word(now time.Duration) Word {
	return Word{Orders: t.orders, Known: t.known, Age: t.Age(now)}
}

// Merge takes a reading, or the word of another daemon, and tells whether other zones are to
// be empty since. Orders at a lower position are older and count for nothing, not even as a
// reading: the store can't have gone back.
func (t *Table) Merge(now time.Duration, word Word) (news bool) {
	if !word.Known || (t.known && word.Orders.At < t.orders.At) {
		return false
	}
	news = !slices.Equal(word.Orders.Zones, t.orders.Zones)
	t.readAt = max(t.readAt, now-max(word.Age, 0))
	t.orders = word.Orders
	t.known = true
	return news
}
