package mutant

import "github.com/springstack/springstack/internal/sim/oracle"

// callMutants are faults on the path of a request.
var callMutants = []Mutant{
	{Name: "deliver_broken", Breaks: oracle.OwnWholeAnswer, Simulation: Calls, File: "retry/call.go",
		Old: "	return c.refuse(result.BrokenInFlight, 0)\n}\n\n// budgetSpent",
		New: "	return Step{Action: Deliver}\n}\n\n// budgetSpent"},
	{Name: "deliver_expired", Breaks: oracle.OwnWholeAnswer, Simulation: Calls, File: "retry/call.go",
		Old: "	if outcome.Kind == Answered {",
		New: "	if outcome.Kind == Answered || outcome.Kind == Expired {"},
	{Name: "deliver_refusal", Breaks: oracle.OwnWholeAnswer, Simulation: Calls, File: "retry/call.go",
		Old: "		return c.refuse(outcome.Code, outcome.RetryAfter)",
		New: "		return Step{Action: Deliver}"},

	{Name: "refuse_as_not_run", Breaks: oracle.RefusalIsTrue, Simulation: Calls, File: "retry/call.go",
		Old: "	step.Ran = result.RanUnknown",
		New: "	step.Ran = result.RanNo"},
	{Name: "broken_is_not_run", Breaks: oracle.RefusalIsTrue, Simulation: Calls, File: "retry/call.go",
		Old: "	case NotSent, NoEndpoint:\n		return true",
		New: "	case NotSent, NoEndpoint, Broken:\n		return true"},
	{Name: "last_attempt_speaks_for_all", Breaks: oracle.RefusalIsTrue, Simulation: Calls, File: "retry/call.go",
		Old: "	if didNotRun(outcome) {\n		return",
		New: "	if didNotRun(outcome) {\n		c.inDoubt = 0; return"},
	{Name: "cancel_of_started", Breaks: oracle.RefusalIsTrue, Simulation: Calls, File: "admission/gate.go",
		Old: "	if ticket.state != StateQueued {\n		return false",
		New: "	if ticket.state != StateQueued {\n		return true"},

	{Name: "retry_on_reset", Breaks: oracle.AtMostOnce, Simulation: Calls, File: "retry/call.go",
		Old: "	return c.policy.Repeatable || c.inDoubt == 0\n",
		New: "	return true\n"},
	{Name: "start_duplicates", Breaks: oracle.AtMostOnce, Simulation: Calls, File: "admission/gate.go",
		Old: "	case Present:\n		return refused(result.AlreadyStarted, 0)",
		New: "	case Present:\n		return Verdict{State: StateStarted}"},
	{Name: "forget_attempts", Breaks: oracle.AtMostOnce, Simulation: Calls, File: "admission/gate.go",
		Old: "	if verdict := register(g.requests, now, ticket.Request); verdict",
		New: "	if verdict := register(g.requests, now, 0); verdict"},

	{Name: "drain_only_the_queue", Breaks: oracle.LeavingTakesNone, Simulation: Calls, File: "admission/control.go",
		Old: "	g.word.Or(bit)",
		New: "	g.word.Or(0)"},
	{Name: "drain_ends_with_a_call", Breaks: oracle.LeavingTakesNone, Simulation: Calls, File: "admission/gate.go",
		Old: "		if g.word.CompareAndSwap(word, word-1) {\n			return",
		New: "		if g.word.CompareAndSwap(word, (word-1)&^refusingAny) {\n			return"},
	{Name: "drain_forgets_itself", Breaks: oracle.LeavingTakesNone, Simulation: Calls, File: "admission/control.go",
		Old: "		g.unqueue()\n		ticket.settle(refused(result.Draining, 0))",
		New: "		g.unqueue(); g.word.And(^uint64(refusingAny))\n		ticket.settle(refused(result.Draining, 0))"},

	{Name: "drained_too_early", Breaks: oracle.PlannedStopIsSoft, Simulation: Calls, File: "admission/gate.go",
		Old: "	word := g.word.Load()\n	return Load{",
		New: "	word := g.word.Load(); if word&refusingAny != 0 { word &^= runningMask }\n	return Load{"},
	{Name: "admit_uncounted", Breaks: oracle.PlannedStopIsSoft, Simulation: Calls, File: "admission/gate.go",
		Old: "		if g.word.CompareAndSwap(word, word+1) {\n			return true",
		New: "		if g.word.CompareAndSwap(word, word) {\n			return true"},
	{Name: "drain_frees_slots", Breaks: oracle.PlannedStopIsSoft, Simulation: Calls, File: "admission/control.go",
		Old: "	g.word.Or(bit)",
		New: "	g.word.Or(bit); g.word.And(^uint64(runningMask))"},
}
