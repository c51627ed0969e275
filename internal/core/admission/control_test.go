package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/result"
)

func TestEvacuationRefusesQueuedCallsAndInterruptsNone(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	running := offer(gate, 0, Call{})
	waiting := offer(gate, 0, Call{})
	check.Equal(waiting.state, StateQueued)
	gate.Evacuate()
	check.Equal(waiting.waiter.last().Code, result.ZoneEvacuated)
	check.Equal(offer(gate, 0, Call{}).code, result.ZoneEvacuated)
	check.Equal(gate.Load().Running, 1)
	gate.Done(time.Second, running.ticket, true)
	check.Equal(offer(gate, time.Second, Call{}).code, result.ZoneEvacuated) // even with a free slot
	gate.Resume()
	check.Equal(offer(gate, time.Second, Call{}).state, StateStarted)
}

func TestDrainTakesPrecedenceOverEvacuation(t *testing.T) {
	check := is.New(t)
	gate := New(0, testConfig(1))
	gate.Evacuate()
	gate.Drain()
	check.Equal(offer(gate, 0, Call{}).code, result.Draining)
	gate.Evacuate() // replaces the drain, as for a new instance of the back end
	check.Equal(offer(gate, 0, Call{}).code, result.ZoneEvacuated)
	gate.Close()
	gate.Resume()
	check.Equal(offer(gate, 0, Call{}).code, result.Draining)
}
