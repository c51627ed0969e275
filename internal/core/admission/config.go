package admission

import (
	"time"

	"github.com/springstack/springstack/internal/core/resource"
)

// PartnerWeight is a partner's relative share of the slot time.
type PartnerWeight struct {
	Partner resource.Partner
	Weight  float64
}

// Config holds the settings of a gate.
type Config struct {
	// Slots is the maximum number of calls that run at once.
	Slots int
	// QueueLength is the maximum number of queued calls.
	QueueLength int
	// QueueWait is the longest expected wait with which a call is queued.
	QueueWait time.Duration
	// KeyWindow is the time for which keys of started operations are remembered,
	// KeyCount the maximum number of them.
	KeyWindow time.Duration
	KeyCount  int
	// RequestWindow and RequestCount are the same for the ids of attempts; the
	// values for keys apply if they are 0.
	RequestWindow time.Duration
	RequestCount  int
	// Weights lists the partners' shares; a partner that is not listed has weight 1.
	Weights []PartnerWeight
	// NoEstimate queues every call that finds no free slot, without checking QueueLength,
	// QueueWait, its target or its deadline, so that deadlines may expire in the queue. A
	// new call of higher priority may still displace it. NoEstimate serves as the baseline
	// in comparisons only.
	NoEstimate bool
}
