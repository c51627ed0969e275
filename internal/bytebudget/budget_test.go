package bytebudget

import (
	"testing"

	"github.com/matryer/is"
)

func TestReservationsStayWithinTheLimit(t *testing.T) {
	check := is.New(t)
	budget := New(100)
	check.True(budget.TryReserve(60))
	check.True(!budget.TryReserve(41)) // refused as a whole
	check.Equal(budget.Used(), int64(60))
	check.True(budget.TryReserve(40))
	check.True(budget.IsExhausted())
	budget.Release(100)
	check.Equal(budget.Used(), int64(0))
}

func TestAShareLeavesRoomForOthers(t *testing.T) {
	check := is.New(t)
	budget := New(100)
	check.True(budget.TryReserveShare(25, 0.25))
	check.True(!budget.TryReserveShare(1, 0.25))
	check.True(budget.TryReserve(75))
}

func TestBytesInMemoryCountAboveTheLimit(t *testing.T) {
	check := is.New(t)
	budget := New(100)
	budget.Reserve(150)
	check.True(!budget.TryReserve(1))
	budget.Release(60)
	check.True(budget.TryReserve(10))
}
