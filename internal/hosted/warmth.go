package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// coldWord is what the gate is told of a warm-up: of which start, and until when, on the clock,
// that is cold; 0 when it is warm.
type coldState struct {
	start protocol.BackendStart
	until time.Duration
}

// showWarmth tells the gate until when the back end is cold if it does not know yet, and before
// it is opened to the start; the lock is held.
func (b *backendMonitor) updateGateWarmth(view backend.View) {
	next := coldState{start: view.Start, until: view.ColdUntil}
	if next == b.reportedCold {
		return
	}
	if wasCold := b.reportedCold.until > 0; wasCold != (next.until > 0) {
		b.events.event("backend_warmth", field("instance", view.Start.Instance),
			field("cold_ms", formatMillis(max(next.until-b.clock(), 0))))
	}
	b.reportedCold = next
	b.setColdUntil(next.until)
}

// confirmWarmth is called where the back end may have become cold unseen. It counts as cold, for
// as long as its service says, until it has answered a probe that is asked from now on. It is
// probed at once, or with its first report where none is known yet. It does not block.
func (b *backendMonitor) assumeCold() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.assumeColdLocked()
	b.publishView()
}

// doubtWarmth is confirmWarmth with the lock held; it shows nothing.
func (b *backendMonitor) assumeColdLocked() {
	b.possiblyColdSince = b.clock()
	b.tracker.AssumeCold(b.possiblyColdSince, b.config.warmUpTime())
	if b.tracker.IsAssumedCold(b.clock()) {
		b.startProbing()
	}
}

// warmUp is how long the back ends of a service are cold after a start; 0 while that is not
// known.
func (c *configurationFollower) warmUp(service resource.ServiceRef) time.Duration {
	built := c.currentSnapshot.Load()
	if built == nil {
		return 0
	}
	return built.Services[service].WarmUp.Duration
}
