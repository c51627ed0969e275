package calls_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/sim/calls"
	"github.com/springstack/springstack/internal/sim/script"
)

// TestLateDuplicateOfAnAttemptThatMetNoBackend is seed 43, shrunk: a gate told
// its caller that an attempt did not run, forgot the attempt, and started a
// late duplicate of it after the call had run elsewhere (I6).
func TestLateDuplicateOfAnAttemptThatMetNoBackend(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	found := script.Script{Seed: 43, Actions: []script.Action{
		{Kind: calls.CrashBackend, A: 62102, B: 48603, Wait: 195 * ms},
		{Kind: calls.SendBurst, A: 32020, B: 56820, Wait: 205 * ms},
		{Kind: calls.CrashInCall, A: 23326, B: 14019, Wait: 396 * ms},
		{Kind: calls.SendCall, A: 25476, B: 33537, Wait: 5 * ms},
		{Kind: calls.SendCall, A: 62707, B: 5746, Wait: 141 * ms},
		{Kind: calls.CallFaults, A: 28701, B: 56173, Wait: 386 * ms},
		{Kind: calls.SendBurst, A: 40647, B: 1987, Wait: 12 * ms},
		{Kind: calls.SendCall, A: 50981, B: 45312, Wait: 67 * ms},
		{Kind: calls.SendBurst, A: 17932, B: 2632, Wait: 370 * ms},
	}}
	is.Equal(calls.Run(found).Violations, nil)
}
