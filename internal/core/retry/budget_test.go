package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// meshSizes are the numbers of daemons among which the tests divide a budget.
var meshSizes = []int{13, 74, 295, 1000}

const (
	testWindow = 10 * time.Second
	// allowedRatio and allowedSlack bound the retries of all daemons together in any
	// window.
	allowedRatio = 0.2
	allowedSlack = 630
)

// limitsOfOneDaemon returns the limits of each of the daemons that share allowedRatio and
// allowedSlack in a chain of two services.
func limitsOfOneDaemon(daemons int) Limits {
	return LimitsForChain(allowedRatio, allowedSlack, 2, daemons, testWindow)
}

// However many daemons share the budget, a daemon can retry a call that is not urgent
// after a few seconds of calls.
func TestDaemonOfALargeMeshCanRetryOrdinaryCalls(t *testing.T) {
	for _, daemons := range meshSizes {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			check := is.New(t)
			budget := NewBudgetWithLimits(limitsOfOneDaemon(daemons))
			now := time.Duration(0)
			for range 40 { // four seconds with ten calls each
				now += 100 * time.Millisecond
				budget.Deposit(now, 0)
			}
			check.True(budget.Withdraw(now, 0, 1, false))
		})
	}
}

// Retries earned by calls expire with the window.
func TestEarnedRetriesExpire(t *testing.T) {
	check := is.New(t)
	budget := NewBudgetWithLimits(Limits{Ratio: 0.5, Window: testWindow})
	for range 20 {
		budget.Deposit(time.Second, 0)
	}
	check.True(budget.Withdraw(6*time.Second, 0, 1, true))
	check.True(!budget.Withdraw(25*time.Second, 0, 1, true))
}

// meshSimulation simulates daemons with one budget each and counts their calls and retries in
// each tick.
type meshSimulation struct {
	budgets []*Budget
	calls   []int
	retries []int
}

// testTick is the length of a simulated tick.
const testTick = 100 * time.Millisecond

// step simulates one tick of calls at drawn daemons. If failing is set, each call is retried
// as often as the budget allows.
func (m *meshSimulation) step(t *rapid.T, calls int, failing bool) {
	now := time.Duration(len(m.calls)) * testTick
	firstDaemon := rapid.IntRange(0, len(m.budgets)-1).Draw(t, "daemon")
	stride := rapid.IntRange(1, len(m.budgets)).Draw(t, "stride")
	retries := 0
	for call := range calls {
		budget := m.budgets[(firstDaemon+call*stride)%len(m.budgets)]
		budget.Deposit(now, 0)
		for failing && budget.Withdraw(now, 0, 1, call%3 == 0) {
			retries++
		}
	}
	m.calls = append(m.calls, calls)
	m.retries = append(m.retries, retries)
}

// sum returns the total of counts[from:to]; indexes outside the slice are ignored.
func sum(counts []int, from, to int) (total int) {
	for _, count := range counts[max(0, from):max(0, min(to, len(counts)))] {
		total += count
	}
	return total
}

// The retries of all daemons together stay within the ratio and the slack in every window,
// for any calls, failures and number of daemons. The allowed number of retries follows
// from the largest number of calls in the same window, in the previous window or in the window
// halfway between them.
func TestMeshStaysWithinTheBudgetInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := is.New(t)
		daemons := rapid.SampledFrom(meshSizes).Draw(t, "daemons")
		simulation := &meshSimulation{}
		for range daemons {
			simulation.budgets = append(simulation.budgets, NewBudgetWithLimits(limitsOfOneDaemon(daemons)))
		}
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			calls := rapid.IntRange(0, 200).Draw(t, "calls")
			failing := rapid.Bool().Draw(t, "failing")
			for range rapid.IntRange(1, 80).Draw(t, "ticks") {
				simulation.step(t, calls, failing)
			}
		}
		window := int(testWindow / testTick)
		for start := range simulation.calls {
			requests := max(sum(simulation.calls, start, start+window), sum(simulation.calls, start-window, start), sum(simulation.calls, start-window/2, start+window/2))
			allowedRetries := allowedRatio*float64(requests) + allowedSlack
			check.True(float64(sum(simulation.retries, start, start+window)) <= allowedRetries)
		}
	})
}

// Calls to a version on trial leave half of the budget to other calls and refund unused
// retries.
func TestTrialCallsLeaveRetriesToOtherCalls(t *testing.T) {
	check := is.New(t)
	budget := NewBudgetWithLimits(Limits{Part: 8, Window: testWindow})
	policy := Policy{Repeatable: true, Attempts: 3, Deadline: time.Hour}
	var trials []*Call
	for range 4 {
		trials = append(trials, NewCall(policy, budget))
		check.True(trials[len(trials)-1].ReserveTrialRetry(time.Second))
	}
	check.True(!NewCall(policy, budget).ReserveTrialRetry(time.Second))
	for range 4 {
		check.True(budget.Withdraw(time.Second, 0, 1, true))
	}
	check.True(!budget.Withdraw(time.Second, 0, 1, true))
	failed := Outcome{Kind: Broken, Replayable: true, Others: true}
	check.Equal(trials[0].NextStep(2*time.Second, failed).Action, Send) // charged in advance
	for _, trial := range trials {
		trial.ReleaseTrialRetry()
		trial.ReleaseTrialRetry() // a retry is refunded only once
	}
	for range 3 { // the fourth retry was used
		check.True(budget.Withdraw(3*time.Second, 0, 1, true))
	}
	check.True(!budget.Withdraw(3*time.Second, 0, 1, true))
}

// A call that is not repeatable may go to a version on trial without charge. A repeatable
// one that can't be retried may not.
func TestReserveTrialRetryByPolicy(t *testing.T) {
	check := is.New(t)
	empty := NewBudgetWithLimits(Limits{Window: testWindow})
	check.True(NewCall(Policy{Attempts: 3}, empty).ReserveTrialRetry(0))
	plenty := NewBudgetWithLimits(Limits{Part: 8, Window: testWindow})
	check.True(NewCall(Policy{Repeatable: true, Attempts: 2}, plenty).ReserveTrialRetry(0))
	check.True(!NewCall(Policy{Repeatable: true, Attempts: 1}, plenty).ReserveTrialRetry(0))
	check.True(!NewCall(Policy{Repeatable: true, Attempts: 3, NoRetry: true}, plenty).ReserveTrialRetry(0))
	check.True(!NewCall(Policy{Repeatable: true, Attempts: 3}, empty).ReserveTrialRetry(0))
}
