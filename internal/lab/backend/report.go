package backend

import "time"

// ReportMode says how far a report of a back end can be trusted.
type ReportMode int

// The ways in which reports of load and health can mislead.
const (
	// ReportTruthful reports the state of now.
	ReportTruthful ReportMode = iota
	// ReportZero always reports no load, or good health.
	ReportZero
	// ReportFrozen goes on reporting the state of the process's first moment.
	ReportFrozen
	// ReportRandom reports any value.
	ReportRandom
	// ReportLagging reports the state of ReportLag ago.
	ReportLagging
	// ReportNone gives no report at all.
	ReportNone
)

// LoadReport is what the load endpoint answers.
type LoadReport struct {
	// Running is the number of calls that hold a slot.
	Running int `json:"running"`
	// Slots is how many calls run without slowing each other.
	Slots int `json:"slots"`
}

// observation is the true state at one moment.
type observation struct {
	at      time.Duration
	running int
	healthy bool
}

// maxObservations bounds the kept history of true states.
const maxObservations = 4096

// reportHistory keeps true states for lagging reports.
type reportHistory struct {
	observations []observation
}

// observe keeps the true state for lagging reports, as far as they are used.
func (m *Model) observe(now time.Duration) {
	if m.config.LoadMode != ReportLagging && m.config.HealthMode != ReportLagging {
		return
	}
	history := &m.reports
	if len(history.observations) >= maxObservations {
		half := len(history.observations) / 2
		history.observations = append(history.observations[:0], history.observations[half:]...)
	}
	current := observation{at: now, running: len(m.running), healthy: !m.down && !m.draining}
	history.observations = append(history.observations, current)
}

// before returns the newest state that is at least as old as at.
func (h *reportHistory) before(at time.Duration) observation {
	for index := len(h.observations) - 1; index >= 0; index-- {
		if h.observations[index].at <= at {
			return h.observations[index]
		}
	}
	return observation{healthy: true}
}

// Load answers the load endpoint; the second result is false when the back
// end gives no report.
func (m *Model) Load(now time.Duration) (LoadReport, bool) {
	report := LoadReport{Running: len(m.running), Slots: m.config.Slots}
	switch m.config.LoadMode {
	case ReportZero, ReportFrozen:
		report.Running = 0
	case ReportRandom:
		report.Running = m.random.IntN(2*m.config.Slots + 1)
	case ReportLagging:
		report.Running = m.reports.before(now - m.config.ReportLag).running
	case ReportNone:
		return LoadReport{}, false
	}
	return report, !m.down
}

// Healthy answers the health endpoint; a dead process answers nothing, which
// its owner must show by not answering.
func (m *Model) Healthy(now time.Duration) bool {
	switch m.config.HealthMode {
	case ReportZero, ReportFrozen:
		return true
	case ReportRandom:
		return m.random.IntN(2) == 0
	case ReportLagging:
		return m.reports.before(now - m.config.ReportLag).healthy
	}
	return !m.down && !m.draining
}
