package admission

import (
	"time"

	"github.com/springstack/springstack/internal/core/resource"
)

// PartnerWeight is the relative share of a partner.
type PartnerWeight struct {
	Partner resource.Partner
	Weight  float64
}

// Config bounds a gate.
type Config struct {
	// Slots is how many calls run at once.
	Slots int
	// QueueLength bounds the calls that wait.
	QueueLength int
	// QueueWait bounds the expected wait of a call that is queued.
	QueueWait time.Duration
	// KeyWindow and KeyCount bound the memory of started keys.
	KeyWindow time.Duration
	KeyCount  int
	// RequestWindow and RequestCount bound the memory of the ids of attempts;
	// those of the keys are used when they are 0.
	RequestWindow time.Duration
	RequestCount  int
	// Weights are the partners' shares; 1 for those not listed.
	Weights []PartnerWeight
	// NoEstimate refuses no call for its expected wait, and lets deadlines pass
	// in the queue. It is for comparisons only.
	NoEstimate bool
}
