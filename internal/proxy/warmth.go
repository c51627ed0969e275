package proxy

import (
	"time"

	"github.com/springstack/springstack/internal/core/snapshot"
)

// limitCold puts the rate in force that the service of the back end states.
func (p *Proxy) updateColdLimit(held *snapshot.Snapshot) {
	if p.gate == nil || held == nil {
		return
	}
	stated := held.Services[p.config.Service].WarmUp
	// A gate of a back end that reports itself is closed until its first report.
	opened := !p.config.Reported || p.reported.current.Load() != nil
	p.gate.SetColdLimit(p.config.Clock(), p.config.WarmUp.Limit(stated.PerSecond), opened)
}

// SetCold says until when, on the clock, the back end is cold. Until it is first called the
// back end counts as cold.
func (p *Proxy) SetColdUntil(until time.Duration) { p.gate.SetColdUntil(p.config.Clock(), until) }
