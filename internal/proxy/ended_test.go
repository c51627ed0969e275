package proxy

import (
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/result"
)

// atWorkOn is the end of an instance beside a proxy under calls of some targets.
func newBackendEnd(proxy *Proxy, instance string, targets ...string) *backendEnd {
	end := &backendEnd{start: protocol.BackendStart{Instance: instance}, resolved: make(chan struct{})}
	for _, target := range targets {
		end.interruptedCalls = append(end.interruptedCalls, &gateCall{proxy: proxy, request: newGetRequest(target)})
	}
	return end
}

func newGetRequest(target string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, "http://app.example"+target, nil)
	if err != nil {
		panic(err) // targets are the tests' own
	}
	request.RequestURI = target
	return request
}

func signatureOf(proxy *Proxy, target string) quarantine.Signature {
	signature, _ := (&gateCall{proxy: proxy, request: newGetRequest(target)}).signature()
	return signature
}

// beliefsAfter are the beliefs of some targets after an end.
func statesAfterEnd(proxy *Proxy, end *backendEnd, targets ...string) string {
	proxy.attributeEnd(end)
	beliefs := lo.Map(targets, func(target string, _ int) string {
		return proxy.HarmfulBelief(signatureOf(proxy, target)).String()
	})
	return strings.Join(beliefs, " ")
}

func newProxyWithAnswers(t *testing.T) *Proxy {
	t.Helper()
	proxy := New(Config{Clock: testClock, NodeID: "gate"})
	t.Cleanup(proxy.Close)
	proxy.counters.succeeded.Store(1)
	return proxy
}

// An end may be of any request that was at work; once one explains enough of them, the
// others are trusted again.
func TestEndIsAttributedToInterruptedRequests(t *testing.T) {
	check := is.New(t)
	proxy := newProxyWithAnswers(t)
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "1", "/a", "/b", "/a"), "/a", "/b"), "suspected suspected")
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "2", "/a", "/c"), "/a", "/b", "/c"), "suspected suspected suspected")
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "3", "/a"), "/a", "/b", "/c"), "held trusted trusted")
}

// A software version that has answered nothing may be unable to, so that its ends speak of
// no request, until it has.
func TestEndsOfVersionWithoutAnswersSuspectNoRequest(t *testing.T) {
	check := is.New(t)
	proxy := newProxyWithAnswers(t)
	proxy.backendEnds.succeededBeforeVersion.Store(proxy.counters.succeeded.Load())
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "1", "/a"), "/a"), "trusted")
	proxy.counters.succeeded.Add(1)
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "2", "/a"), "/a"), "suspected")
}

// A back end that takes connections, or says nothing, has not ended.
func TestRefusesConnectionsOnlyWithoutListener(t *testing.T) {
	check := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	check.True(!refusesConnections((&Proxy{config: Config{BackendAddress: listener.Addr().String()}}).connectToBackend))
	check.NoErr(listener.Close())
	check.True(refusesConnections((&Proxy{config: Config{BackendAddress: listener.Addr().String()}}).connectToBackend))
}

// What others know of a request in addition reaches those who have heard of its first end.
func TestFamiliarRequestIsReportedToPeers(t *testing.T) {
	check := is.New(t)
	told := make(chan bool, 8)
	one := newProxyWithAnswers(t)
	other := New(Config{Clock: testClock, NodeID: "other", OnHarmful: func(urgent bool) { told <- urgent }})
	t.Cleanup(other.Close)
	other.harmful.recordAnswered(signatureOf(other, "/often"))
	one.attributeEnd(newBackendEnd(one, "i", "/often"))
	check.Equal(other.MergeHarmful(one.UntoldHarmful(), false), 0)
	check.Equal(<-told, false)
	records := other.UntoldHarmful()
	check.Equal(len(records), 1)
	check.True(records[0].Familiar)
	check.Equal(len(other.UntoldHarmful()), 0) // told once
	one.MergeHarmful(records, false)
	check.Equal(one.HarmfulSum(), other.HarmfulSum())
	other.harmful.recordAnswered(signatureOf(other, "/often"))
	check.Equal(<-told, true)
	one.MergeHarmful(other.UntoldHarmful(), false)
	check.Equal(one.HarmfulBelief(signatureOf(one, "/often")), quarantine.Trusted)
}

// BenchmarkUnsuspected is what a call pays at its entry and its gate while nothing is known
// of any request, and what its gate remembers of its answer.
func BenchmarkUnsuspected(b *testing.B) {
	proxy := New(Config{Clock: testClock, NodeID: "gate"})
	b.Cleanup(proxy.Close)
	call := &gateCall{proxy: proxy, request: newGetRequest("/orders/17?full=1")}
	entry := &callerCall{proxy: proxy, request: call.request}
	b.Run("entry", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			entry.quarantineState()
		}
	})
	b.Run("gate", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = call.awaitSuspectTurn()
			call.recordSuccess(http.StatusOK)
		}
	})
}

// Two harmful requests that wait for their turn at one gate run one after the other.
func TestSuspectedCallsRunOneAtATime(t *testing.T) {
	check := is.New(t)
	proxy := newProxyWithAnswers(t)
	proxy.attributeEnd(newBackendEnd(proxy, "1", "/a", "/b"))
	first := &gateCall{proxy: proxy, request: newGetRequest("/a"), context: t.Context()}
	second := &gateCall{proxy: proxy, request: newGetRequest("/b"), context: t.Context()}
	_, passed := first.awaitSuspectTurn()
	check.True(passed)
	started := make(chan bool)
	go func() {
		_, passed := second.awaitSuspectTurn()
		started <- passed
	}()
	select {
	case <-started:
		t.Fatal("both run at a time")
	case <-time.After(20 * time.Millisecond):
	}
	for _, instance := range []string{"2", "3"} {
		proxy.harmful.recordEnd(instance, signatureOf(proxy, "/b")) // it is held meanwhile
	}
	first.releaseSuspectTurn()
	check.True(!<-started)
}

func TestRefusesConnectionsByDialResult(t *testing.T) {
	late := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	reset := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
	for _, given := range []struct {
		name  string
		tries [endDialTries]error
		ended bool
	}{
		{"refused", [endDialTries]error{refused}, true},
		{"taken, then refused", [endDialTries]error{nil, refused}, true},
		{"late, then refused", [endDialTries]error{late, refused}, true},
		{"taken", [endDialTries]error{nil, nil}, false},
		{"late", [endDialTries]error{late, late}, false},
		{"reset", [endDialTries]error{reset, refused}, false},
	} {
		t.Run(given.name, func(t *testing.T) {
			asked := 0
			ended := refusesConnections(func() error {
				asked++
				return given.tries[asked-1]
			})
			is.New(t).Equal(ended, given.ended)
		})
	}
}

// newSlotsProxy is a proxy whose gate has some slots.
func newProxyWithSlots(t *testing.T) *Proxy {
	t.Helper()
	proxy := newProxyWithAnswers(t)
	proxy.gate = admission.New(testClock(), admission.Config{Slots: 3, KeyWindow: time.Minute, KeyCount: 16})
	proxy.gate.SetColdLimit(testClock(), 0, false)
	return proxy
}

// slotOf has a call hold a slot of its gate.
func admitToSlot(t *testing.T, call *gateCall) *gateCall {
	t.Helper()
	call.deadline = call.proxy.config.Clock() + time.Minute
	call.ticket = admission.NewTicket(admission.Call{Deadline: call.deadline}, nil)
	is.New(t).Equal(call.proxy.gate.Admit(call.proxy.config.Clock(), call.ticket).State, admission.StateStarted)
	return call
}

// A request that may be held at its next end runs alone, so that this end costs no other call
// and speaks against no other request.
func TestCallOneEndFromQuarantineRunsAlone(t *testing.T) {
	check := is.New(t)
	proxy := newProxyWithSlots(t)
	other := admitToSlot(t, &gateCall{proxy: proxy, request: newGetRequest("/other"), context: t.Context()})
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "1", "/a", "/b"), "/a"), "suspected")
	suspected := admitToSlot(t, &gateCall{proxy: proxy, request: newGetRequest("/a"), context: t.Context()})
	_, passed := suspected.isolate()
	check.True(passed) // one end may be of any other request
	check.Equal(proxy.counters.isolatedCalls.Load(), uint64(0))
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "2", "/a", "/c"), "/a"), "suspected")
	started := make(chan bool)
	go func() {
		_, passed := suspected.isolate()
		started <- passed
	}()
	select {
	case <-started:
		t.Fatal("it runs beside another call")
	case <-time.After(20 * time.Millisecond):
	}
	proxy.gate.Done(proxy.config.Clock(), other.ticket, true)
	check.True(<-started)
	check.Equal(proxy.counters.isolatedCalls.Load(), uint64(1))
	check.True(!proxy.gate.HasFreeSlot())
	suspected.endIsolation() // it has its answer, or is given up while the back end hangs
	check.True(proxy.gate.HasFreeSlot())
}

// A request that is at enough ends to be held, but was never at work alone, is refused where a
// back end is kept busy by others, and one that was found harmful as it waited is not sent.
func TestCallThatMustRunAloneIsRefusedWhenGateIsBusy(t *testing.T) {
	check := is.New(t)
	proxy := newProxyWithSlots(t)
	for instance, beside := range map[string]string{"1": "/b", "2": "/c", "3": "/d"} {
		check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, instance, "/a", beside), "/a"), "suspected")
	}
	admitToSlot(t, &gateCall{proxy: proxy, request: newGetRequest("/other"), context: t.Context()})
	suspected := admitToSlot(t, &gateCall{proxy: proxy, request: newGetRequest("/a"), context: t.Context()})
	suspected.deadline = proxy.config.Clock() + 20*time.Millisecond
	refusal, passed := suspected.isolate()
	check.True(!passed)
	check.Equal(refusal.Code, result.QueueFull)
	check.True(refusal.RetryAfter > 0)
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "4", "/a"), "/a"), "held")
	refusal, passed = suspected.isolate()
	check.True(!passed)
	check.Equal(refusal.Code, result.Quarantined)
}
