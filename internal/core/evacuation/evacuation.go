// Package evacuation holds the orders of an operator to evacuate zones that one daemon has read or
// received. An era is the time between two restorations of the store from an older copy (see
// package position). All orders together form one value: the contents of the store at one position.
// The value with the higher position replaces the other as a whole, so daemons converge on the same
// orders even if orders are issued, withdrawn and issued again, and are received late, repeatedly
// or out of order. The package performs no input or output and reads no clock.
package evacuation

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/position"
)

// Orders holds all orders in the store at one position. It is immutable.
type Orders struct {
	// At is the position of the store. If the store holds no order of its present era, it is the
	// start of that era.
	At position.Position
	// Zones holds the zones to evacuate, in ascending order.
	Zones []string
	// Lost holds, in ascending order, the zones of orders that were read in an earlier era and that
	// the store no longer holds. They remain in force, since the store may have lost them without a
	// withdrawal.
	Lost []string
}

// NewOrders returns the orders for the given zones, which may be in any order.
func NewOrders(at position.Position, zones []string) Orders {
	sorted := slices.Clone(zones)
	slices.Sort(sorted)
	return Orders{At: at, Zones: slices.Compact(sorted)}
}

// WithLostOrders returns the orders read from the store, extended by those that the store may have
// lost since the known orders were read.
func (o Orders) WithLostOrders(known Orders) Orders {
	lost := known.Lost
	if known.At.Era < o.At.Era {
		lost = known.AllZones()
	}
	o.Lost = slices.DeleteFunc(slices.Clone(lost), func(zone string) bool { return slices.Contains(o.Zones, zone) })
	return o
}

// AllZones returns all zones to evacuate, in ascending order.
func (o Orders) AllZones() []string {
	if len(o.Lost) == 0 {
		return o.Zones
	}
	all := slices.Concat(o.Zones, o.Lost)
	slices.Sort(all)
	return all
}

// Evacuates reports whether a zone is to be evacuated.
func (o Orders) Evacuates(zone string) bool {
	return slices.Contains(o.Zones, zone) || slices.Contains(o.Lost, zone)
}

// SharedOrders is the state of the orders as daemons exchange it.
type SharedOrders struct {
	Orders Orders
	// Known is false if the sender has neither read nor received the orders yet.
	Known bool
	// Age is the time since the start of the latest reading of the store on which the orders are
	// based, by the sender or by another daemon.
	Age time.Duration
}

// Table holds the orders that one daemon has read or received. It is not safe for concurrent use.
type Table struct {
	orders  Orders
	isKnown bool
	// readAt is the start of the latest reading, on this daemon's clock.
	readAt time.Duration
}

// Orders returns the latest known orders; empty before the first reading.
func (t *Table) Orders() Orders { return t.orders }

// IsKnown reports whether the daemon has read or received the orders.
func (t *Table) IsKnown() bool { return t.isKnown }

// ReadingAge returns the time since the start of the latest reading, or since the start of the
// daemon if it has none: its clock begins at its start.
func (t *Table) ReadingAge(now time.Duration) time.Duration { return now - t.readAt }

// SharedOrders returns the state to send to peers.
func (t *Table) SharedOrders(now time.Duration) SharedOrders {
	return SharedOrders{Orders: t.orders, Known: t.isKnown, Age: t.ReadingAge(now)}
}

// Merge merges a reading, or the state received from a peer, and reports whether the set of zones
// to evacuate has changed. Orders at a lower position are outdated: they are ignored and do not
// reset the age of the latest reading. Orders of a later era are newer regardless of their
// revision. Of two readings at the same position the later one applies, with its own list of lost
// orders.
func (t *Table) Merge(now time.Duration, received SharedOrders) (changed bool) {
	if !received.Known || (t.isKnown && received.Orders.At.Before(t.orders.At)) {
		return false
	}
	readAt := now - max(received.Age, 0)
	if t.isKnown && received.Orders.At == t.orders.At && readAt < t.readAt {
		return false
	}
	changed = !slices.Equal(received.Orders.AllZones(), t.orders.AllZones())
	t.readAt = max(t.readAt, readAt)
	t.orders = received.Orders
	t.isKnown = true
	return changed
}
