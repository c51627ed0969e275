package hosted

import (
	"time"

	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// coldWord is what the gate is told of a warm-up: of which start, and until when, on the clock,
// that is cold; 0 when it is warm.
type coldWord struct {
	start protocol.BackendStart
	until time.Duration
}

// showWarmth tells the gate until when the back end is cold if it does not know yet, and before
// it is opened to the start; the lock is held.
func (b *backendSide) showWarmth(view backend.View) {
	next := coldWord{start: view.Start, until: view.ColdUntil}
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

// confirmWarmth is called where the back end may have become cold unseen. It counts as cold, for
// as long as its service says, until it has answered a probe that is asked from now on. It is
// probed at once, or with its first report where none is known yet. It does not block.
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
	if b.tracker.IsAssumedCold(b.clock()) {
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
