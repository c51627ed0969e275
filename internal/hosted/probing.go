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
	probeRetryInterval = 300 * time.Millisecond
	// probeReadyPause is the time between looks whether the back end may be probed yet.
	probeReadyInterval = 50 * time.Millisecond
	// probeLimit bounds the probes for one report.
	maxProbesPerReport = 5
)

// probeSoon asks the back end itself, unless that is being done; the lock is
// held.
func (b *backendMonitor) startProbing() {
	if b.probing {
		return
	}
	b.probing = true
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		b.runProbes()
	}()
}

// probe asks until every report is confirmed and the warm-up is known, a few times at most.
// What is left open by then is asked again with the next report.
func (b *backendMonitor) runProbes() {
	b.probeUntilConfirmed()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.probing = false
}

// probeUntilConfirmed is probe without its mark that probing goes on.
func (b *backendMonitor) probeUntilConfirmed() {
	for asked := 0; asked < maxProbesPerReport; {
		wait := probeReadyInterval
		if path := b.probePath(); path != "" {
			asked++
			askedAt := b.clock()
			if b.handleProbe(askedAt, b.probeOnce(path)) {
				return
			}
			wait = probeRetryInterval
		}
		if !pause.For(b.context, wait) {
			return
		}
	}
}

// ask probes the back end once. The gate is told that it does, for a probe takes a slot there,
// and how many calls the back end holds.
func (b *backendMonitor) probeOnce(path string) backend.ProbeResult {
	if b.beginProbe != nil {
		defer b.beginProbe()()
	}
	answer := b.config.prober(b.config.address, path, probeTimeout)
	if answer.TellsHeld && b.setReportedCalls != nil {
		b.setReportedCalls(answer.Held)
	}
	return answer
}

// probePath is where the back end is probed; empty while it may not be yet.
func (b *backendMonitor) probePath() string {
	if !b.config.hasJoinedMesh() {
		return ""
	}
	return b.config.healthPath()
}

// probed takes an answer to what was asked at a time, and tells whether nothing is left to
// confirm.
func (b *backendMonitor) handleProbe(askedAt time.Duration, answer backend.ProbeResult) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// An answer to what was asked before the back end may have become cold says nothing of that.
	answer.TellsWarmUp = answer.TellsWarmUp && askedAt >= b.possiblyColdSince
	b.tracker.HandleProbe(b.clock(), answer)
	b.publishView()
	return !b.tracker.HasCandidates() && !b.tracker.IsAssumedCold(b.clock())
}
