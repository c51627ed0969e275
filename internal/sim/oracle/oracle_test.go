package oracle_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/sim/oracle"
)

const file = oracle.FileName("adomako/web")

// submitted returns an oracle that saw one change of two resources.
func submitted(operation, marker string) *oracle.Oracle {
	judge := oracle.New()
	submit(judge, operation, marker)
	return judge
}

func submit(judge *oracle.Oracle, operation, marker string) {
	judge.Submitted(oracle.Change{
		Operation: operation, File: file, Marker: marker,
		Declares: []oracle.Declared{
			{Key: "adomako/service/web"},
			{Key: "adomako/backend/web", Of: "adomako/service/web"},
			{Key: "adomako/route/web", Owner: "adomako"},
		},
	})
}

// holding returns the whole of a change at a version.
func holding(version uint64, marker string) oracle.Holding {
	return oracle.Holding{
		Version: version, Scope: "whole", Partners: []string{"adomako"},
		Resources: []oracle.Resource{
			{Key: "adomako/service/web", File: file, Marker: marker},
			{Key: "adomako/backend/web", File: file, Marker: marker, Of: "adomako/service/web"},
			{Key: "adomako/route/web", File: file, Marker: marker, Owner: "adomako", Needs: []string{"adomako/service/web"}},
		},
	}
}

func expect(t *testing.T, judge *oracle.Oracle, broken ...oracle.Invariant) {
	t.Helper()
	is := is.New(t)
	var found []oracle.Invariant
	for _, violation := range judge.Violations() {
		found = append(found, violation.Invariant)
	}
	is.Equal(found, broken)
}

func TestCorrectHistoryHasNoViolation(t *testing.T) {
	judge := submitted("1", "m1")
	judge.Answered(0, "1", oracle.Answer{Code: result.OK, Version: 1})
	judge.PutInForce(0, "a", holding(1, "m1"))
	judge.Serving(0, "a", true)
	judge.ToldInForce(0, "a", 1)
	judge.Settled(0, []oracle.ProxyName{"a"}, map[oracle.ProxyName]oracle.Holding{"a": holding(1, "m1")})
	expect(t, judge)
}

func TestOlderVersionAfterRestart(t *testing.T) {
	judge := submitted("1", "m1")
	judge.PutInForce(0, "a", holding(2, "m1"))
	judge.Stopped("a")
	judge.PutInForce(time.Second, "a", holding(1, "m1"))
	expect(t, judge, oracle.NoOlderVersion)
}

func TestDanglingAndPartialHoldings(t *testing.T) {
	judge := submitted("1", "m1")
	part := holding(1, "m1")
	part.Resources = part.Resources[1:]
	judge.PutInForce(0, "a", part)
	part = holding(2, "m1")
	part.Resources = part.Resources[:2]
	judge.PutInForce(0, "a", part)
	part = holding(3, "m1")
	part.Resources = append(part.Resources[:1:1], part.Resources[2])
	judge.PutInForce(0, "a", part)
	expect(t, judge, oracle.NoDangling, oracle.WholeOrNothing, oracle.WholeOrNothing)
}

func TestSameVersionMeansSameContent(t *testing.T) {
	judge := submitted("1", "m1")
	judge.PutInForce(0, "a", holding(1, "m1"))
	more := holding(1, "m1")
	more.Resources = append(more.Resources, oracle.Resource{Key: "kameeldoring/service/x", File: "kameeldoring/x", Marker: "m2"})
	judge.Submitted(oracle.Change{Operation: "2", File: "kameeldoring/x", Marker: "m2",
		Declares: []oracle.Declared{{Key: "kameeldoring/service/x"}}})
	judge.PutInForce(0, "b", more)
	expect(t, judge) // a relay may hold more than its own routes reach
	judge.PutInForce(0, "c", oracle.Holding{Version: 1, Scope: "whole", Partners: []string{"adomako"}})
	expect(t, judge, oracle.WholeOrNothing)
}

func TestRefusalIsJudgedByWhatComesLater(t *testing.T) {
	judge := submitted("1", "m1")
	judge.Answered(0, "1", oracle.Answer{Code: result.NotAccepted})
	judge.PutInForce(time.Second, "a", holding(1, "m1"))
	expect(t, judge, oracle.RefusalIsTrue)
}

func TestUnknownOutcomeMayLand(t *testing.T) {
	judge := submitted("1", "m1")
	judge.Answered(0, "1", oracle.Answer{Code: result.OutcomeUnknown})
	submit(judge, "1", "m1")
	judge.Answered(0, "1", oracle.Answer{Code: result.NotAccepted})
	judge.PutInForce(time.Second, "a", holding(1, "m1"))
	expect(t, judge)
}

func TestClaimIsJudgedNowAndLater(t *testing.T) {
	judge := submitted("1", "m1")
	judge.PutInForce(0, "a", holding(1, "m1"))
	judge.Serving(0, "a", true)
	judge.ToldInForce(0, "b", 2)
	judge.PutInForce(0, "c", holding(1, "m1"))
	judge.Serving(0, "c", true)
	expect(t, judge, oracle.InForceHolds, oracle.InForceHolds)
}

func TestClaimMayPassOverAProxyThatDoesNotServe(t *testing.T) {
	judge := submitted("1", "m1")
	submit(judge, "2", "m2")
	judge.PutInForce(0, "serving", holding(2, "m2"))
	judge.Serving(0, "serving", true)
	judge.PutInForce(0, "without lease", holding(1, "m1"))
	judge.Serving(0, "without lease", false)
	judge.PutInForce(0, "stopped", holding(1, "m1"))
	judge.Serving(0, "stopped", true)
	judge.Stopped("stopped")
	judge.ToldInForce(0, "serving", 2)
	expect(t, judge)
	judge.Serving(time.Second, "without lease", true) // what it holds is older than the claim
	expect(t, judge, oracle.InForceHolds)
}

func TestLaggingWaitsForEveryProxyThatIsExpected(t *testing.T) {
	is := is.New(t)
	judge := submitted("1", "m1")
	judge.Answered(0, "1", oracle.Answer{Code: result.OK, Version: 3})
	expected := []oracle.ProxyName{"a", "b"}
	judge.PutInForce(0, "a", holding(3, "m1"))
	judge.Serving(0, "a", true)
	is.Equal(judge.Lagging(expected), []oracle.ProxyName{"b"}) // it was never heard of
	judge.PutInForce(0, "b", holding(4, "m1"))
	is.Equal(judge.Lagging(expected), []oracle.ProxyName{"b"}) // it does not serve
	judge.Serving(0, "b", true)
	is.Equal(len(judge.Lagging(expected)), 0) // a newer version counts
	submit(judge, "2", "m2")
	judge.Answered(0, "2", oracle.Answer{Code: result.OK, Version: 4})
	is.Equal(judge.Lagging(expected), []oracle.ProxyName{"a"})
}

func TestRevertIsFound(t *testing.T) {
	judge := submitted("1", "m1")
	submit(judge, "2", "m2")
	judge.Answered(0, "1", oracle.Answer{Code: result.OK, Version: 1})
	judge.Answered(0, "2", oracle.Answer{Code: result.OK, Version: 2})
	judge.PutInForce(0, "a", holding(3, "m1"))
	expect(t, judge, oracle.InForceHolds)
}

func TestCalls(t *testing.T) {
	judge := oracle.New()
	judge.CallSent("c1", false, "answer 1")
	judge.BackendStarted(0, "b", "c1")
	judge.BackendStarted(0, "b", "c1")
	judge.CallEnded(0, "c1", oracle.Outcome{Code: result.OK, Ran: result.RanYes, Body: "answer 2", Whole: true})
	judge.CallSent("c2", false, "answer 2")
	judge.CallEnded(0, "c2", oracle.Outcome{Code: result.QueueFull, Ran: result.RanNo})
	judge.BackendStarted(0, "b", "c2")
	judge.BackendLeaving(0, "b")
	judge.CallSent("c3", true, "answer 3")
	judge.BackendStarted(oracle.NewWorkBound+1, "b", "c3")
	judge.BackendEnded("b", "c1")
	judge.BackendEnded("b", "c2")
	judge.BackendStopped(time.Minute, "b")
	expect(t, judge, oracle.AtMostOnce, oracle.OwnWholeAnswer, oracle.RefusalIsTrue,
		oracle.LeavingTakesNone, oracle.PlannedStopIsSoft)
}

func TestCallsKeepToTheirRegions(t *testing.T) {
	judge := oracle.New()
	judge.BackendIn("b", "south")
	judge.CallSent("free", true, "")
	judge.BackendStarted(0, "b", "free")
	judge.CallSent("kept", true, "")
	judge.CallKeptTo("kept", []string{"north", "south"})
	judge.BackendStarted(0, "b", "kept")
	expect(t, judge)
	judge.CallSent("strayed", true, "")
	judge.CallKeptTo("strayed", []string{"north"})
	judge.BackendStarted(0, "b", "strayed")
	judge.CallSent("barred", true, "")
	judge.CallKeptTo("barred", []string{})
	judge.BackendStarted(0, "b", "barred")
	expect(t, judge, oracle.KeepsToRegions, oracle.KeepsToRegions)
}
