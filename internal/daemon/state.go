package daemon

import (
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// State is what a shell has seen of its node.
type State struct {
	// Version and Digest are of the snapshot in force; 0 and empty when none.
	Version protocol.Version
	Digest  resource.Digest
	// Resources is how many resources the snapshot holds.
	Resources int
	// Serving is set while the serving lease runs.
	Serving bool
	// Members is how many member records the data path last got.
	Members int
	// Steps and StepTime are the node's steps and the time spent in them.
	Steps    uint64
	StepTime time.Duration
	// PlatformCalls counts calls and watches sent to the platform.
	PlatformCalls uint64
	// PeerFailures counts calls to peers that got no answer.
	PeerFailures uint64
}

// Ready reports that the daemon may serve: it has a snapshot, which the node
// puts in force only at or above its floor, and its lease runs.
func (s State) Ready() bool { return s.Version > 0 && s.Serving }

// shellState is the atomic form of State.
type shellState struct {
	current       atomic.Pointer[snapshot.Snapshot]
	servingUntil  atomic.Int64
	members       atomic.Int64
	lastStep      atomic.Int64
	steps         atomic.Uint64
	stepTime      atomic.Int64
	platformCalls atomic.Uint64
	peerFailures  atomic.Uint64
}

func (s *shellState) stepped(now, took time.Duration) {
	s.lastStep.Store(int64(now))
	s.steps.Add(1)
	s.stepTime.Add(int64(took))
}

func (s *shellState) lastStepAt() time.Duration { return time.Duration(s.lastStep.Load()) }

func (s *shellState) swapped(next *snapshot.Snapshot) { s.current.Store(next) }

func (s *shellState) extend(until time.Duration) { s.servingUntil.Store(int64(until)) }

func (s *shellState) load(now time.Duration) State {
	state := State{
		Serving:       int64(now) < s.servingUntil.Load(),
		Members:       int(s.members.Load()),
		Steps:         s.steps.Load(),
		StepTime:      time.Duration(s.stepTime.Load()),
		PlatformCalls: s.platformCalls.Load(),
		PeerFailures:  s.peerFailures.Load(),
	}
	if current := s.current.Load(); current != nil {
		state.Version = current.Version
		state.Digest = current.Digest
		state.Resources = len(current.Encoded)
	}
	return state
}
