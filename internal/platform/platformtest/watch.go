package platformtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/result"
)

// watch is one running watch.
type watch struct {
	t      *testing.T
	events chan object.Event
	ended  chan object.Reply
	stop   context.CancelFunc
}

func startWatch(c client, prefix string, from object.Version) *watch {
	ctx, cancel := context.WithCancel(c.t.Context())
	c.t.Cleanup(cancel)
	w := &watch{
		t:      c.t,
		events: make(chan object.Event, 1024),
		ended:  make(chan object.Reply, 1),
		stop:   cancel,
	}
	go func() {
		w.ended <- c.port.Watch(ctx, prefix, from, func(event object.Event) { w.events <- event })
	}()
	return w
}

// next returns the next event, or fails the test when none comes.
func (w *watch) next() object.Event {
	w.t.Helper()
	select {
	case event := <-w.events:
		return event
	case <-time.After(patience):
		w.t.Fatal("no event came")
		return object.Event{}
	}
}

// end returns why the watch ended, or fails the test when it does not end.
func (w *watch) end() result.Code {
	w.t.Helper()
	select {
	case reply := <-w.ended:
		return reply.Code
	case <-time.After(patience):
		w.t.Fatal("the watch did not end")
		return result.Internal
	}
}

func testWatch(t *testing.T, start Starter) {
	is := is.New(t)
	c := newClient(t, start(t, standin.DefaultLimits()), "a")
	first := c.create("content/a", "1")
	second := c.update("content/a", "2", first.Object.Version)
	w := startWatch(c, "content/", first.Object.Version)
	event := w.next() // the first change is older than the watch
	is.Equal(event.Kind, object.EventPut)
	is.Equal(event.Object, object.Object{Name: "content/a", Version: second.Object.Version, Data: []byte("2")})
	c.create("head", "elsewhere")
	removed := c.remove("content/a", second.Object.Version)
	event = w.next()
	is.Equal(event.Kind, object.EventDelete)
	is.Equal(event.Object.Name, "content/a")
	is.Equal(event.Object.Version, removed.Object.Version)
	w.stop()
	is.Equal(w.end(), result.PlatformUnavailable)
}

func testWatchCompacted(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	first := c.create("a", "1")
	second := c.create("b", "2")
	harness.Service.Compact()
	is.Equal(startWatch(c, "", first.Object.Version).end(), result.PlatformCompacted)
	w := startWatch(c, "", second.Object.Version)
	c.create("c", "3")
	is.Equal(w.next().Object.Name, "c")
}

func testWatchOutage(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	c.create("a", "1")
	w := startWatch(c, "", 0)
	w.next()
	harness.Service.SetFaults(standin.Faults{Outage: standin.OutageRefusing})
	is.Equal(w.end(), result.PlatformUnavailable)
	is.Equal(startWatch(c, "", 0).end(), result.PlatformUnavailable)
}

func testWatchFaults(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	old := c.create("old", "0")
	harness.Service.SetFaults(standin.Faults{DuplicateEvent: 1, CrossedEvent: 1, ReplayedEvent: 1})
	for i := range 3 {
		c.create(fmt.Sprintf("new/%d", i), "1")
	}
	w := startWatch(c, "", old.Object.Version)
	var versions []object.Version
	for range 9 {
		versions = append(versions, w.next().Object.Version)
	}
	base := old.Object.Version
	is.Equal(versions, []object.Version{
		base + 2, base + 2, base, // crossed with the first, twice, then an old one
		base + 3, base + 3, base,
		base + 1, base + 1, base,
	})
}

func testWatchBreaks(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	harness.Service.SetFaults(standin.Faults{BrokenWatch: 1})
	w := startWatch(c, "", 0)
	c.create("a", "1")
	is.Equal(w.end(), result.PlatformUnavailable)
}
