package reader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

func TestSubmitReachesAllReaders(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	first, second, third := w.add("windhoek"), w.add("windhoek"), w.add("windhoek")
	w.run(2 * time.Second)
	holders := 0
	for _, c := range w.clients {
		if c.reader.IsReader() {
			holders++
		}
	}
	is.Equal(holders, 2) // two slots
	reader := first
	if !reader.reader.IsReader() {
		reader = second
	}
	reader.submit(1, w.change("op000001", "roastery", protocol.ActionSubmit))
	w.run(time.Second)
	is.Equal(reader.done[1].Code, result.OK)
	is.Equal(reader.done[1].Version, protocol.Version(1))
	for _, c := range []*client{first, second, third} {
		if c.reader.IsReader() {
			is.Equal(c.ready[len(c.ready)-1].Version, protocol.Version(1))
			is.Equal(len(c.ready[len(c.ready)-1].Resources), 1)
		}
	}
}
