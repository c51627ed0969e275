package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
)

func TestSilenceLimitFollowsRouteTarget(t *testing.T) {
	check := is.New(t)
	check.Equal(silenceLimit(0), minSilence)
	check.Equal(silenceLimit(100*time.Millisecond), minSilence)
	check.Equal(silenceLimit(time.Second), 500*time.Millisecond)
}

// TestSilentGateIsReportedAfterItsLimit: OnSilent is called only after a gate has been
// silent for the time that the route allows. An answer to another call restarts that time.
func TestSilentGateIsReportedAfterItsLimit(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	asked := 0
	path := &upstream{}
	caller := &Proxy{config: Config{
		Clock:    func() time.Duration { return now },
		OnSilent: func(protocol.NodeID) { asked++ },
	}}
	const wait = 400 * time.Millisecond
	caller.recordGateAnswer(path)
	now += 300 * time.Millisecond
	check.Equal(caller.checkSilence(path, "n", wait), 100*time.Millisecond)
	check.Equal(asked, 0)
	caller.recordGateAnswer(path)
	now += 100 * time.Millisecond
	check.Equal(caller.checkSilence(path, "n", wait), 300*time.Millisecond)
	now += 300 * time.Millisecond
	check.Equal(caller.checkSilence(path, "n", wait), wait)
	check.Equal(asked, 1)
	now += 100 * time.Millisecond
	caller.checkSilence(path, "n", minSilence) // another call, within silenceCheckInterval
	check.Equal(asked, 1)
	caller.watchSilence(path, &endpoint.Endpoint{}, wait)() // an attempt that ends before its limit
	check.Equal(asked, 1)
}
