// Package roundtrip estimates how long answers of peers take, as TCP does for its
// retransmissions (RFC 6298), so that a timeout fits the links and processors that it
// is used on.
package roundtrip

import (
	"sync"
	"time"
)

// The weights of a new measurement in the mean and in the mean deviation, and how many
// deviations a timeout allows (RFC 6298).
const (
	meanParts      = 8
	deviationParts = 4
	deviations     = 4
)

// Estimator keeps the moving mean of round trips and of their deviation. The zero value
// knows nothing. It may be used from several goroutines.
type Estimator struct {
	mutex     sync.Mutex
	known     bool
	mean      time.Duration
	deviation time.Duration
}

// Observe takes a round trip that was answered, also late.
func (e *Estimator) Observe(took time.Duration) {
	took = max(took, 0)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.known {
		e.known = true
		e.mean = took
		e.deviation = took / 2
		return
	}
	distance := max(took-e.mean, e.mean-took)
	e.deviation += (distance - e.deviation) / deviationParts
	e.mean += (took - e.mean) / meanParts
}

// Timeout is within what time nearly all answers come; 0 when nothing is known.
func (e *Estimator) Timeout() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.mean + deviations*e.deviation
}
