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
func TestCallWaitsForClosingConnection(t *testing.T) {
	check := is.New(t)
	limits := Limits{QueueWait: time.Minute} // it is not the queue that is tested
	gate := startReportedGate(t, limits, 9, func(call *backendCall) { call.answerAndClose() })
	gate.proxy.Swap(testSnapshot(meshOptions{service: resource.Service{MaxConnections: reservedConnections + 2}}, nil))
	const calls = 200
	begun := make([]*startedCall, 0, calls)
	for range calls {
		begun = append(begun, gate.startCall(t, time.Minute))
	}
	for _, call := range begun {
		check.Equal((<-call.answer).status, http.StatusOK)
	}
}
