package standin

import (
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

// trimLog keeps the event log within its limits.
func (s *Store) trimLog() {
	for len(s.log) > s.limits.LogEvents || s.logBytes > s.limits.LogBytes {
		s.dropOldest()
	}
}

// dropOldest removes the oldest event; a watch can't start before it any more.
func (s *Store) dropOldest() {
	oldest := s.log[0]
	s.compacted = oldest.Object.Version
	s.logBytes -= len(oldest.Object.Data)
	s.log[0] = object.Event{}
	s.log = s.log[1:]
}

// Compact drops all events up to and including a version.
func (s *Store) Compact(through object.Version) {
	for len(s.log) > 0 && s.log[0].Object.Version <= through {
		s.dropOldest()
	}
}

// Events returns the events under prefix after version from, oldest first, and
// the version up to which they are complete. The code is PlatformCompacted when
// some of them are no longer known, and OK otherwise.
func (s *Store) Events(prefix string, from object.Version) ([]object.Event, object.Version, result.Code) {
	if from < s.compacted {
		return nil, from, result.PlatformCompacted
	}
	start, _ := slices.BinarySearchFunc(s.log, from+1, func(event object.Event, version object.Version) int {
		return int(int64(event.Object.Version) - int64(version))
	})
	var events []object.Event
	for _, event := range s.log[start:] {
		if strings.HasPrefix(event.Object.Name, prefix) {
			events = append(events, event)
		}
	}
	return events, max(from, s.version), result.OK
}

// Recent returns up to count of the newest known events under prefix at or
// before a version, oldest first. Faults replay them.
func (s *Store) Recent(prefix string, through object.Version, count int) []object.Event {
	var events []object.Event
	for i := len(s.log) - 1; i >= 0 && len(events) < count; i-- {
		event := s.log[i]
		if event.Object.Version <= through && strings.HasPrefix(event.Object.Name, prefix) {
			events = append(events, event)
		}
	}
	slices.Reverse(events)
	return events
}

// SetMachines replaces the machine list.
func (s *Store) SetMachines(now time.Duration, machines []object.Machine) {
	list := machineList{at: now, version: s.version, machines: slices.Clone(machines)}
	s.machines = append(s.machines, list)
	edge := now - s.limits.History
	for len(s.machines) > 1 && s.machines[1].at <= edge {
		s.machines = s.machines[1:]
	}
}

// machineList answers with the list as it was at a time.
func (s *Store) machineList(asOf time.Duration) object.Reply {
	reply := object.Reply{Code: result.OK}
	for _, list := range s.machines {
		if list.at > asOf {
			break
		}
		reply.ListVersion = list.version
		reply.Machines = list.machines
	}
	reply.Machines = slices.Clone(reply.Machines)
	return reply
}
