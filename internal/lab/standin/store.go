// Package standin takes the platform's place in tests, in the simulator and in
// the lab: an object API with versions and watches, and a machine list. Store
// and Faults are pure: they read no clock and start no goroutine. Service adds
// a lock and a clock round them, and Server serves a Service over HTTP.
package standin

import (
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

// Limits bounds what a Store accepts and remembers.
type Limits struct {
	// ObjectBytes is the largest value of one object.
	ObjectBytes int
	// Readers is how many readers are admitted at once; 0 means no limit.
	Readers int
	// ReaderWindow is how long a client counts as a reader after a read.
	ReaderWindow time.Duration
	// LogEvents and LogBytes bound the event log; older events are compacted.
	LogEvents int
	LogBytes  int
	// History is how long superseded values are remembered, so that lists can
	// lag by at most that long.
	History time.Duration
}

// DefaultLimits returns the limits of the platform that springstack is built
// for: objects of 1 MiB and few readers.
func DefaultLimits() Limits {
	return Limits{
		ObjectBytes:  1 << 20,
		Readers:      8,
		ReaderWindow: 10 * time.Second,
		LogEvents:    1000,
		LogBytes:     32 << 20,
		History:      time.Minute,
	}
}

// revision is one value of an object; deleted revisions hold no data.
type revision struct {
	at       time.Duration
	object   object.Object
	deleted  bool
	previous *revision
}

// machineList is the machine list as it was set at a time.
type machineList struct {
	at       time.Duration
	version  object.Version
	machines []object.Machine
}

// mark says which object version was current from a time on.
type mark struct {
	at      time.Duration
	version object.Version
}

// Store is the linearizable state of the platform. All methods take the time
// since an arbitrary origin; it never decreases. Values that it hands out are
// shared and must not be changed. A Store is not safe for concurrent use.
type Store struct {
	limits   Limits
	version  object.Version
	latest   map[string]*revision
	log      []object.Event
	logBytes int
	// compacted is the newest version whose event is gone from the log.
	compacted object.Version
	marks     []mark
	machines  []machineList
	readers   readerSet
	// sweptAt is when the history was last swept.
	sweptAt time.Duration
}

// NewStore returns an empty store.
func NewStore(limits Limits) *Store {
	return &Store{
		limits:  limits,
		latest:  map[string]*revision{},
		readers: newReaderSet(limits.Readers, limits.ReaderWindow),
	}
}

// Version returns the newest object version.
func (s *Store) Version() object.Version { return s.version }

// Lag says how far reads lag behind the present.
type Lag struct {
	// List is the age of lists; Machines is the age of the machine list.
	List     time.Duration
	Machines time.Duration
}

// Apply carries out one call of a client. Reads count the client as a reader
// and are refused with PlatformReadersFull beyond the limit. A get is always
// current; lists and the machine list are as old as lag says.
func (s *Store) Apply(now time.Duration, client string, call object.Call, lag Lag) object.Reply {
	if isRead(call.Kind) && !s.readers.admitRead(now, client) {
		return object.Reply{Code: result.PlatformTooManyReaders}
	}
	switch call.Kind {
	case object.CallGet:
		return s.get(call.Name)
	case object.CallList:
		return s.list(now-lag.List, call.Name)
	case object.CallMachines:
		return s.machineList(now - lag.Machines)
	case object.CallCreate:
		return s.create(now, call)
	case object.CallUpdate:
		return s.update(now, call)
	case object.CallDelete:
		return s.remove(now, call)
	default:
		return object.Reply{Code: result.Internal}
	}
}

// isRead tells whether a call has no effect on objects.
func isRead(kind object.CallKind) bool {
	return kind == object.CallGet || kind == object.CallList || kind == object.CallMachines
}

func (s *Store) get(name string) object.Reply {
	current := s.latest[name]
	if current == nil || current.deleted {
		return object.Reply{Code: result.PlatformNotFound}
	}
	return object.Reply{Code: result.OK, Object: current.object}
}

func (s *Store) list(asOf time.Duration, prefix string) object.Reply {
	reply := object.Reply{Code: result.OK, ListVersion: s.versionAt(asOf)}
	for name, current := range s.latest {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		for current != nil && current.object.Version > reply.ListVersion {
			current = current.previous
		}
		if current != nil && !current.deleted {
			reply.Objects = append(reply.Objects, current.object)
		}
	}
	slices.SortFunc(reply.Objects, func(a, b object.Object) int { return strings.Compare(a.Name, b.Name) })
	return reply
}

func (s *Store) create(now time.Duration, call object.Call) object.Reply {
	if current := s.latest[call.Name]; current != nil && !current.deleted {
		return object.Reply{Code: result.PlatformExists, Object: object.Object{Name: call.Name, Version: current.object.Version}}
	}
	return s.put(now, call)
}

func (s *Store) update(now time.Duration, call object.Call) object.Reply {
	if refusal, refused := s.checkExpected(call); refused {
		return refusal
	}
	return s.put(now, call)
}

func (s *Store) remove(now time.Duration, call object.Call) object.Reply {
	if refusal, refused := s.checkExpected(call); refused {
		return refusal
	}
	s.record(now, object.Event{Kind: object.EventDelete, Object: object.Object{Name: call.Name}})
	return object.Reply{Code: result.OK, Object: object.Object{Name: call.Name, Version: s.version}}
}

// checkExpected refuses a call on an object that is missing or at another
// version than expected.
func (s *Store) checkExpected(call object.Call) (object.Reply, bool) {
	current := s.latest[call.Name]
	if current == nil || current.deleted {
		return object.Reply{Code: result.PlatformNotFound}, true
	}
	if current.object.Version != call.Expect {
		found := object.Object{Name: call.Name, Version: current.object.Version}
		return object.Reply{Code: result.PlatformConflict, Object: found}, true
	}
	return object.Reply{}, false
}

func (s *Store) put(now time.Duration, call object.Call) object.Reply {
	if len(call.Data) > s.limits.ObjectBytes {
		return object.Reply{Code: result.PlatformTooLarge}
	}
	value := object.Object{Name: call.Name, Data: slices.Clone(call.Data)}
	s.record(now, object.Event{Kind: object.EventPut, Object: value})
	return object.Reply{Code: result.OK, Object: object.Object{Name: call.Name, Version: s.version}}
}

// record gives the change the next version, and keeps it as the object's
// latest revision and in the event log.
func (s *Store) record(now time.Duration, event object.Event) {
	s.version++
	event.Object.Version = s.version
	name := event.Object.Name
	s.latest[name] = &revision{
		at:       now,
		object:   event.Object,
		deleted:  event.Kind == object.EventDelete,
		previous: s.latest[name],
	}
	s.marks = append(s.marks, mark{at: now, version: s.version})
	s.log = append(s.log, event)
	s.logBytes += len(event.Object.Data)
	s.forget(now)
	s.trimLog()
}

// versionAt returns the object version that was current at a time.
func (s *Store) versionAt(at time.Duration) object.Version {
	for i := len(s.marks) - 1; i >= 0; i-- {
		if s.marks[i].at <= at {
			return s.marks[i].version
		}
	}
	if len(s.marks) == 0 {
		return s.version
	}
	return s.marks[0].version - 1
}

// sweepsPerHistory is how often the history is swept within its own length.
const sweepsPerHistory = 4

// forget drops superseded revisions, tombstones and marks that no list within
// the history can show. The newest mark that is old enough is kept, since it
// tells the version at the edge of the history.
func (s *Store) forget(now time.Duration) {
	if now-s.sweptAt < s.limits.History/sweepsPerHistory {
		return
	}
	s.sweptAt = now
	edge := now - s.limits.History
	drop := 0
	for drop+1 < len(s.marks) && s.marks[drop+1].at <= edge {
		drop++
	}
	s.marks = slices.Delete(s.marks, 0, drop)
	for name, newest := range s.latest {
		for old := newest; old != nil; old = old.previous {
			if old.at <= edge {
				old.previous = nil
			}
		}
		if newest.deleted && newest.at <= edge {
			delete(s.latest, name)
		}
	}
}
