package load

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"go.uber.org/goleak"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/result"
)

var testKinds = []Kind{
	{Name: "lookup", Weight: 3, Method: http.MethodGet, Path: "/orders", AnswerBytes: 100, MayRepeat: true},
	{Name: "renewal", Weight: 2, Method: http.MethodPost, Path: "/renew", BodyBytes: 50},
	{Name: "upload", Weight: 1, Method: http.MethodPost, Path: "/labels", BodyBytes: 100 << 10, AnswerBytes: 70 << 10},
}

func TestBothLoopsCheckAnswers(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	origin := time.Now()
	server, err := backend.Start("b1", "127.0.0.1:0", backend.Config{MeanService: backend.NoService}, origin, nil)
	is.NoErr(err)
	defer server.Crash()
	plan := Plan{Kinds: testKinds, Targets: []Target{{Address: server.Address()}}, Calls: 200, Origin: origin, Seed: 1}
	for _, loop := range []Plan{{Rate: 2000, Prefix: "open"}, {Workers: 4, Prefix: "closed"}} {
		plan.Rate, plan.Workers, plan.Prefix = loop.Rate, loop.Workers, loop.Prefix
		report, err := Run(context.Background(), plan)
		is.NoErr(err)
		is.True(len(report.Results) >= 200)
		counts := Count(report.Results, All)
		is.Equal(counts.Good, counts.Calls)
		awaitRunsEnded(t, server)
		verdict := Judge(testKinds, report.Results, Runs(server.Runs()))
		is.Equal(verdict, Verdict{})
	}
}

// awaitRunsEnded waits until all runs are recorded as ended, which may be after their answers arrived.
func awaitRunsEnded(t *testing.T, server *backend.Server) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !lo.EveryBy(server.Runs(), func(run backend.Run) bool { return run.Ended }) {
		if time.Now().After(deadline) {
			t.Fatal("a run that was answered has not ended")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestACutAnswerIsSeen(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	server, err := backend.Start("b1", "127.0.0.1:0", backend.Config{MeanService: backend.NoService}, time.Now(), nil)
	is.NoErr(err)
	defer server.Crash()
	server.With(func(model *backend.Model, _ time.Duration) { model.PlanCrash(backend.CrashMidAnswer, 0) })
	client := NewClient()
	defer client.Close()
	is.Equal(client.Call(context.Background(), server.Address(), testKinds[1], "r").Fault, FaultCutAnswer)
	is.Equal(client.Call(context.Background(), server.Address(), testKinds[1], "r").Fault, FaultConnect)
}

func TestAnothersAnswerIsSeen(t *testing.T) {
	is := is.New(t)
	server, err := backend.Start("b1", "127.0.0.1:0", backend.Config{MeanService: backend.NoService}, time.Now(), nil)
	is.NoErr(err)
	defer server.Crash()
	client := NewClient()
	defer client.Close()
	kind := testKinds[0]
	request, err := newRequest(context.Background(), server.Address(), kind, "mine")
	is.NoErr(err)
	request.Header.Set(backend.HeaderRequest, "other")
	answer, err := client.transport.RoundTrip(request)
	is.NoErr(err)
	defer answer.Body.Close()
	is.Equal(readAnswer(answer, kind, "mine").Fault, FaultWrongAnswer)
}

func TestJudgeBites(t *testing.T) {
	is := is.New(t)
	run := backend.Run{Completed: true}
	cases := []struct {
		outcome Result
		runs    []backend.Run
		want    Verdict
	}{
		{Result{Kind: 1, Status: 200}, []backend.Run{run, run}, Verdict{RanTwice: 1}},
		{Result{Kind: 0, Status: 200}, []backend.Run{run, run}, Verdict{}},
		{Result{Kind: 1, Status: 503, Code: result.Draining, Ran: result.RanNo}, []backend.Run{{}}, Verdict{FalseDidNotRun: 1}},
		{Result{Kind: 1, Fault: FaultConnect}, []backend.Run{{}}, Verdict{FalseDidNotRun: 1}},
		{Result{Kind: 1, Status: 200, Fault: FaultWrongAnswer}, []backend.Run{run}, Verdict{WrongAnswer: 1, Cut: 1}},
		{Result{Kind: 1, Status: 200}, []backend.Run{{}}, Verdict{NotCompleted: 1}},
		{Result{Kind: 1, Fault: FaultBroken}, nil, Verdict{Cut: 1}},
		{Result{Kind: 1, Status: 502, Code: result.BrokenInFlight, Ran: result.RanUnknown}, []backend.Run{run}, Verdict{Cut: 1}},
	}
	for _, each := range cases {
		each.outcome.Request = "r"
		verdict := Judge(testKinds, []Result{each.outcome}, map[backend.RequestID][]backend.Run{"r": each.runs})
		verdict.Examples = nil
		is.Equal(verdict, each.want)
	}
}

func TestADialErrorAfterASendingIsNotCalledUnsent(t *testing.T) {
	is := is.New(t)
	refused := &net.OpError{Op: "dial", Err: net.ErrClosed}
	is.Equal(sendFault(refused, false), FaultConnect)
	is.Equal(sendFault(refused, true), FaultBroken)
	is.Equal(sendFault(context.DeadlineExceeded, true), FaultTimeout)
}
