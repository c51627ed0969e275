package backend

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// Report is a heartbeat of a back end.
type Report struct {
	// Instance is the name of the back end. Several successive starts may share it.
	Instance string
	// Born is the start time that the back end reports, in Unix milliseconds; 0 if it reports none.
	Born int64
	// Service is the name of the service to which the back end belongs.
	Service string
	// Sequence increases with each report of a start, and restarts with the next start.
	Sequence uint64
	// Draining is true if the instance is about to end.
	Draining bool
	// WarmUp is the remaining time for which the instance is slow.
	WarmUp time.Duration
	// Slots is the number of calls that the instance can run concurrently.
	Slots int
	// Software is the version of the instance's software.
	Software string
}

// Start returns the start that sent the report.
func (r Report) Start() protocol.BackendStart {
	return protocol.BackendStart{Instance: r.Instance, Born: r.Born}
}

// ProbeResult is the back end's answer to a health probe.
type ProbeResult struct {
	// Instance is the name of the instance that answered; empty if there was no answer.
	Instance string
	// Healthy is true if the instance accepts work.
	Healthy bool
	// TellsWarmUp is true if the answer contains the remaining warm-up time, WarmUp.
	TellsWarmUp bool
	WarmUp      time.Duration
	// TellsHeld is true if the answer contains the number of calls that the instance holds, Held.
	TellsHeld bool
	Held      int
}
