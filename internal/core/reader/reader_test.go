package reader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/lab/standin"
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
	reader.submit(1, w.newRequest("op000001", "roastery", protocol.ActionSubmit))
	w.run(time.Second)
	is.Equal(reader.results[1].Code, result.OK)
	is.Equal(reader.results[1].Version, protocol.Version(1))
	for _, c := range []*client{first, second, third} {
		if c.reader.IsReader() {
			is.Equal(c.published[len(c.published)-1].Version, protocol.Version(1))
			is.Equal(len(c.published[len(c.published)-1].Resources), 1)
		}
	}
}

// TestEmptyPlatformDoesNotStartNewHistory guards against a restarted reader
// that accepts changes on an empty platform, after the platform lost a head
// whose version 5 the mesh still uses.
func TestEmptyPlatformDoesNotStartNewHistory(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	reader := w.add("windhoek")
	reader.reader.SetFloor(5)
	w.run(2 * time.Second)
	is.True(reader.reader.IsReader())
	reader.submit(1, w.newRequest("op000001", "roastery", protocol.ActionSubmit))
	w.run(defaultSubmitTimeout + time.Second)
	is.Equal(reader.results[1].Code, result.NotAccepted)
	is.Equal(len(reader.published), 0)
	is.Equal(w.store.Apply(w.now, "test", object.Call{Kind: object.CallGet, Name: ledger.HeadObject}, standin.Lag{}).Code,
		result.PlatformNotFound)
	w.run(time.Duration(outdatedReadsBeforeEvent) * defaultResyncInterval)
	is.Equal(reader.eventCounts["head_deleted"], 1)
}

// TestCandidateBacksOffWithStaleLeaseList guards against a candidate that
// overloads the platform because a stale list shows taken leases as free.
func TestCandidateBacksOffWithStaleLeaseList(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.add("windhoek")
	w.add("windhoek")
	w.run(2 * time.Second)
	w.faults.ListLag = time.Hour
	candidate := w.add("windhoek")
	w.run(time.Minute)
	is.True(!candidate.reader.IsReader())
	const maxCalls = 60
	if candidate.callCount > maxCalls {
		t.Errorf("%d platform calls in a minute; at most %d allowed", candidate.callCount, maxCalls)
	}
}
