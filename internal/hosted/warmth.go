package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// warmthState is the warm-up state of the back end as it is reported to the gate: the start, and the
// time on the daemon's clock until which that start is cold; 0 if it is warm.
type warmthState struct {
	start protocol.BackendStart
	until time.Duration
}

// updateGateWarmth notifies the gate of the time until which the back end is cold, if that has
// changed. It is called before the gate accepts calls for a start. The lock is held.
func (b *backendMonitor) updateGateWarmth(view backend.View) {
	state := warmthState{start: view.Start, until: view.ColdUntil}
	if state == b.reportedWarmth {
		return
	}
	if wasCold := b.reportedWarmth.until > 0; wasCold != (state.until > 0) {
		b.events.event("backend_warmth", field("instance", view.Start.Instance),
			field("cold_ms", formatMillis(max(state.until-b.clock(), 0))))
	}
	b.reportedWarmth = state
	b.setColdUntil(state.until)
}

// assumeCold is called when the back end may have become cold unnoticed. The back end counts as cold
// for the warm-up time of its service, unless a probe that is sent from now on shows otherwise. It
// is probed at once or, if it has sent no report yet, after its first report. assumeCold does not
// block.
func (b *backendMonitor) assumeCold() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.assumeColdLocked()
	b.publishView()
}

// assumeColdLocked is assumeCold with the lock held. It does not notify the gate and the mesh.
func (b *backendMonitor) assumeColdLocked() {
	b.possiblyColdSince = b.clock()
	b.tracker.AssumeCold(b.possiblyColdSince, b.config.warmUpTime())
	if b.tracker.IsAssumedCold(b.clock()) {
		b.startProbing()
	}
}

// warmUp returns how long the back ends of a service are cold after a start; 0 while that is unknown.
func (c *configurationFollower) warmUp(service resource.ServiceRef) time.Duration {
	current := c.currentSnapshot.Load()
	if current == nil {
		return 0
	}
	return current.Services[service].WarmUp.Duration
}
