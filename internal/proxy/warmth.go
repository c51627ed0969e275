package proxy

import (
	"time"

	"github.com/springstack/springstack/internal/core/snapshot"
)

// updateColdLimit limits calls to a cold back end to the warm-up rate of its service.
func (p *Proxy) updateColdLimit(snap *snapshot.Snapshot) {
	if p.gate == nil || snap == nil {
		return
	}
	warmUp := snap.Services[p.config.Service].WarmUp
	// The gate of a back end that reports itself is closed until the first report.
	opened := !p.config.Reported || p.reportedBackend.currentReport.Load() != nil
	p.gate.SetColdLimit(p.config.Clock(), p.config.WarmUp.Limit(warmUp.PerSecond), opened)
}

// SetColdUntil sets the time on the clock until which the back end is cold. Before the first
// call the back end counts as cold.
func (p *Proxy) SetColdUntil(until time.Duration) { p.gate.SetColdUntil(p.config.Clock(), until) }
