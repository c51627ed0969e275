package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/position"
	"github.com/springstack/springstack/internal/core/resource"

	_ "github.com/springstack/springstack/internal/fixedseed"
)

var testService = resource.ServiceRef{Partner: "p", Name: "app"}

// Daemons that have received the same records hold the same state, whatever the order of the
// records, and the stage of an order never goes back.
func TestRecordsConvergeAndStagesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := is.New(t)
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			generation := rapid.Uint64Range(1, 3).Draw(t, "generation")
			return Record{
				Service: testService, Target: "v" + string(rune('0'+generation)), Generation: position.Position{Revision: generation},
				Stage: Stage(rapid.IntRange(int(StageCanary), int(StageCompleted)).Draw(t, "stage")),
			}
		}), 1, 12).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "order")
		ordered, reordered := NewTable(), NewTable()
		var last Record
		for _, record := range records {
			ordered.Merge(0, record)
			current, _ := ordered.Lookup(testService)
			check.True(current == last || current.isNewerThan(last))
			last = current
		}
		for _, record := range shuffled {
			reordered.Merge(0, record)
		}
		check.Equal(ordered.Records(0), reordered.Records(0))
	})
}

// A daemon that receives an order late takes over the time since the order was first received.
func TestElapsedTimeIsExchanged(t *testing.T) {
	check := is.New(t)
	first, second := NewTable(), NewTable()
	record := Record{Service: testService, Target: "v2", Generation: position.Position{Revision: 1}, Stage: StageCanary}
	check.True(first.Merge(time.Second, record))
	check.True(second.Merge(time.Minute, first.Records(4 * time.Second)[0]))
	check.Equal(second.Elapsed(time.Minute, testService), 3*time.Second)
	check.True(!second.Merge(time.Minute, record)) // a record with a shorter elapsed time does not reduce the known one
	check.Equal(second.Elapsed(time.Minute, testService), 3*time.Second)
}

func TestInvalidRecordsAreIgnored(t *testing.T) {
	check := is.New(t)
	table := NewTable()
	for _, invalid := range []Record{
		{Service: testService, Generation: position.Position{Revision: 1}, Stage: StageCanary},
		{Service: testService, Target: "v2", Generation: position.Position{Revision: 1}},
		{Service: testService, Target: "v2", Generation: position.Position{Revision: 1}, Stage: StageCompleted + 1},
		{Service: testService, Target: "v2", Generation: position.Position{Revision: 1}, Stage: StageCanary, Elapsed: -time.Second},
	} {
		check.True(!table.Merge(0, invalid))
	}
	check.Equal(len(table.Records(0)), 0)
}
