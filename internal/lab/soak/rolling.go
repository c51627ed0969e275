package soak

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// restartRolling restarts some daemons as planned from one machine on, each once the
// one before serves again. Machines on which another fault is in force are passed over.
func (s *soak) restartRolling(first *machine, count int) {
	begin := slices.Index(s.machines, first)
	for index := range s.machines {
		if count == 0 || s.over() {
			return
		}
		on := s.machines[(begin+index)%len(s.machines)]
		if on.take() {
			s.restartPlanned(on)
			on.release()
			count--
		}
	}
}

// restartPlanned stops one daemon, starts it again and waits until it serves.
func (s *soak) restartPlanned(on *machine) {
	s.log("rolling", on.name)
	s.disturbOne(on)
	back := s.oracle.OutOfTouch(on.name, time.Now())
	defer func() { back(time.Now()) }()
	s.stop(on)
	s.awaitStopped(on)
	s.restart(on)
	bounded, cancel := context.WithTimeout(context.Background(), rollingWait)
	defer cancel()
	s.awaitServing(bounded, on, fmt.Sprint("rolling ", on.startName()))
	s.disturbOne(on)
}

// restart starts a daemon again.
func (s *soak) restart(on *machine) {
	if err := on.start(); err != nil {
		s.oracle.Never(err.Error())
	}
}

// replaceUpstream ends an upstream and starts a new instance in its place.
func (s *soak) replaceUpstream(on *machine) {
	s.crash(on)
	s.startAgain(on)
}

// startAgain starts a new instance at the address of the one before.
func (s *soak) startAgain(on *machine) {
	if err := s.startUpstream(on); err != nil {
		s.oracle.Never(err.Error())
	}
}
