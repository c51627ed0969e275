package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/pause"
)

const (
	// probeTimeout limits the time of one probe of the back end.
	probeTimeout = time.Second
	// probeRetryInterval is the time from the result of a probe to the next probe, if a start or the
	// warm-up state is still unconfirmed.
	probeRetryInterval = 300 * time.Millisecond
	// probeReadyInterval is the time between checks whether the back end may be probed yet.
	probeReadyInterval = 50 * time.Millisecond
	// maxProbesPerReport is the maximum number of probes for one report.
	maxProbesPerReport = 5
)

// startProbing starts probes of the back end, unless they are already running; the lock is held.
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

// runProbes sends probes until no reported start awaits confirmation and the warm-up state is known,
// but at most maxProbesPerReport. If these do not suffice, a later report starts new probes.
func (b *backendMonitor) runProbes() {
	b.probeUntilConfirmed()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.probing = false
}

// probeUntilConfirmed runs the loop of runProbes, without resetting probing.
func (b *backendMonitor) probeUntilConfirmed() {
	for probeCount := 0; probeCount < maxProbesPerReport; {
		wait := probeReadyInterval
		if path := b.probePath(); path != "" {
			probeCount++
			sentAt := b.clock()
			if b.handleProbe(sentAt, b.probeOnce(path)) {
				return
			}
			wait = probeRetryInterval
		}
		if !pause.For(b.context, wait) {
			return
		}
	}
}

// probeOnce probes the back end once. The gate is notified of the start and the end of the probe,
// because the probe occupies a slot, and of the number of calls that the back end reports in its
// answer.
func (b *backendMonitor) probeOnce(path string) backend.ProbeResult {
	if b.beginProbe != nil {
		defer b.beginProbe()()
	}
	result := b.config.prober(b.config.address, path, probeTimeout)
	if result.TellsHeld && b.setReportedCalls != nil {
		b.setReportedCalls(result.Held)
	}
	return result
}

// probePath returns the path of probes. It is empty before the daemon has joined the mesh, while the
// back end must not be probed, and while the path is unknown.
func (b *backendMonitor) probePath() string {
	if !b.config.knowsPeersAndOrders() {
		return ""
	}
	return b.config.healthPath()
}

// handleProbe processes the result of a probe sent at sentAt, and reports whether no reported start
// awaits confirmation and the warm-up state is known.
func (b *backendMonitor) handleProbe(sentAt time.Duration, result backend.ProbeResult) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// The result of a probe sent before the back end may have become cold does not show whether
	// it did.
	result.TellsWarmUp = result.TellsWarmUp && sentAt >= b.possiblyColdSince
	b.tracker.HandleProbeResult(b.clock(), result)
	b.publishView()
	return !b.tracker.HasCandidates() && !b.tracker.IsAssumedCold(b.clock())
}
