package standin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/object"
	_ "github.com/springstack/springstack/internal/fixedseed"
	"github.com/springstack/springstack/internal/result"
)

// TestListAndWatchShowThePresent draws writes, and holds after each that a list
// of any age shows the state of its time, that it and the events after it give
// the present state, and that versions only grow.
func TestListAndWatchShowThePresent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore(DefaultLimits())
		states := []state{{at: -time.Hour, objects: map[string]object.Version{}}}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "writes") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second
			present := states[len(states)-1]
			call := drawWrite(t, present.objects)
			reply := store.Apply(now, testClient, call, Lag{})
			wins := wouldWin(present.objects, call)
			if wins != (reply.Code == result.OK) {
				t.Fatalf("%+v answered %d", call, reply.Code)
			}
			if wins {
				states = append(states, present.after(call, now))
			}
			if store.Version() != states[len(states)-1].version {
				t.Fatalf("version %d after %+v", store.Version(), call)
			}
			lag := time.Duration(rapid.IntRange(0, 60).Draw(t, "lag")) * time.Second
			checkList(t, store, now, lag, states)
		}
	})
}

// state is what the store should hold from a time on.
type state struct {
	at      time.Duration
	version object.Version
	objects map[string]object.Version
}

// after returns the state that a winning write leads to.
func (s state) after(call object.Call, now time.Duration) state {
	next := state{at: now, version: s.version + 1, objects: maps.Clone(s.objects)}
	if call.Kind == object.CallDelete {
		delete(next.objects, call.Name)
	} else {
		next.objects[call.Name] = next.version
	}
	return next
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

// checkList holds a list of an age against the state of that time, and the
// events after it against the present.
func checkList(t *rapid.T, store *Store, now, lag time.Duration, states []state) {
	list := store.Apply(now, testClient, object.Call{Kind: object.CallList}, Lag{List: lag})
	shown := map[string]object.Version{}
	for _, listed := range list.Objects {
		shown[listed.Name] = listed.Version
	}
	old, _ := lo.Last(lo.Filter(states, func(s state, _ int) bool { return s.at <= now-lag }))
	if list.ListVersion != old.version || !maps.Equal(shown, old.objects) {
		t.Fatalf("list of %v before shows %v at %d, not %v at %d", lag, shown, list.ListVersion, old.objects, old.version)
	}
	events, _, code := store.Events("", list.ListVersion)
	if code != result.OK {
		t.Fatalf("events after version %d: code %d", list.ListVersion, code)
	}
	for _, event := range events {
		if event.Kind == object.EventDelete {
			delete(shown, event.Object.Name)
			continue
		}
		shown[event.Object.Name] = event.Object.Version
	}
	if present := states[len(states)-1].objects; !maps.Equal(shown, present) {
		t.Fatalf("list of %v before and events give %v, not %v", lag, shown, present)
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
