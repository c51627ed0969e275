package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
)

func TestASilentGateIsAskedForWhenTheRouteExpectsAnAnswer(t *testing.T) {
	check := is.New(t)
	check.Equal(silenceOf(0), silenceWait)
	check.Equal(silenceOf(100*time.Millisecond), silenceWait)
	check.Equal(silenceOf(time.Second), 500*time.Millisecond)
}

// A gate that has owed an answer for less than its route allows is not asked for; one
// that has answered another call meanwhile is waited for again.
func TestAGateIsAskedForAfterTheWaitAndNotBefore(t *testing.T) {
	check := is.New(t)
	now := time.Minute
	asked := 0
	path := &upstream{}
	caller := &Proxy{config: Config{
		Clock:    func() time.Duration { return now },
		OnSilent: func(protocol.NodeID) { asked++ },
	}}
	const wait = 400 * time.Millisecond
	caller.heard(path)
	now += 300 * time.Millisecond
	check.Equal(caller.lookAfter(path, "n", wait), 100*time.Millisecond)
	check.Equal(asked, 0)
	caller.heard(path)
	now += 100 * time.Millisecond
	check.Equal(caller.lookAfter(path, "n", wait), 300*time.Millisecond)
	now += 300 * time.Millisecond
	check.Equal(caller.lookAfter(path, "n", wait), wait)
	check.Equal(asked, 1)
	now += 100 * time.Millisecond
	caller.lookAfter(path, "n", silenceWait) // another call, within silencePause
	check.Equal(asked, 1)
	caller.watch(path, &endpoint.Endpoint{}, wait)() // ended before its wait
	check.Equal(asked, 1)
}
