package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/platform/standin"
)

const (
	// evacuationBound is the bound of the daemons' settings on an order's way.
	evacuationBound = 3 * time.Second
	// contactTime is how long nothing may have been done to a daemon or its links for it to
	// be in touch.
	contactTime = 3 * time.Second
	// promiseOfZones is the promise of evacuations.
	promiseOfZones = "an emptied zone gets nothing"
	// mostRepeats is how often an order is withdrawn and made again within the bound.
	mostRepeats = 3
)

// evacuateZone has the zone of a machine emptied, in half of all cases after orders that were
// withdrawn within the bound; what it returns takes the zone back. Where the zone is emptied
// already it does nothing.
func (s *soak) evacuateZone(on *machine, random *rand.Rand) func() {
	if !s.claimZone(on.zone) {
		return nil
	}
	for range random.IntN(2) * (1 + random.IntN(mostRepeats)) {
		s.orderEmpty(on.zone)
		time.Sleep(time.Duration(random.Int64N(int64(evacuationBound / 4))))
		s.takeBack(on.zone)
		time.Sleep(time.Duration(random.Int64N(int64(evacuationBound / 4))))
	}
	s.orderEmpty(on.zone)
	turnsCold := random.IntN(2) == 0
	longer := evacuationBound * time.Duration(random.IntN(3))
	return func() {
		s.sleepUnlessOver(longer)
		if turnsCold {
			s.turnZoneCold(on.zone)
		}
		s.takeBack(on.zone)
		s.releaseZone(on.zone)
	}
}

// orderEmpty writes the order to empty a zone.
func (s *soak) orderEmpty(zone string) {
	s.order(zone, true)
	s.oracle.Evacuated(zone, time.Now())
	s.log("evacuated", zone)
}

// takeBack removes the order to empty a zone.
func (s *soak) takeBack(zone string) {
	s.oracle.TakenBack(zone)
	s.order(zone, false)
	s.log("withdrawn", zone)
}

// turnZoneCold has the upstreams of an emptied zone turn cold before any of them tells.
func (s *soak) turnZoneCold(zone string) {
	emptied := s.oracle.EmptyFor(zone, time.Now()) > evacuationBound
	for _, on := range s.machines {
		if on.zone != zone {
			continue
		}
		if emptied {
			on.currentUpstream().TurnColdAtOnce(coldTime)
		} else {
			on.currentUpstream().TurnCold(coldTime)
		}
	}
}

// claimZone claims a zone for an order; false when one is in force.
func (s *soak) claimZone(zone string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slices.Contains(s.emptied, zone) {
		return false
	}
	s.emptied = append(s.emptied, zone)
	return true
}

func (s *soak) releaseZone(zone string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.emptied = lo.Without(s.emptied, zone)
}

// sleepUnlessOver waits, and no longer than harm is done.
func (s *soak) sleepUnlessOver(wait time.Duration) {
	for end := time.Now().Add(wait); time.Now().Before(end) && !s.over(); {
		time.Sleep(claimPause)
	}
}

// PlacedIn notes in which zone a machine is.
func (o *Oracle) PlacedIn(machine, zone string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.zones[machine] = zone
}

// Evacuated notes that the store has answered the order to empty a zone.
func (o *Oracle) Evacuated(zone string, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.emptied[zone] = at
	o.evacuations++
}

// TakenBack notes that the order to empty a zone is about to be removed.
func (o *Oracle) TakenBack(zone string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.emptied, zone)
	o.takenBack[zone] = time.Now()
}

// EmptyFor is how long a zone has been ordered to be empty; 0 where it is not.
func (o *Oracle) EmptyFor(zone string, at time.Time) time.Duration {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if since, emptied := o.emptied[zone]; emptied {
		return at.Sub(since)
	}
	return 0
}

// OutOfTouch notes that something is done to a machine's daemon or its links, until what it
// returns is called.
func (o *Oracle) OutOfTouch(machine string, from time.Time) (back func(until time.Time)) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	away := &span{from: from}
	o.away[machine] = append(o.away[machine], away)
	return func(until time.Time) {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		away.until = until
	}
}

// inTouch tells whether nothing was done to a machine's daemon or its links for contactTime;
// the lock is held.
func (o *Oracle) inTouch(machine string, at time.Time) bool {
	return !o.awayBetween(machine, at.Add(-contactTime), at)
}

// checkZone judges an arrival, run or not; the lock is held. The entry must be in touch. The
// gate must be, too, for a request that was under way as the bound passed: it may come from a
// gate that stood still.
func (o *Oracle) checkZone(request Request, arrival standin.Arrival) {
	if len(o.emptied) == 0 || !o.inTouch(request.Machine, arrival.At) {
		return
	}
	gate := o.hosts[arrival.Instance]
	o.exercisedZones(arrival.At)
	since, emptied := o.emptied[o.zones[gate]]
	if !emptied || !o.inTouch(gate, arrival.At) && request.SentAt.Sub(since) <= evacuationBound {
		return
	}
	o.latest = max(o.latest, arrival.At.Sub(since))
	if arrival.At.Sub(since) > evacuationBound {
		o.violateTimed(promiseOfZones, "%s reached %s in %s, %s after the order", request.ID, arrival.Instance, o.zones[gate], arrival.At.Sub(since))
	}
}

// exercisedZones counts a choice of a daemon in touch that an order past its bound binds.
func (o *Oracle) exercisedZones(at time.Time) {
	for _, since := range o.emptied {
		if at.Sub(since) > evacuationBound {
			o.exercised(promiseOfZones, at)
			return
		}
	}
}
