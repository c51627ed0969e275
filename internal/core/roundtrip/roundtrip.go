// Package roundtrip estimates the response times of peers as TCP does for its
// retransmission timer (RFC 6298), so that timeouts adapt to the network and the
// machines.
package roundtrip

import (
	"sync"
	"time"
)

// The constants of RFC 6298.
const (
	// meanDivisor and deviationDivisor are the inverse weights of a new measurement in the
	// mean and in the mean deviation.
	meanDivisor      = 8
	deviationDivisor = 4
	// timeoutDeviations is the number of mean deviations that a timeout adds to the mean.
	timeoutDeviations = 4
)

// Estimator keeps the moving mean of round-trip times and of their deviation. The zero
// value has no measurements. It is safe for concurrent use.
type Estimator struct {
	mutex          sync.Mutex
	hasMeasurement bool
	mean           time.Duration
	meanDeviation  time.Duration
}

// Observe adds the time of a round trip. Callers must also report answers that arrive after
// the timeout.
func (e *Estimator) Observe(roundTrip time.Duration) {
	roundTrip = max(roundTrip, 0)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.hasMeasurement {
		e.hasMeasurement = true
		e.mean = roundTrip
		e.meanDeviation = roundTrip / 2
		return
	}
	absoluteDifference := max(roundTrip-e.mean, e.mean-roundTrip)
	e.meanDeviation += (absoluteDifference - e.meanDeviation) / deviationDivisor
	e.mean += (roundTrip - e.mean) / meanDivisor
}

// Timeout returns the mean plus timeoutDeviations mean deviations, an estimate of the time
// within which nearly all answers arrive; 0 if no round trip has been observed.
func (e *Estimator) Timeout() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.mean + timeoutDeviations*e.meanDeviation
}
