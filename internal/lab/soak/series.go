package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/pause"
)

const (
	// faultPause is the mean time between two faults or series of faults, faultTime
	// the mean time that one lasts.
	faultPause = 1200 * time.Millisecond
	faultTime  = 2 * time.Second
	// longestSeries is how many faults follow each other closely at most.
	longestSeries = 4
	// unplannedAtATime bounds the faults that are in force at a time and were not
	// planned.
	unplannedAtATime = 2
	// downShare bounds the machines whose daemons are down at a time as planned: one
	// in so many.
	downShare = 3
)

// seriesGaps are the times between two faults of a series.
var seriesGaps = []time.Duration{0, 10 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond}

// drawn is a fault that was drawn, with all that is random about it.
type drawn struct {
	fault
	on     *machine
	random *rand.Rand
	lasts  time.Duration
}

// inForce counts the faults in force.
type inForce struct {
	mutex     sync.Mutex
	unplanned int
	down      int
	everyone  bool
	rolling   bool
	// powerAway says that all machines have lost power and do not serve yet.
	powerAway bool
	over      bool
	working   sync.WaitGroup
}

// harm draws faults, single ones and series, until the context ends, and then
// waits until all of it is undone.
func (s *soak) harm(ctx context.Context) {
	for pause.For(ctx, faultPause/2+time.Duration(s.random.Int64N(int64(faultPause)))) {
		s.series(ctx)
	}
	s.inForce.mutex.Lock()
	s.inForce.over = true
	s.inForce.mutex.Unlock()
	s.inForce.working.Wait()
}

// setPowerAway says whether the mesh is without power, and powerIsAway tells it.
func (s *soak) setPowerAway(away bool) {
	s.inForce.mutex.Lock()
	defer s.inForce.mutex.Unlock()
	s.inForce.powerAway = away
}

func (s *soak) powerIsAway() bool {
	s.inForce.mutex.Lock()
	defer s.inForce.mutex.Unlock()
	return s.inForce.powerAway
}

// over tells whether no further harm is to be done.
func (s *soak) over() bool {
	s.inForce.mutex.Lock()
	defer s.inForce.mutex.Unlock()
	return s.inForce.over
}

// series begins one fault in half of all cases, else some that overlap.
func (s *soak) series(ctx context.Context) {
	length := 1
	if s.random.IntN(2) == 0 {
		length = 2 + s.random.IntN(longestSeries-1)
	}
	for range length {
		one := s.draw()
		if one.alone {
			s.inForce.working.Wait()
			if ctx.Err() == nil {
				s.carryOut(ctx, one)
			}
			continue
		}
		if s.admit(one) {
			s.inForce.working.Add(1)
			go func() {
				defer s.inForce.working.Done()
				defer s.dismiss(one)
				s.carryOut(ctx, one)
			}()
		}
		pause.For(ctx, seriesGaps[s.random.IntN(len(seriesGaps))])
	}
}

// kinds are the kinds of faults that are drawn.
func (s *soak) kinds() []fault {
	if !s.options.Planned {
		return faults
	}
	return lo.Filter(faults, func(one fault, _ int) bool { return one.planned })
}

// draw draws a fault by weight, and a machine.
func (s *soak) draw() drawn {
	kinds := s.kinds()
	point := s.random.IntN(lo.SumBy(kinds, func(one fault) int { return one.weight }))
	chosen := drawn{
		on:     s.machines[s.random.IntN(len(s.machines))],
		random: rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64())),
		lasts:  faultTime/4 + time.Duration(s.random.Int64N(int64(faultTime*3/2))),
	}
	for _, one := range kinds {
		if point < one.weight {
			chosen.fault = one
			return chosen
		}
		point -= one.weight
	}
	panic(fmt.Sprint("no fault at ", point)) // the weights add up
}

// admit tells whether a fault may come in force beside those that are, and counts
// it if so.
func (s *soak) admit(one drawn) bool {
	now := &s.inForce
	now.mutex.Lock()
	defer now.mutex.Unlock()
	switch {
	case !one.planned && now.unplanned >= unplannedAtATime,
		one.everyone && now.everyone,
		one.rolls && now.rolling,
		one.stops && now.down >= max(1, len(s.machines)/downShare),
		!one.beside && !one.on.take():
		return false
	}
	now.count(one, 1)
	return true
}

// dismiss ends what admit began.
func (s *soak) dismiss(one drawn) {
	s.inForce.mutex.Lock()
	s.inForce.count(one, -1)
	s.inForce.mutex.Unlock()
	if !one.beside {
		one.on.release()
	}
}

// count adds a fault to those in force or takes it off; the lock is held.
func (f *inForce) count(one drawn, by int) {
	if !one.planned {
		f.unplanned += by
	}
	if one.stops {
		f.down += by
	}
	if one.everyone {
		f.everyone = by > 0
	}
	if one.rolls {
		f.rolling = by > 0
	}
}

// carryOut does harm, waits and undoes it.
func (s *soak) carryOut(ctx context.Context, one drawn) {
	s.log("fault", one.name+" "+one.on.name)
	s.mutex.Lock()
	s.faults++
	s.mutex.Unlock()
	s.disturb(one)
	undone := s.oracle.Begun(one.name)
	defer func() { undone(time.Now()) }()
	back := s.loseTouch(one)
	defer back()
	if !one.planned && !one.everyone && !one.quiet {
		healed := s.oracle.Harmed(one.on.name, time.Now())
		defer func() { healed(time.Now()) }()
	}
	undo := one.harm(s, one.on, one.random)
	s.disturb(one)
	if undo == nil {
		return
	}
	pause.For(ctx, one.lasts)
	undo()
	s.disturb(one)
	s.log("healed", one.name+" "+one.on.name)
}

// disturb notes that a machine is held to no time for a while. What reaches
// others through it concerns them too.
func (s *soak) disturb(one drawn) {
	if one.quiet {
		return
	}
	for _, machine := range s.concerned(one) {
		s.disturbOne(machine)
	}
}

// concerned are the machines that a fault concerns.
func (s *soak) concerned(one drawn) []*machine {
	if one.everyone {
		return s.machines
	}
	return []*machine{one.on}
}

// loseTouch notes that daemons are not in touch, until what it returns is called.
func (s *soak) loseTouch(one drawn) (back func()) {
	if one.quiet || one.apart || one.rolls {
		return func() {}
	}
	var each []func(time.Time)
	for _, machine := range s.concerned(one) {
		each = append(each, s.oracle.OutOfTouch(machine.name, time.Now()))
	}
	return func() {
		for _, one := range each {
			one(time.Now())
		}
	}
}

func (s *soak) disturbOne(on *machine) { s.oracle.Disturbed(on.name, time.Now()) }
