package soak

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/platform/standin"
)

const (
	// oldestCopy is how old the copy of the store is at most that it comes back from.
	oldestCopy = 4 * time.Second
	// longestAway is how long the store is away at most before it comes back.
	longestAway = time.Second
	// longestRewrite is how long after that the operator takes at most to write again what the
	// store has lost.
	longestRewrite = 1500 * time.Millisecond
	// registeredBound is how long after all is healed a lost registration may be missing.
	registeredBound = 5 * time.Second
)

// restoreStore has the store come back from a copy of now, after a while in which it goes on and a
// moment in which it is away. Then the operator writes again what was lost; nothing is left to undo.
func (s *soak) restoreStore(_ *machine, random *rand.Rand) func() {
	backup := s.store.Copy()
	s.sleepUnlessOver(time.Duration(random.Int64N(int64(oldestCopy))))
	away := refusals[random.IntN(len(refusals))]
	s.setStoreFaults(away)
	s.disturbAll()
	time.Sleep(time.Duration(random.Int64N(int64(longestAway))))
	s.operator.Lock()
	s.store.Restore(backup)
	s.setStoreFaults(standin.Faults{})
	s.operator.Unlock()
	s.disturbAll()
	time.Sleep(time.Duration(random.Int64N(int64(longestRewrite))))
	s.writeAgain()
	return nil
}

// disturbAll notes that no machine is held to a time for a while: the store has just failed them.
func (s *soak) disturbAll() {
	for _, on := range s.machines {
		s.disturbOne(on)
	}
}

func (s *soak) setStoreFaults(faults standin.Faults) {
	for _, server := range s.servers {
		server.SetFaults(faults)
	}
}

// writeAgain writes what the operator has written last and the store may have lost.
func (s *soak) writeAgain() {
	s.operator.Lock()
	defer s.operator.Unlock()
	s.store.Operate(s.newestConfiguration)
	for _, zone := range lo.Uniq(lo.Map(s.machines, func(on *machine, _ int) string { return on.zone })) {
		s.writeOrder(zone)
	}
}

// order writes the order to empty a zone, or removes it.
func (s *soak) order(zone string, empty bool) {
	s.operator.Lock()
	defer s.operator.Unlock()
	s.ordered[zone] = empty
	s.writeOrder(zone)
}

// writeOrder has the store hold the order to empty a zone, or not, as the operator wants; the
// operator's lock is held.
func (s *soak) writeOrder(zone string) {
	if s.ordered[zone] {
		s.store.Evacuate(zone)
		return
	}
	s.store.TakeBack(zone)
}

// awaitRegistered waits until the store holds the registrations of all daemons.
func (s *soak) awaitRegistered() {
	deadline := time.Now().Add(registeredBound)
	for _, on := range s.machines {
		for !s.store.Registered(on.name) {
			if time.Now().After(deadline) {
				s.oracle.Never(on.name + " is not registered at the end")
				break
			}
			time.Sleep(claimPause)
		}
	}
}

// silenceAll makes connections of all machines that are open fall silent for good.
func silenceAll(alsoPeers bool) func(*soak, *machine, *rand.Rand) func() {
	return func(s *soak, _ *machine, _ *rand.Rand) func() {
		for _, on := range s.machines {
			on.store.Silence()
			if alsoPeers {
				on.control.Silence()
				on.gate.Silence()
			}
		}
		return nil
	}
}
