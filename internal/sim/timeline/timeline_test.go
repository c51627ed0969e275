package timeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/sim/timeline"
)

func TestEventsRunInOrderOfTimeAndScheduling(t *testing.T) {
	is := is.New(t)
	line := timeline.New(1)
	var order []string
	note := func(name string) func() { return func() { order = append(order, name) } }
	line.After(2*time.Second, note("late"))
	line.After(time.Second, note("first"))
	line.After(time.Second, func() {
		order = append(order, "second")
		line.After(0, note("nested"))
	})
	for line.Step(time.Minute) {
	}
	is.Equal(order, []string{"first", "second", "nested", "late"})
	is.Equal(line.Now(), 2*time.Second)
}

func TestStepStopsAtItsLimit(t *testing.T) {
	is := is.New(t)
	line := timeline.New(1)
	line.After(time.Second, func() {})
	is.True(!line.Step(time.Second - 1))
	line.AdvanceTo(time.Second - 1)
	is.Equal(line.Now(), time.Second-1)
	is.True(line.Step(time.Second))
}
