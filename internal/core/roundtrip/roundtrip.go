// Package roundtrip estimates the response times of peers as TCP does for its
// retransmission timer (RFC 6298), so that timeouts adapt to the network and the
// machines.
package roundtrip

import (
	"sync"
	"time"
)

// The inverse weights of a new measurement in the mean and in the mean deviation, and the
// number of deviations that a timeout adds to the mean (RFC 6298).
const (
	meanDivisor       = 8
	deviationDivisor  = 4
	timeoutDeviations = 4
)

// Estimator keeps the moving mean of round-trip times and of their deviation. The zero
// value has no measurements. It is safe for concurrent use.
type Estimator struct {
	mutex     sync.Mutex
	observed  bool
	mean      time.Duration
	deviation time.Duration
}

// Observe adds the time of a round trip, including those answered after the timeout.
func (e *Estimator) Observe(roundTrip time.Duration) {
	roundTrip = max(roundTrip, 0)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.observed {
		e.observed = true
		e.mean = roundTrip
		e.deviation = roundTrip / 2
		return
	}
	difference := max(roundTrip-e.mean, e.mean-roundTrip)
	e.deviation += (difference - e.deviation) / deviationDivisor
	e.mean += (roundTrip - e.mean) / meanDivisor
}

// Timeout returns the time within which nearly all answers arrive; 0 if no round trip has
// been observed.
func (e *Estimator) Timeout() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.mean + timeoutDeviations*e.deviation
}
