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

// newBackendEnd returns the end of an instance that interrupted one call to each target.
func newBackendEnd(proxy *Proxy, instance string, targets ...string) *backendEnd {
	end := &backendEnd{start: protocol.BackendStart{Instance: instance}, resolved: make(chan struct{})}
	for _, target := range targets {
		end.interruptedCalls = append(end.interruptedCalls, &gateCall{proxy: proxy, request: newGetRequest(target)})
	}
	return end
}

// newGetRequest returns a GET request to a target as a gate receives it.
func newGetRequest(target string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, "http://app.example"+target, nil)
	if err != nil {
		panic(err) // the test passed an invalid target
	}
	request.RequestURI = target
	return request
}

// signatureOf returns the signature that a gate computes for a GET request to a target.
func signatureOf(proxy *Proxy, target string) quarantine.Signature {
	signature, _ := (&gateCall{proxy: proxy, request: newGetRequest(target)}).signature()
	return signature
}

// statesAfterEnd attributes an end and returns the resulting quarantine states of the requests to
// the targets, separated by spaces.
func statesAfterEnd(proxy *Proxy, end *backendEnd, targets ...string) string {
	proxy.attributeEnd(end)
	states := lo.Map(targets, func(target string, _ int) string {
		return proxy.HarmfulState(signatureOf(proxy, target)).String()
	})
	return strings.Join(states, " ")
}

// newProxyWithAnswers returns a proxy whose back end counts as having answered a call.
func newProxyWithAnswers(t *testing.T) *Proxy {
	t.Helper()
	proxy := New(Config{Clock: testClock, NodeID: "gate"})
	t.Cleanup(proxy.Close)
	proxy.counters.succeededCalls.Store(1)
	return proxy
}

// An end makes every interrupted request suspected. Once one request explains enough ends, it is
// held and the others are trusted again.
func TestEndIsAttributedToInterruptedRequests(t *testing.T) {
	check := is.New(t)
	proxy := newProxyWithAnswers(t)
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "1", "/a", "/b", "/a"), "/a", "/b"), "suspected suspected")
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "2", "/a", "/c"), "/a", "/b", "/c"), "suspected suspected suspected")
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "3", "/a"), "/a", "/b", "/c"), "held trusted trusted")
}

// A software version that has not answered any call may be faulty itself, so its ends must not make
// requests suspected until it has answered one.
func TestEndsOfVersionWithoutAnswersSuspectNoRequest(t *testing.T) {
	check := is.New(t)
	proxy := newProxyWithAnswers(t)
	proxy.backendEnds.succeededBeforeVersion.Store(proxy.counters.succeededCalls.Load())
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "1", "/a"), "/a"), "trusted")
	proxy.counters.succeededCalls.Add(1)
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "2", "/a"), "/a"), "suspected")
}

// A back end whose port accepts connections has not ended; a back end without a listener has.
func TestRefusesConnectionsOnlyWithoutListener(t *testing.T) {
	check := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	check.True(!refusesConnections((&Proxy{config: Config{BackendAddress: listener.Addr().String()}}).connectToBackend))
	check.NoErr(listener.Close())
	check.True(refusesConnections((&Proxy{config: Config{BackendAddress: listener.Addr().String()}}).connectToBackend))
}

// If a daemon receives the record of an end under a request that its own back end has answered
// before, it must set Familiar in the record and must publish a later answer as urgent.
func TestFamiliarRequestIsReportedToPeers(t *testing.T) {
	check := is.New(t)
	notified := make(chan bool, 8)
	gate := newProxyWithAnswers(t)
	peer := New(Config{Clock: testClock, NodeID: "other", OnHarmful: func(urgent bool) { notified <- urgent }})
	t.Cleanup(peer.Close)
	peer.harmfulRequests.recordAnswered(signatureOf(peer, "/often"))
	gate.attributeEnd(newBackendEnd(gate, "i", "/often"))
	check.Equal(peer.MergeHarmful(gate.UnsentHarmful()), 0)
	check.Equal(<-notified, false)
	records := peer.UnsentHarmful()
	check.Equal(len(records), 1)
	check.True(records[0].Familiar)
	check.Equal(len(peer.UnsentHarmful()), 0) // each record is returned once
	gate.MergeHarmful(records)
	check.Equal(gate.HarmfulSum(), peer.HarmfulSum())
	peer.harmfulRequests.recordAnswered(signatureOf(peer, "/often"))
	check.Equal(<-notified, true)
	gate.MergeHarmful(peer.UnsentHarmful())
	check.Equal(gate.HarmfulState(signatureOf(gate, "/often")), quarantine.Trusted)
}

// BenchmarkUnsuspected measures the quarantine checks of a call on the callers' side and at its
// gate, and the recording of its answer at the gate, while no request is suspected.
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

// Suspected calls must run one at a time at a gate, and a call must be refused if its request
// becomes held while it waits.
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
		t.Fatal("both suspected calls run at the same time")
	case <-time.After(20 * time.Millisecond):
	}
	for _, instance := range []string{"2", "3"} {
		proxy.harmfulRequests.recordEnd(instance, signatureOf(proxy, "/b")) // after these ends the request is held
	}
	first.releaseSuspectTurn()
	check.True(!<-started)
}

func TestRefusesConnectionsByDialResult(t *testing.T) {
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	reset := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
	for _, test := range []struct {
		name  string
		tries [maxEndDialTries]error
		ended bool
	}{
		{"refused", [maxEndDialTries]error{refused}, true},
		{"taken, then refused", [maxEndDialTries]error{nil, refused}, true},
		{"late, then refused", [maxEndDialTries]error{timeout, refused}, true},
		{"taken", [maxEndDialTries]error{nil, nil}, false},
		{"late", [maxEndDialTries]error{timeout, timeout}, false},
		{"reset", [maxEndDialTries]error{reset, refused}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			dials := 0
			ended := refusesConnections(func() error {
				dials++
				return test.tries[dials-1]
			})
			is.New(t).Equal(ended, test.ended)
		})
	}
}

// newProxyWithSlots returns a proxy whose gate has three slots.
func newProxyWithSlots(t *testing.T) *Proxy {
	t.Helper()
	proxy := newProxyWithAnswers(t)
	proxy.gate = admission.New(testClock(), admission.Config{Slots: 3, KeyWindow: time.Minute, KeyCount: 16})
	proxy.gate.SetColdLimit(testClock(), 0, false)
	return proxy
}

// admitToSlot has the gate admit a call, which then occupies a slot.
func admitToSlot(t *testing.T, call *gateCall) *gateCall {
	t.Helper()
	call.deadline = call.proxy.config.Clock() + time.Minute
	call.ticket = admission.NewTicket(admission.Call{Deadline: call.deadline}, nil)
	is.New(t).Equal(call.proxy.gate.Admit(call.proxy.config.Clock(), call.ticket).State, admission.StateStarted)
	return call
}

// A suspected request whose next end may put it into quarantine must run alone, so that this end
// interrupts no other call and makes no other request suspected.
func TestCallOneEndFromQuarantineRunsAlone(t *testing.T) {
	check := is.New(t)
	proxy := newProxyWithSlots(t)
	other := admitToSlot(t, &gateCall{proxy: proxy, request: newGetRequest("/other"), context: t.Context()})
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "1", "/a", "/b"), "/a"), "suspected")
	suspected := admitToSlot(t, &gateCall{proxy: proxy, request: newGetRequest("/a"), context: t.Context()})
	_, passed := suspected.isolate()
	check.True(passed) // after one end it may still run alongside other calls
	check.Equal(proxy.counters.isolatedCalls.Load(), uint64(0))
	check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, "2", "/a", "/c"), "/a"), "suspected")
	started := make(chan bool)
	go func() {
		_, passed := suspected.isolate()
		started <- passed
	}()
	select {
	case <-started:
		t.Fatal("the call runs alongside another call")
	case <-time.After(20 * time.Millisecond):
	}
	proxy.gate.Done(proxy.config.Clock(), other.ticket, true)
	check.True(<-started)
	check.Equal(proxy.counters.isolatedCalls.Load(), uint64(1))
	check.True(!proxy.gate.HasFreeSlot())
	suspected.endIsolation() // called when the call is answered or abandoned
	check.True(proxy.gate.HasFreeSlot())
}

// A request with enough ends to be held, each shared with another request, must run alone. It must
// be refused if the back end stays busy with other calls, and refused as quarantined if it becomes
// held in the meantime.
func TestCallThatMustRunAloneIsRefusedWhenGateIsBusy(t *testing.T) {
	check := is.New(t)
	proxy := newProxyWithSlots(t)
	for instance, otherTarget := range map[string]string{"1": "/b", "2": "/c", "3": "/d"} {
		check.Equal(statesAfterEnd(proxy, newBackendEnd(proxy, instance, "/a", otherTarget), "/a"), "suspected")
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
