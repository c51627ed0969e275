package calls

import (
	"slices"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/sim/network"
	"github.com/springstack/springstack/internal/sim/script"
)

// The kinds of actions.
const (
	SendCall       script.Kind = "send_call"
	SendBurst      script.Kind = "send_burst"
	HangUp         script.Kind = "hang_up"
	KillGate       script.Kind = "kill_gate"
	ReturnGates    script.Kind = "return_gates"
	CrashBackend   script.Kind = "crash_backend"
	CrashInCall    script.Kind = "crash_in_call"
	Drain          script.Kind = "drain_backend"
	CutSide        script.Kind = "cut_side"
	CutAnswers     script.Kind = "cut_answers"
	CallFaults     script.Kind = "call_network_faults"
	HealCalls      script.Kind = "heal_calls"
	ForgottenDrain script.Kind = "drain_unannounced"
)

// Table lists the kinds of actions.
var Table = script.Table{
	{Kind: script.Wait, Weight: 4},
	{Kind: SendCall, Weight: 40},
	{Kind: SendBurst, Weight: 40},
	{Kind: HangUp, Weight: 10, Fault: true},
	{Kind: KillGate, Weight: 6, Fault: true},
	{Kind: ReturnGates, Weight: 12},
	{Kind: CrashBackend, Weight: 4, Fault: true},
	{Kind: CrashInCall, Weight: 10, Fault: true},
	{Kind: Drain, Weight: 8, Fault: true},
	{Kind: ForgottenDrain, Weight: 8, Fault: true},
	{Kind: CutSide, Weight: 4, Fault: true},
	{Kind: CutAnswers, Weight: 4, Fault: true},
	{Kind: CallFaults, Weight: 6, Fault: true},
	{Kind: HealCalls, Weight: 12},
}

// Sizes of faults.
const (
	burstLimit = 40
	delayLimit = 600 * time.Millisecond
	lossLimit  = 0.1
)

// perform carries out one action and lets its time pass.
func (w *world) perform(action script.Action) {
	if Table.IsFault(action.Kind) {
		w.outcome.Faults[string(action.Kind)]++
	}
	if perform, found := performers[action.Kind]; found {
		perform(w, action)
	}
	w.run(action.Wait)
}

var performers = map[script.Kind]func(w *world, a script.Action){
	SendCall:     func(w *world, a script.Action) { w.send(w.side(a.A)) },
	SendBurst:    sendBurst,
	HangUp:       hangUp,
	KillGate:     func(w *world, a script.Action) { w.killGate(w.gate(a.A)) },
	ReturnGates:  returnGates,
	CrashBackend: func(w *world, a script.Action) { w.crashBackend(w.gate(a.A)) },
	CrashInCall: func(w *world, a script.Action) {
		points := []backend.CrashPoint{backend.CrashBeforeReading, backend.CrashMidWork,
			backend.CrashBeforeAnswering, backend.CrashMidAnswer}
		w.gate(a.A).model.PlanCrash(points[a.B%len(points)], a.B/len(points)%3)
	},
	Drain:          func(w *world, a script.Action) { w.drain(w.gate(a.A)) },
	ForgottenDrain: forgottenDrain,
	CutSide: func(w *world, a script.Action) {
		w.network.Cut(w.side(a.A).place, w.gate(a.B).place)
	},
	CutAnswers: func(w *world, a script.Action) {
		w.network.Cut(w.gate(a.A).place, w.side(a.B).place)
	},
	CallFaults: func(w *world, a script.Action) {
		w.network.SetFaults(network.Faults{
			Loss:       lossLimit * script.Fraction(a.A),
			Duplicate:  script.Fraction(a.B) / 2,
			ExtraDelay: script.Scaled(a.A^a.B, delayLimit),
		})
	},
	HealCalls: func(w *world, _ script.Action) {
		w.network.Heal()
		w.network.SetFaults(network.Faults{})
	},
}

func (w *world) side(operand int) *side { return w.sides[operand%len(w.sides)] }

func (w *world) gate(operand int) *gate { return w.gates[operand%len(w.gates)] }

func sendBurst(w *world, a script.Action) {
	for range 1 + a.B%burstLimit {
		w.send(w.side(a.A))
	}
}

func returnGates(w *world, _ script.Action) {
	for _, g := range w.gates {
		w.bringBack(g)
	}
}

// hangUp lets one of the callers that wait go away.
func hangUp(w *world, a script.Action) {
	waiting := make([]*call, 0, len(w.open))
	for c := range w.open {
		waiting = append(waiting, c)
	}
	if len(waiting) == 0 {
		return
	}
	slices.SortFunc(waiting, func(one, other *call) int { return strings.Compare(one.id, other.id) })
	w.interrupt(waiting[a.A%len(waiting)], retry.CallerGone, endpoint.Cancelled)
}

// forgottenDrain drains a back end while no side can hear of it.
func forgottenDrain(w *world, a script.Action) {
	g := w.gate(a.A)
	for _, s := range w.sides {
		w.timeline.After(spread, func() { w.rebuild(s) })
	}
	g.sequence-- // the raised sequence is not announced as newer
	w.drain(g)
}
