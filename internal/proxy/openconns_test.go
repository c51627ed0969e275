package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
)

// A connection that its other side ends with the answer is closed a moment after the slot of its
// call is free: what starts then waits for its place and is not refused.
func TestACallWaitsForThePlaceOfAConnectionThatCloses(t *testing.T) {
	check := is.New(t)
	limits := Limits{QueueWait: time.Minute} // it is not the queue that is tested
	gate := startReportedGate(t, limits, 9, func(call *heldCall) { call.answerAndClose() })
	gate.proxy.Swap(testSnapshot(meshOptions{spec: resource.Service{MaxConnections: spareConnections + 2}}, nil))
	const calls = 200
	begun := make([]*begunCall, 0, calls)
	for range calls {
		begun = append(begun, gate.begin(t, time.Minute))
	}
	for _, call := range begun {
		check.Equal((<-call.answer).status, http.StatusOK)
	}
}
