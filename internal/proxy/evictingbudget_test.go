package proxy

import (
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// testHolder records whether it was evicted.
type testHolder struct{ evicted bool }

func (h *testHolder) evict() { h.evicted = true }

func TestOldestHolderIsEvicted(t *testing.T) {
	check := is.New(t)
	budget := newEvictingBudget(100)
	holders := []*testHolder{{}, {}, {}, {}}
	check.True(budget.add(holders[0], 40))
	check.True(budget.add(holders[1], 40))
	check.True(budget.add(holders[2], 40))
	check.True(holders[0].evicted)
	check.True(!budget.resize(holders[0], 1)) // it holds nothing any more
	check.True(budget.keep(holders[1]))
	check.True(!budget.add(holders[3], 90)) // neither the kept one nor the newest may give way
	check.True(holders[2].evicted)
	check.True(!holders[1].evicted)
	check.Equal(budget.usedBytes(), int64(40))
	budget.remove(holders[1])
	check.Equal(budget.usedBytes(), int64(0))
}

// TestEvictingBudgetCountsItsHolders compares the memory in use with that of the holders that are left.
func TestEvictingBudgetCountsItsHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := newEvictingBudget(100)
		held := map[*testHolder]int64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			bytes := rapid.Int64Range(0, 60).Draw(t, "bytes")
			holder := &testHolder{}
			known := slices.Collect(maps.Keys(held))
			isNew := len(known) == 0 || rapid.Bool().Draw(t, "new")
			if !isNew {
				holder = known[0]
			}
			if isNew && budget.add(holder, bytes) || !isNew && budget.resize(holder, bytes) {
				held[holder] = bytes
			} else {
				delete(held, holder)
			}
			var total int64
			for one, bytes := range held {
				if one.evicted {
					delete(held, one)
					continue
				}
				total += bytes
			}
			if total != budget.usedBytes() || total > 100 {
				t.Fatalf("%d bytes are held, %d are counted", total, budget.usedBytes())
			}
		}
	})
}
