package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/callclass"
)

// chainSimulation simulates a chain of services, all on the same daemons. Each receives calls of
// two classes: those of class 0 call the next service, those of class 1 make no calls.
type chainSimulation struct {
	// levels are the services from the first to the last of the chain.
	levels []chainLevel
	// fanOut is the number of calls that an executed call of class 0 makes.
	fanOut int
	random func() float64
	now    time.Duration
	tick   int
}

// chainLevel is one service: the budgets of the daemons that call it, and its requests and
// repetitions in each tick.
type chainLevel struct {
	budgets     []*Budget
	requests    []int
	repetitions []int
	// rejectedShare is the share of arriving attempts that back ends refuse, failedShare the
	// share of executed ones that fail.
	rejectedShare float64
	failedShare   float64
}

// chainCall is one call made at a daemon. repeated is set if the execution that makes it is
// a repetition.
type chainCall struct {
	class    callclass.Class
	daemon   int
	repeated bool
}

// maxChainAttempts is the maximum number of attempts of a simulated call.
const maxChainAttempts = 3

// send simulates all attempts of a call to a level, and the calls that they make.
func (s *chainSimulation) send(level int, call chainCall) {
	if level == len(s.levels) {
		return
	}
	service := &s.levels[level]
	budget := service.budgets[call.daemon]
	policy := Policy{
		Repeatable: true, Attempts: maxChainAttempts, RetryFailures: true, Deadline: time.Hour,
		Class: call.class, Urgent: s.random() < 0.3,
	}
	state := NewCall(policy, budget)
	service.requests[s.tick]++
	for attempt := 1; ; attempt++ {
		repetition := attempt > 1 || call.repeated
		if repetition {
			service.repetitions[s.tick]++
		}
		outcome := s.run(level, call, repetition)
		if state.NextStep(s.now, outcome).Action != Send {
			return
		}
	}
}

// run simulates one attempt that arrives at a back end.
func (s *chainSimulation) run(level int, call chainCall, repetition bool) Outcome {
	service := &s.levels[level]
	if s.random() < service.rejectedShare {
		return Outcome{Kind: Refused, Ran: "no", Arrived: true, Replayable: true, Others: true}
	}
	daemon := int(s.random() * float64(len(service.budgets)))
	if call.class == 0 {
		for range s.fanOut {
			class := callclass.Class(0)
			if s.random() < 0.3 {
				class = 1
			}
			s.send(level+1, chainCall{class: class, daemon: daemon, repeated: repetition})
		}
	}
	return Outcome{Kind: Answered, Failed: s.random() < service.failedShare, Replayable: true, Others: true}
}

// beginTick sets the time to that of a tick and adds its zero counts to each level.
func (s *chainSimulation) beginTick(tick int) {
	s.tick = tick
	s.now = time.Duration(tick) * testTick
	for index := range s.levels {
		level := &s.levels[index]
		level.requests = append(level.requests, 0)
		level.repetitions = append(level.repetitions, 0)
	}
}

func newChain(depth, daemons, fanOut int, random func() float64) *chainSimulation {
	limits := LimitsForChain(allowedRatio, allowedSlack*chainSlack, depth, daemons, testWindow)
	simulation := &chainSimulation{fanOut: fanOut, random: random, levels: make([]chainLevel, depth)}
	for index := range simulation.levels {
		for range daemons {
			simulation.levels[index].budgets = append(simulation.levels[index].budgets, NewBudgetWithLimits(limits))
		}
	}
	return simulation
}

// maxExcess returns the largest excess, over all windows, of the level's repetitions over the
// allowed number. The allowed number follows from the largest number of requests in the same
// window, in the previous window or in the window halfway between them.
func (l *chainLevel) maxExcess() float64 {
	largestExcess := 0.0
	window := int(testWindow / testTick)
	for start := range l.requests {
		requests := max(sum(l.requests, start, start+window), sum(l.requests, start-window, start), sum(l.requests, start-window/2, start+window/2))
		allowedRepetitions := allowedRatio*float64(requests) + allowedSlack*chainSlack
		largestExcess = max(largestExcess, float64(sum(l.repetitions, start, start+window))-allowedRepetitions)
	}
	return largestExcess
}

// The calls per tick at the first service are limited so that, without repetitions, at most
// chainArrivals reach the last service, but not to fewer than 8. This keeps the test short.
const chainArrivals = 256

// chainSlack scales the slack to the traffic of this test, which is a fraction of that of the
// deployments for which allowedSlack is set.
const chainSlack = 0.2

// The repetitions that a service receives stay within the budget in every window, including
// those caused by repetitions of its callers: at any depth of the chain, any number of daemons,
// any share of refusals and failures, and while traffic falls.
func TestChainOfServicesStaysWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		depth := rapid.IntRange(1, 7).Draw(t, "depth")
		daemons := rapid.SampledFrom([]int{13, 83, 295}).Draw(t, "daemons")
		fanOut := rapid.IntRange(1, 2).Draw(t, "fanOut")
		state := rapid.Uint64().Draw(t, "seed")
		random := func() float64 {
			state = state*6364136223846793005 + 1442695040888963407
			return float64(state>>11) / (1 << 53)
		}
		simulation := newChain(depth, daemons, fanOut, random)
		maxCalls := max(chainArrivals>>((depth-1)*(fanOut-1)), 8)
		calls := rapid.IntRange(5, maxCalls).Draw(t, "calls")
		tick := 0
		for range rapid.IntRange(2, 4).Draw(t, "phases") {
			for index := range simulation.levels {
				simulation.levels[index].rejectedShare = rapid.SampledFrom([]float64{0, 0, 0.3, 0.55, 0.9}).Draw(t, "rejecting")
				simulation.levels[index].failedShare = rapid.SampledFrom([]float64{0, 0, 0.3, 0.9}).Draw(t, "failing")
			}
			for range rapid.IntRange(20, 80).Draw(t, "ticks") {
				simulation.beginTick(tick)
				for range calls {
					simulation.send(0, chainCall{class: callclass.Class(random() * 2), daemon: int(random() * float64(daemons))})
				}
				tick++
			}
			calls = rapid.SampledFrom([]int{calls, calls / 2, calls * 2}).Draw(t, "next calls")
			calls = min(max(calls, 2), maxCalls)
		}
		for index := range simulation.levels {
			if excess := simulation.levels[index].maxExcess(); excess > 0 {
				t.Fatalf("level %d of %d exceeds its budget by %.0f retries", index+1, depth, excess)
			}
		}
	})
}
