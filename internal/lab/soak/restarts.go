package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/platform/standin"
)

const (
	// workBound is within what time of its start an upstream gets work again, where its
	// daemon is in touch and clients call.
	workBound = 4 * time.Second
	// clockBound is the same for one whose clock told an absurd time before: eight
	// heartbeats and a probe more.
	clockBound = workBound + 9*heartbeat
	// powerBound is within what time of the last start a mesh whose machines all lost power
	// serves again.
	powerBound = 10 * time.Second
	// workWaits is how many times the bound an upstream is watched at most.
	workWaits = 3
	// workPoll is how often an upstream's first work is looked for.
	workPoll = 20 * time.Millisecond
	// absurdAhead is how far ahead of the clock an absurd start is.
	absurdAhead = 5 * time.Hour
	// mostLate is how many late heartbeats of an earlier start come.
	mostLate = 4

	promiseOfWork  = "a back end that works gets work"
	promiseOfPower = "a mesh that lost power serves again"
	promiseOfSense = "strange reports are refused"
)

// startUnderName starts the upstream of a machine again under its name, and has heartbeats of
// the earlier start come late.
func (s *soak) startUnderName(on *machine, random *rand.Rand) {
	earlier := on.currentUpstream()
	if err := s.startInstance(on, earlier.Instance, earlier.Born); err != nil {
		s.oracle.Never(err.Error())
		return
	}
	s.log("restarted", fmt.Sprintf("%s at %s", earlier.Instance, on.name))
	s.oracle.Restarted()
	s.sendLate(on, earlier, random)
}

// sendLate has heartbeats and the leave of an ended start come late, and a heartbeat of another
// service's upstream that had the address before.
func (s *soak) sendLate(on *machine, earlier *standin.Upstream, random *rand.Rand) {
	for range random.IntN(mostLate + 1) {
		earlier.SendLate([]string{"ready", "draining"}[random.IntN(2)], random.Uint64N(1000)+1)
	}
	if random.IntN(2) == 0 {
		earlier.Leave()
	}
	if random.IntN(2) == 0 {
		foreign := earlier.Foreign("foreign-"+on.name, "another")
		s.judgeStrange(foreign.SendLate("ready", 1), "of another service at "+on.name)
	}
}

// judgeStrange judges the status that a strange report got; 0 is none.
func (s *soak) judgeStrange(status int, what string) {
	if status != 0 {
		s.oracle.Refused(!standin.Acknowledged(status), what)
	}
}

// awaitWork holds an upstream to get work within a bound of its start, or of the time at which
// the last thing was undone that kept work away.
func (s *soak) awaitWork(on *machine, within time.Duration) {
	upstream := on.currentUpstream()
	start, began := startOf(upstream.Instance, upstream.Born), time.Now()
	free := began
	for time.Since(began) < workWaits*within {
		now := time.Now()
		switch {
		case s.oracle.WorkedSince(start, began):
			s.oracle.Worked(now)
			return
		case upstream.HasEnded() || s.over() || now.After(s.ends):
			return
		case !s.oracle.MayWork(on.name, now):
			free = now
		case now.Sub(free) > within:
			s.oracle.NoWork(on.name, start, free, now)
			return
		}
		time.Sleep(workPoll)
	}
}

// losePower ends all daemons and upstreams at once, waits and starts them again, cold, and
// holds the mesh to serve again. In half of all cases a zone is emptied meanwhile. Harmful
// requests wait.
func (s *soak) losePower(on *machine, random *rand.Rand) {
	s.setPowerAway(true)
	defer s.setPowerAway(false)
	for _, each := range s.machines {
		for !each.take() {
			time.Sleep(claimPause)
		}
		healed := s.oracle.Harmed(each.name, time.Now())
		defer func() { healed(time.Now()) }()
	}
	back := s.allOutOfTouch()
	emptied := random.IntN(2) == 0 && s.claimZone(on.zone)
	for _, each := range s.machines {
		each.signal(syscall.SIGKILL)
	}
	for _, each := range s.machines {
		s.crash(each)
		each.awaitEnd()
	}
	time.Sleep(faultTime/4 + time.Duration(random.Int64N(int64(faultTime))))
	if emptied {
		s.orderEmpty(on.zone)
	}
	falls := s.oracle.Falls()
	s.powerUp(random)
	back()
	s.awaitPower(falls)
	if emptied {
		s.sleepUnlessOver(evacuationBound)
		s.takeBack(on.zone)
		s.releaseZone(on.zone)
	}
}

// allOutOfTouch notes that no daemon is in touch, until what it returns is called.
func (s *soak) allOutOfTouch() (back func()) {
	var each []func(time.Time)
	for _, on := range s.machines {
		each = append(each, s.oracle.OutOfTouch(on.name, time.Now()))
	}
	return func() {
		for _, one := range each {
			one(time.Now())
		}
	}
}

// powerUp starts all machines again.
func (s *soak) powerUp(random *rand.Rand) {
	var starting sync.WaitGroup
	sameNames := random.IntN(2) == 0
	for _, each := range s.machines {
		picks := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		starting.Add(1)
		go func() {
			defer starting.Done()
			s.restart(each)
			if sameNames {
				s.startUnderName(each, picks)
				return
			}
			s.startAgain(each)
		}()
	}
	starting.Wait()
	for _, each := range s.machines {
		each.release()
	}
}

// awaitPower holds each machine to serve within the bound, and no back end to have fallen over
// beside those that had before.
func (s *soak) awaitPower(fallsBefore int) {
	for on, asked := range s.awaitAll(powerBound, "power") {
		if !asked.serves {
			s.oracle.Dark(fmt.Sprintf("%s does not serve version %d %s after its start; %s", on.name, asked.version, powerBound, asked))
		}
	}
	s.oracle.PowerIsBack(s.oracle.Falls()-fallsBefore, time.Now())
}

// Restarted counts a start under a name that had been there before.
func (o *Oracle) Restarted() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.restarts++
}

// WorkedSince tells whether a start of an upstream ran a request since a time.
func (o *Oracle) WorkedSince(start string, since time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.worked[start].After(since)
}

// Worked notes that an upstream got work again in time.
func (o *Oracle) Worked(at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.exercised(promiseOfWork, at)
}

// MayWork tells whether nothing keeps work away from a machine: its zone is not to be empty,
// and nothing is done to its daemon or its links.
func (o *Oracle) MayWork(machine string, at time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, emptied := o.emptied[o.zones[machine]]
	return !emptied && !o.awayBetween(machine, at.Add(-workPoll), at)
}

// awayBetween tells whether something was done to a machine's daemon or its links in a time;
// the lock is held.
func (o *Oracle) awayBetween(machine string, from, to time.Time) bool {
	return lo.SomeBy(o.away[machine], func(away *span) bool { return away.overlaps(from, to) })
}

// NoWork judges a start of an upstream that ran nothing from one time to another.
func (o *Oracle) NoWork(machine, start string, from, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, emptied := o.emptied[o.zones[machine]]
	if emptied || o.awayBetween(machine, from, at) || o.takenBack[o.zones[machine]].After(from) {
		return
	}
	o.exercised(promiseOfWork, at)
	o.violateTimed(promiseOfWork, "%s on %s got none in %s", start, machine, at.Sub(from))
}

// Refused judges what came of a strange report.
func (o *Oracle) Refused(refused bool, what string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.exercised(promiseOfSense, time.Now())
	if !refused {
		o.violate(promiseOfSense, "one %s was taken", what)
	}
}

// Dark judges a machine that does not serve after a loss of power.
func (o *Oracle) Dark(what string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.violateTimed(promiseOfPower, "%s", what)
}

// PowerIsBack judges how many upstreams fell over until all machines served again.
func (o *Oracle) PowerIsBack(falls int, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.exercised(promiseOfPower, at)
	if falls > 0 {
		o.violateTimed(promiseOfPower, "%d back ends fell over after it", falls)
	}
}
