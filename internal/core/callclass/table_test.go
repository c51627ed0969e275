package callclass

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Concurrent uses of Get return the same value for a class, and each class has its own value.
func TestATableHasOneValueForEachClass(t *testing.T) {
	check := is.New(t)
	table := &Table[int]{}
	values := make([]*int, 16)
	var group sync.WaitGroup
	for index := range values {
		group.Add(1)
		go func() {
			defer group.Done()
			values[index] = table.Get(7)
		}()
	}
	group.Wait()
	for _, value := range values {
		check.True(value == values[0])
	}
	check.True(table.Get(8) != values[0])
	check.True(table.Get(7+Count) == values[0]) // not a class; reduced to 7
}
