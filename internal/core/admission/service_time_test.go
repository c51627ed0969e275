package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// recordAnswers records a number of answers after the same service time and returns the
// resulting Longest.
func recordAnswers(gate *Gate, duration time.Duration, count int) time.Duration {
	for range count {
		gate.observeServiceTime(&Call{}, duration)
		gate.RecordServiceTime(&Call{}, duration)
	}
	return gate.ServiceTimes(&Call{}).Longest
}

func TestLongestServiceTimeDecaysSlowly(t *testing.T) {
	check := is.New(t)
	gate := New(0, Config{Slots: 1})
	recordAnswers(gate, 100*time.Millisecond, 20)
	check.Equal(recordAnswers(gate, time.Second, 1), time.Second)
	check.True(recordAnswers(gate, 100*time.Millisecond, 20) > 800*time.Millisecond)
	check.True(recordAnswers(gate, 100*time.Millisecond, 1000) < 150*time.Millisecond)
}
