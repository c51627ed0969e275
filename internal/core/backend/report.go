package backend

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// Report is a heartbeat of a back end.
type Report struct {
	// Instance is the name of the back end, which several starts may bear.
	Instance string
	// Born is when it started by its own word, in Unix milliseconds; 0 when it does not tell.
	Born int64
	// Service is the name of the service that it belongs to.
	Service string
	// Sequence grows with each report of a start, and begins anew with the next one.
	Sequence uint64
	// Draining says that the instance is about to end.
	Draining bool
	// WarmUp is how much longer the instance is slow.
	WarmUp time.Duration
	// Slots is how many calls it runs at once.
	Slots int
	// Software is the version of its software.
	Software string
}

// Start is the start that reports.
func (r Report) Start() protocol.BackendStart {
	return protocol.BackendStart{Instance: r.Instance, Born: r.Born}
}

// Probe is what the back end itself answered when it was asked.
type ProbeResult struct {
	// Instance is the one that answered; empty when there was no answer.
	Instance string
	// Healthy says that the instance takes work.
	Healthy bool
	// TellsWarmUp says that the answer told how much longer the instance is cold, which is
	// WarmUp.
	TellsWarmUp bool
	WarmUp      time.Duration
	// TellsHeld says that the answer told how many calls the instance holds, which is Held.
	TellsHeld bool
	Held      int
}
