package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStartsBeyondSlots(t *testing.T) {
	is := is.New(t)
	done := Run{Start: 0, End: time.Second, Ended: true, Completed: true}
	cancelled := Run{Start: 0, End: 110 * time.Millisecond, Ended: true}
	next := Run{Start: 100 * time.Millisecond, End: time.Second, Ended: true, Completed: true}
	after := Run{Start: time.Second, End: 2 * time.Second, Ended: true, Completed: true}
	is.Equal(StartsBeyondSlots([]Run{done, next}, 1), 1)
	is.Equal(StartsBeyondSlots([]Run{done, next}, 2), 0)
	is.Equal(StartsBeyondSlots([]Run{cancelled, next}, 1), 0)
	is.Equal(StartsBeyondSlots([]Run{done, after}, 1), 0)
}
