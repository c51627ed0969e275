package standin

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

const testClient = "daemon-1"

func write(s *Store, now time.Duration, name, data string) object.Version {
	return s.Apply(now, testClient, object.Call{Kind: object.CallCreate, Name: name, Data: []byte(data)}, Lag{}).Object.Version
}

func TestUpdatesAreByVersion(t *testing.T) {
	is := is.New(t)
	store := NewStore(DefaultLimits())
	first := write(store, 0, "head", "1")
	update := object.Call{Kind: object.CallUpdate, Name: "head", Data: []byte("2"), Expect: first}
	reply := store.Apply(0, testClient, update, Lag{})
	is.Equal(reply.Code, result.OK)
	is.Equal(reply.Object.Version, first+1)
	is.Equal(store.Apply(0, testClient, update, Lag{}).Code, result.PlatformConflict) // the same update can't win twice
	is.Equal(write(store, 0, "head", "3"), first+1)                                   // exists; the version found is told
	is.Equal(store.Apply(0, testClient, object.Call{Kind: object.CallDelete, Name: "head", Expect: first}, Lag{}).Code, result.PlatformConflict)
	is.Equal(store.Apply(0, testClient, object.Call{Kind: object.CallDelete, Name: "head", Expect: first + 1}, Lag{}).Code, result.OK)
	is.Equal(store.Apply(0, testClient, object.Call{Kind: object.CallGet, Name: "head"}, Lag{}).Code, result.PlatformNotFound)
}

func TestObjectSizeLimit(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	store := NewStore(limits)
	call := object.Call{Kind: object.CallCreate, Name: "head", Data: make([]byte, limits.ObjectBytes)}
	is.Equal(store.Apply(0, testClient, call, Lag{}).Code, result.OK)
	call.Name, call.Data = "more", make([]byte, limits.ObjectBytes+1)
	is.Equal(store.Apply(0, testClient, call, Lag{}).Code, result.PlatformTooLarge)
}

func TestListsLagButGetsDoNot(t *testing.T) {
	is := is.New(t)
	store := NewStore(DefaultLimits())
	first := write(store, time.Second, "content/a", "1")
	store.Apply(3*time.Second, testClient, object.Call{Kind: object.CallUpdate, Name: "content/a", Data: []byte("2"), Expect: first}, Lag{})
	write(store, 4*time.Second, "content/b", "3")
	list := object.Call{Kind: object.CallList, Name: "content/"}
	old := store.Apply(4*time.Second, testClient, list, Lag{List: 2 * time.Second})
	is.Equal(len(old.Objects), 1)
	is.Equal(string(old.Objects[0].Data), "1")
	is.Equal(old.ListVersion, first)
	is.Equal(len(store.Apply(4*time.Second, testClient, list, Lag{}).Objects), 2)
	is.Equal(string(store.Apply(4*time.Second, testClient, object.Call{Kind: object.CallGet, Name: "content/a"}, Lag{List: time.Minute}).Object.Data), "2")
	// A watch from the old list's version sees all that the list missed.
	events, through, code := store.Events("content/", old.ListVersion)
	is.Equal(code, result.OK)
	is.Equal(len(events), 2)
	is.Equal(through, store.Version())
}

func TestMachineListLags(t *testing.T) {
	is := is.New(t)
	store := NewStore(DefaultLimits())
	store.SetMachines(0, []object.Machine{{ID: "a"}})
	store.SetMachines(5*time.Second, []object.Machine{{ID: "a", Leaving: true}})
	call := object.Call{Kind: object.CallMachines}
	is.Equal(store.Apply(6*time.Second, testClient, call, Lag{Machines: 2 * time.Second}).Machines[0].Leaving, false)
	is.Equal(store.Apply(6*time.Second, testClient, call, Lag{}).Machines[0].Leaving, true)
}

func TestCompactionEndsOldWatches(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.LogEvents = 2
	store := NewStore(limits)
	first := write(store, 0, "a", "1")
	write(store, 0, "b", "2")
	last := write(store, 0, "c", "3")
	_, _, code := store.Events("", first-1)
	is.Equal(code, result.PlatformCompacted)
	events, _, code := store.Events("", first)
	is.Equal(code, result.OK)
	is.Equal(len(events), 2)
	store.Compact(last)
	_, _, code = store.Events("", first)
	is.Equal(code, result.PlatformCompacted)
	_, _, code = store.Events("", last)
	is.Equal(code, result.OK)
}

func TestReadersAreCountedAndLimited(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Readers = 2
	store := NewStore(limits)
	get := object.Call{Kind: object.CallGet, Name: "head"}
	is.True(store.OpenWatch(0, "a"))
	is.Equal(store.Apply(0, "a", get, Lag{}).Code, result.PlatformNotFound) // a watch and a read of one client: one reader
	is.Equal(store.Apply(0, "b", get, Lag{}).Code, result.PlatformNotFound)
	is.Equal(store.Readers(0), 2)
	is.Equal(store.Apply(0, "c", get, Lag{}).Code, result.PlatformTooManyReaders)
	is.True(!store.OpenWatch(0, "c"))
	is.Equal(store.Apply(limits.ReaderWindow, "c", get, Lag{}).Code, result.PlatformNotFound) // b has left the window
	store.CloseWatch(limits.ReaderWindow, "a")
	is.Equal(store.Readers(limits.ReaderWindow), 2) // a counts as recent after its watch
	is.Equal(store.HighestReaders(), 2)
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	store := NewStore(limits)
	version := write(store, 0, "head", "0")
	at := time.Duration(0)
	for range 1000 {
		at += time.Second
		update := object.Call{Kind: object.CallUpdate, Name: "head", Data: []byte("x"), Expect: version}
		version = store.Apply(at, testClient, update, Lag{}).Object.Version
		gone := write(store, at, "gone", "x")
		store.Apply(at, testClient, object.Call{Kind: object.CallDelete, Name: "gone", Expect: gone}, Lag{})
	}
	most := int(limits.History/time.Second) * (sweepsPerHistory + 1) / sweepsPerHistory
	length := 0
	for old := store.latest["head"]; old != nil; old = old.previous {
		length++
	}
	is.True(length <= most+1)
	is.True(len(store.marks) <= 3*(most+1))
	list := store.Apply(at, testClient, object.Call{Kind: object.CallList}, Lag{List: limits.History})
	is.Equal(len(list.Objects), 1)
	is.Equal(list.ListVersion, object.Version(1+3*(1000-60))) // the state a minute ago, whole
}
