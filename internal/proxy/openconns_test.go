package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
)

// If the back end closes a connection with its answer, the connection is closed on this side a
// moment after the slot of its call becomes free. The next call must wait until the connection
// is closed and must not be refused.
func TestCallWaitsForClosingConnection(t *testing.T) {
	check := is.New(t)
	limits := Limits{QueueWait: time.Minute} // long, so that no call is refused by the queue
	gate := startReportedGate(t, limits, 9, func(call *backendCall) { call.answerAndClose() })
	gate.proxy.Swap(testSnapshot(meshOptions{service: resource.Service{MaxConnections: reservedConnections + 2}}, nil))
	const calls = 200
	started := make([]*startedCall, 0, calls)
	for range calls {
		started = append(started, gate.startCall(t, time.Minute))
	}
	for _, call := range started {
		check.Equal((<-call.answer).status, http.StatusOK)
	}
}
