package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// toldCold is what the gate was last told: of which start, and until when it is cold.
type toldCold struct {
	start protocol.BackendStart
	until time.Duration
}

// showWarmth tells the gate where it does not know yet until when the back end is cold. It
// comes before the gate is opened; the lock is held.
func (b *backendSide) showWarmth(view backend.View) {
	next := toldCold{start: view.Start, until: view.ColdUntil}
	if next == b.toldCold {
		return
	}
	if wasCold := b.toldCold.until > 0; wasCold != (next.until > 0) {
		b.events.event("backend_warmth", field("instance", view.Start.Instance),
			field("cold_ms", milliseconds(max(next.until-b.clock(), 0))))
	}
	b.toldCold = next
	b.cold(next.until)
}

// confirmWarmth has the back end count as cold, for as long as its service says, until it was
// asked and has said otherwise; it is asked at once. It is called where the back end may have
// become cold unseen, and does not block. A back end that is not known yet is asked when it
// first reports.
func (b *backendSide) confirmWarmth() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.doubtWarmth()
	b.show()
}

// doubtWarmth is confirmWarmth with the lock held; it shows nothing.
func (b *backendSide) doubtWarmth() {
	b.doubtedAt = b.clock()
	b.tracker.AssumeCold(b.doubtedAt, b.settings.warmUp())
	if b.tracker.AwaitsWarmth(b.clock()) {
		b.probeSoon()
	}
}

// warmUp is how long the back ends of a service are cold after a start; 0 while that is not
// known.
func (c *configuration) warmUp(service resource.ServiceRef) time.Duration {
	built := c.built.Load()
	if built == nil {
		return 0
	}
	return built.Services[service].WarmUp.Duration
}
