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
	checks := 0
	gateUpstream := &upstream{}
	caller := &Proxy{config: Config{
		Clock:    func() time.Duration { return now },
		OnSilent: func(protocol.NodeID) { checks++ },
	}}
	const limit = 400 * time.Millisecond
	caller.recordGateAnswer(gateUpstream)
	now += 300 * time.Millisecond
	check.Equal(caller.checkSilence(gateUpstream, "n", limit), 100*time.Millisecond)
	check.Equal(checks, 0)
	caller.recordGateAnswer(gateUpstream)
	now += 100 * time.Millisecond
	check.Equal(caller.checkSilence(gateUpstream, "n", limit), 300*time.Millisecond)
	now += 300 * time.Millisecond
	check.Equal(caller.checkSilence(gateUpstream, "n", limit), limit)
	check.Equal(checks, 1)
	now += 100 * time.Millisecond
	caller.checkSilence(gateUpstream, "n", minSilence) // another call, within silenceCheckInterval
	check.Equal(checks, 1)
	caller.watchSilence(gateUpstream, &endpoint.Endpoint{}, limit)() // an attempt that ends before its limit
	check.Equal(checks, 1)
}
