package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/pause"
)

const (
	// probeTimeout bounds one probe of the back end.
	probeTimeout = time.Second
	// probePause is the time between probes of an instance that has not
	// answered.
	probePause = 300 * time.Millisecond
	// probeReadyPause is the time between looks whether the back end may be probed yet.
	probeReadyPause = 50 * time.Millisecond
	// probeLimit bounds the probes for one report.
	probeLimit = 5
)

// probeSoon asks the back end itself, unless that is being done; the lock is
// held.
func (b *backendSide) probeSoon() {
	if b.probing {
		return
	}
	b.probing = true
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		b.probe()
	}()
}

// probe asks until every report is confirmed and the warm-up is known, a few times at most.
// What is left open by then is asked again with the next report.
func (b *backendSide) probe() {
	b.probeUntilConfirmed()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.probing = false
}

// probeUntilConfirmed is probe without its mark that probing goes on.
func (b *backendSide) probeUntilConfirmed() {
	for asked := 0; asked < probeLimit; {
		wait := probeReadyPause
		if path := b.probePath(); path != "" {
			asked++
			askedAt := b.clock()
			if b.probed(askedAt, b.ask(path)) {
				return
			}
			wait = probePause
		}
		if !pause.For(b.context, wait) {
			return
		}
	}
}

// ask probes the back end once. The gate is told that it does, for a probe takes a slot there,
// and how many calls the back end holds.
func (b *backendSide) ask(path string) backend.ProbeResult {
	if b.probes != nil {
		defer b.probes()()
	}
	answer := b.settings.probe(b.settings.address, path, probeTimeout)
	if answer.TellsHeld && b.holds != nil {
		b.holds(answer.Held)
	}
	return answer
}

// probePath is where the back end is probed; empty while it may not be yet.
func (b *backendSide) probePath() string {
	if !b.settings.joined() {
		return ""
	}
	return b.settings.healthPath()
}

// probed takes an answer to what was asked at a time, and tells whether nothing is left to
// confirm.
func (b *backendSide) probed(askedAt time.Duration, answer backend.ProbeResult) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// An answer to what was asked before the back end may have become cold says nothing of that.
	answer.TellsWarmUp = answer.TellsWarmUp && askedAt >= b.doubtedAt
	b.tracker.HandleProbe(b.clock(), answer)
	b.show()
	return !b.tracker.HasCandidates() && !b.tracker.IsAssumedCold(b.clock())
}
