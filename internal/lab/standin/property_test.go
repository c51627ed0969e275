package standin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/object"
	_ "github.com/springstack/springstack/internal/fixedseed"
	"github.com/springstack/springstack/internal/result"
)

// TestListAndWatchShowThePresent draws writes, and holds after each that a list
// of any age together with the events after it gives the present state, and
// that versions only grow.
func TestListAndWatchShowThePresent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore(DefaultLimits())
		present := map[string]object.Version{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "writes") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			before := store.Version()
			call := drawWrite(t, present)
			reply := store.Apply(now, testClient, call, Lag{})
			wins := wouldWin(present, call)
			if wins != (reply.Code == result.OK) || wins != (store.Version() == before+1) {
				t.Fatalf("%+v answered %d at version %d", call, reply.Code, store.Version())
			}
			if wins {
				follow(present, call, reply.Object.Version)
			}
			lag := time.Duration(rapid.IntRange(0, 60).Draw(t, "lag")) * time.Second
			checkPresent(t, store, now, lag, present)
		}
	})
}

// drawWrite draws a write of one of a few objects, often at the right version.
func drawWrite(t *rapid.T, present map[string]object.Version) object.Call {
	name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))
	return object.Call{
		Kind:   rapid.SampledFrom([]object.CallKind{object.CallCreate, object.CallUpdate, object.CallDelete}).Draw(t, "kind"),
		Name:   name,
		Expect: present[name] + object.Version(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "off")),
	}
}

func wouldWin(present map[string]object.Version, call object.Call) bool {
	version, exists := present[call.Name]
	if call.Kind == object.CallCreate {
		return !exists
	}
	return exists && version == call.Expect
}

func follow(present map[string]object.Version, call object.Call, version object.Version) {
	if call.Kind == object.CallDelete {
		delete(present, call.Name)
		return
	}
	present[call.Name] = version
}

// checkPresent rebuilds the state from an old list and the events after it.
func checkPresent(t *rapid.T, store *Store, now, lag time.Duration, present map[string]object.Version) {
	list := store.Apply(now, testClient, object.Call{Kind: object.CallList}, Lag{List: lag})
	rebuilt := map[string]object.Version{}
	for _, listed := range list.Objects {
		rebuilt[listed.Name] = listed.Version
	}
	events, _, code := store.Events("", list.ListVersion)
	if code != result.OK {
		t.Fatalf("events after version %d: code %d", list.ListVersion, code)
	}
	for _, event := range events {
		if event.Kind == object.EventDelete {
			delete(rebuilt, event.Object.Name)
			continue
		}
		rebuilt[event.Object.Name] = event.Object.Version
	}
	if fmt.Sprint(rebuilt) != fmt.Sprint(present) {
		t.Fatalf("list %v before and events give %v, not %v", lag, rebuilt, present)
	}
}

func TestFaultsAreRepeatable(t *testing.T) {
	is := is.New(t)
	faults := Faults{
		Slowness: time.Second, Jitter: time.Second,
		LostAnswer: 0.3, LostRequest: 0.3, LeaseLapse: 0.5,
		DuplicateEvent: 0.5, CrossedEvent: 0.5, ReplayedEvent: 0.5,
	}
	draw := func(seed uint64) string {
		random := rand.New(rand.NewPCG(seed, seed))
		drawn := ""
		for range 20 {
			drawn += fmt.Sprintf("%+v", faults.Decide(random, object.Call{Kind: object.CallUpdate, Name: LeasePrefix + "a/0"}))
			events := []object.Event{{Object: object.Object{Version: 3}}, {Object: object.Object{Version: 4}}}
			drawn += fmt.Sprintf("%+v", faults.Deliver(random, events, events[:1]))
		}
		return drawn
	}
	is.Equal(draw(7), draw(7))
	is.True(draw(7) != draw(8))
}
