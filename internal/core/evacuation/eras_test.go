package evacuation

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/position"
)

// An order that the store lost in a change of era remains in force, also after later readings in
// the new era. An order that was withdrawn in the new era does not remain in force.
func TestALostOrderRemainsInForce(t *testing.T) {
	check := is.New(t)
	table := &Table{}
	merge := func(now time.Duration, orders Orders) { table.Merge(now, SharedOrders{Orders: orders, Known: true}) }
	merge(0, NewOrders(position.Position{Era: 1, Revision: 900}, []string{"a", "b"}))
	afterRestore := NewOrders(position.Position{Era: 2, Revision: 880}, []string{"b"})
	merge(time.Second, afterRestore.WithLostOrders(table.Orders()))
	check.Equal(table.Orders().AllZones(), []string{"a", "b"})
	check.True(table.Orders().Evacuates("a"))
	afterWithdrawal := NewOrders(position.Position{Era: 2, Revision: 881}, nil)
	merge(2*time.Second, afterWithdrawal.WithLostOrders(table.Orders()))
	check.Equal(table.Orders().AllZones(), []string{"a"})
	afterReissue := NewOrders(position.Position{Era: 2, Revision: 882}, []string{"a"})
	merge(3*time.Second, afterReissue.WithLostOrders(table.Orders()))
	check.Equal(table.Orders().Lost, []string{})
	merge(4*time.Second, afterWithdrawal.WithLostOrders(table.Orders())) // an outdated reading
	check.Equal(table.Orders().AllZones(), []string{"a"})
}

// Of two readings at the same position the later one applies, regardless of the order in which they
// are received.
func TestAtOnePositionTheLaterReadingApplies(t *testing.T) {
	check := is.New(t)
	at := position.Position{Era: 2, Revision: 880}
	lost := Orders{At: at, Lost: []string{"a"}}
	table := &Table{}
	table.Merge(time.Minute, SharedOrders{Orders: lost, Known: true, Age: 3 * time.Second})
	check.True(table.Merge(time.Minute, SharedOrders{Orders: Orders{At: at}, Known: true, Age: time.Second}))
	check.True(!table.Merge(time.Minute, SharedOrders{Orders: lost, Known: true, Age: 2 * time.Second}))
	check.True(!table.Orders().Evacuates("a"))
}
