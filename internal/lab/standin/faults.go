package standin

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/object"
)

// LeasePrefix is where reader leases are kept on the platform.
const LeasePrefix = "lease/"

// Outage says how the platform fails as a whole.
type Outage string

// The kinds of outage.
const (
	OutageNone Outage = ""
	// OutageRefusing answers every call with PlatformUnavailable and breaks
	// every watch.
	OutageRefusing Outage = "refusing"
	// OutageSilent takes calls without effect and never answers; watches stay
	// open and deliver nothing.
	OutageSilent Outage = "silent"
)

// Faults are the failures switched on. Chances are between 0 and 1.
type Faults struct {
	Outage Outage `json:"outage,omitempty" enum:",refusing,silent"`
	// Slowness is added to each call, half before and half after its effect;
	// up to Jitter more is drawn for each half, so that calls cross in flight.
	Slowness time.Duration `json:"slowness,omitempty"`
	Jitter   time.Duration `json:"jitter,omitempty"`
	// ListLag and MachineLag are the ages of lists and of the machine list.
	ListLag    time.Duration `json:"list_lag,omitempty"`
	MachineLag time.Duration `json:"machine_lag,omitempty"`
	// LostAnswer is the chance that an answer is lost after the effect.
	LostAnswer float64 `json:"lost_answer,omitempty" minimum:"0" maximum:"1"`
	// LostRequest is the chance that a call is lost before its effect, which
	// the caller cannot tell from a lost answer.
	LostRequest float64 `json:"lost_request,omitempty" minimum:"0" maximum:"1"`
	// LeaseLapse is the chance that a write under LeasePrefix is lost before
	// its effect, so that leases lapse.
	LeaseLapse float64 `json:"lease_lapse,omitempty" minimum:"0" maximum:"1"`
	// DuplicateEvent, CrossedEvent and ReplayedEvent are the chances that a
	// watch event comes twice, changes places with the next one, or is followed
	// by an older event.
	DuplicateEvent float64 `json:"duplicate_event,omitempty" minimum:"0" maximum:"1"`
	CrossedEvent   float64 `json:"crossed_event,omitempty" minimum:"0" maximum:"1"`
	ReplayedEvent  float64 `json:"replayed_event,omitempty" minimum:"0" maximum:"1"`
	// BrokenWatch is the chance, for each delivery, that the watch breaks.
	BrokenWatch float64 `json:"broken_watch,omitempty" minimum:"0" maximum:"1"`
}

// Decision is what the faults do to one call.
type Decision struct {
	// Refuse answers PlatformUnavailable without effect.
	Refuse bool
	// LoseRequest drops the call before its effect; LoseAnswer drops the answer
	// after it. The caller sees PlatformUnknown in both cases.
	LoseRequest bool
	LoseAnswer  bool
	// Silent leaves the caller without any answer until it gives up; the call
	// has no effect.
	Silent bool
	// Before and After are the delays before and after the effect.
	Before time.Duration
	After  time.Duration
	// Lag is how old lists are.
	Lag Lag
}

// Decide draws what happens to a call.
func (f Faults) Decide(random *rand.Rand, call object.Call) Decision {
	decision := Decision{
		Before: f.delay(random),
		After:  f.delay(random),
		Lag:    Lag{List: f.ListLag, Machines: f.MachineLag},
	}
	decision.Refuse = f.Outage == OutageRefusing
	decision.Silent = f.Outage == OutageSilent
	decision.LoseRequest = decision.Silent || happens(random, f.LostRequest) || f.lapses(random, call)
	decision.LoseAnswer = happens(random, f.LostAnswer)
	return decision
}

// lapses draws whether a write of a lease is lost.
func (f Faults) lapses(random *rand.Rand, call object.Call) bool {
	if isRead(call.Kind) || !strings.HasPrefix(call.Name, LeasePrefix) {
		return false
	}
	return happens(random, f.LeaseLapse)
}

func (f Faults) delay(random *rand.Rand) time.Duration {
	delay := f.Slowness / 2
	if f.Jitter > 0 {
		delay += time.Duration(random.Int64N(int64(f.Jitter)))
	}
	return delay
}

// Deliver draws in which order, how often and with which older events a watch
// delivers fresh events. Nothing fresh is ever left out.
func (f Faults) Deliver(random *rand.Rand, fresh, older []object.Event) []object.Event {
	crossed := append([]object.Event(nil), fresh...)
	for i := 0; i+1 < len(crossed); i++ {
		if happens(random, f.CrossedEvent) {
			crossed[i], crossed[i+1] = crossed[i+1], crossed[i]
		}
	}
	var delivered []object.Event
	for _, event := range crossed {
		delivered = append(delivered, event)
		if happens(random, f.DuplicateEvent) {
			delivered = append(delivered, event)
		}
		if len(older) > 0 && happens(random, f.ReplayedEvent) {
			delivered = append(delivered, older[random.IntN(len(older))])
		}
	}
	return delivered
}

// Breaks draws whether a watch breaks at a delivery.
func (f Faults) Breaks(random *rand.Rand) bool {
	return f.Outage == OutageRefusing || happens(random, f.BrokenWatch)
}

// happens draws an event of a chance; it draws nothing when the chance is 0.
func happens(random *rand.Rand, chance float64) bool {
	return chance > 0 && random.Float64() < chance
}
