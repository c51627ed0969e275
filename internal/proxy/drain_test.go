package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

func TestGateDrainLosesNoCall(t *testing.T) {
	check := is.New(t)
	backend := newBlockingBackend()
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{limits: Limits{DrainLinger: time.Millisecond}}, backend.spec(), countingBackend(&runs))
	results := make(chan callResult)
	started := 0
	for entered := false; !entered; started++ {
		go func() { results <- mesh.call(t, "POST", "/", "x") }()
		select {
		case <-backend.entered:
			entered = true
		case <-results: // the other back end answered it
		}
	}
	mesh.gates[0].StartDrain()
	runsBefore := runs.Load()
	for range 20 {
		check.Equal(mesh.call(t, "POST", "/", "x").body, "x") // sent to the other gate, though the member records still show this gate as ready
	}
	check.Equal(runs.Load()-runsBefore, int64(20))
	select {
	case <-mesh.gates[0].Drained():
		t.Fatal("drained while a call runs")
	default:
	}
	close(backend.release)
	check.Equal((<-results).body, "done")
	<-mesh.gates[0].Drained()
}

func TestCallCancelledAtDrainBoundGetsDrainBoundCode(t *testing.T) {
	check := is.New(t)
	backend := newBlockingBackend()
	limits := Limits{DrainLinger: time.Millisecond, DrainBound: 20 * time.Millisecond}
	mesh := startMesh(t, meshOptions{limits: limits}, backend.spec())
	results := make(chan callResult)
	go func() { results <- mesh.call(t, "POST", "/", "x") }()
	<-backend.entered
	mesh.gates[0].StartDrain()
	<-mesh.gates[0].Drained()
	expectRefusal(check, <-results, result.DrainBound, result.RanUnknown)
	mesh.caller.StartDrain()
	<-mesh.caller.Drained()
	expectRefusal(check, mesh.call(t, "POST", "/", "x"), result.Draining, result.RanNo)
}

func TestBackendDrainSignalStopsCalls(t *testing.T) {
	check := is.New(t)
	var draining atomic.Bool
	var runs atomic.Int64
	states := make(chan protocol.EndpointState, 16)
	options := meshOptions{
		limits:         Limits{ProbePeriod: time.Millisecond},
		service:        resource.Service{HealthPath: "/-/health", LoadPath: "/-/load"},
		onBackendState: func(state protocol.EndpointState) { states <- state },
	}
	mesh := startMesh(t, options, backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		switch request.URL.Path {
		case "/-/health":
			if draining.Load() {
				writer.Header().Set(headerBackendDraining, "true")
			}
		case "/-/load":
			_, _ = io.WriteString(writer, `{"running":2.5}`)
		default:
			runs.Add(1)
		}
	}})
	check.Equal(<-states, protocol.EndpointReady)
	check.Equal(mesh.call(t, "POST", "/", "x").status, http.StatusOK)
	draining.Store(true)
	check.Equal(<-states, protocol.EndpointDraining)
	expectRefusal(check, mesh.call(t, "POST", "/", "x"), result.Draining, result.RanNo)
	reportedLoad, _ := mesh.gates[0].health.backendLoad()
	check.Equal(reportedLoad, 2.5)
	draining.Store(false)
	check.Equal(<-states, protocol.EndpointReady)
	mesh.members[0].Sequence++ // the daemon's newer member record supersedes its earlier refusal
	mesh.caller.PublishMembers(mesh.members)
	check.Equal(mesh.call(t, "POST", "/", "x").status, http.StatusOK)
	check.Equal(runs.Load(), int64(2))
}

// A server that stops must announce the close on idle connections, and must not run requests that
// are sent on them afterwards.
func TestShutdownRunsNothingOnIdleConnection(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	listener := listenLoopback(t)
	server := NewServer(mesh.caller.CallerHandler(), Limits{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	check.NoErr(err)
	defer conn.Close()
	call := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	_, err = io.WriteString(conn, call)
	check.NoErr(err)
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	check.NoErr(err)
	check.Equal(answer.StatusCode, http.StatusOK)
	_, err = io.Copy(io.Discard, answer.Body)
	check.NoErr(err)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	announced, err := http.ReadResponse(reader, nil)
	check.NoErr(err)
	check.Equal(announced.StatusCode, http.StatusRequestTimeout)
	check.Equal(announced.Header.Get(headerRan), "no")
	check.Equal(announced.Header.Get(headerCode), "405")
	_, _ = io.WriteString(conn, call) // like a request that was sent before the announcement arrived
	check.NoErr(<-stopped)
	check.Equal(<-served, http.ErrServerClosed)
	check.Equal(runs.Load(), int64(1))
}

// When a server stops under a load of calls that must not be repeated, each call must be answered
// or refused as not run, so that no outcome is unknown.
func TestShutdownUnderLoadLeavesNoCallUnknown(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	for range 10 {
		listener := listenLoopback(t)
		server := NewServer(mesh.caller.CallerHandler(), Limits{})
		go func() { _ = server.Serve(listener) }()
		var answered, unknown atomic.Int64
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for {
					answer, err := client.Post("http://"+listener.Addr().String(), "", strings.NewReader("x"))
					var failed *net.OpError
					if errors.As(err, &failed) && failed.Op == "dial" {
						return // the request can't have run
					}
					if err != nil || answer.StatusCode != http.StatusOK && answer.Header.Get(headerRan) != "no" {
						t.Log(err, answer)
						unknown.Add(1)
						return
					}
					_, _ = io.Copy(io.Discard, answer.Body)
					_ = answer.Body.Close()
					if answer.StatusCode != http.StatusOK {
						return // refused as not run
					}
					answered.Add(1)
				}
			})
		}
		for answered.Load() < 50 && unknown.Load() == 0 {
			runtime.Gosched()
		}
		check.NoErr(server.Shutdown(t.Context()))
		group.Wait()
		check.Equal(unknown.Load(), int64(0))
	}
}

// The admission deadline of a call at a draining gate must not be later than the drain's deadline.
// A call that would wait longer is then refused as not run and can be sent elsewhere.
func TestDrainingGateLimitsAdmissionDeadline(t *testing.T) {
	check := is.New(t)
	const drainBound = 2 * time.Second
	backend := newBlockingBackend()
	limits := Limits{GateLingers: true, DrainLinger: time.Second, DrainBound: drainBound}
	mesh := startMesh(t, meshOptions{slots: 1, limits: limits}, backend.spec())
	gate := mesh.gates[0]
	newTicket := func() *admission.Ticket {
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		call := &gateCall{proxy: gate, request: request, deadline: testClock() + time.Minute}
		return call.newTicket()
	}
	check.True(newTicket().Deadline > testClock()+drainBound)
	gate.StartDrain()
	check.True(newTicket().Deadline <= testClock()+drainBound)
}

// callCancelledByDrain returns the result of a call that runs at a draining gate until the gate
// cancels it at the drain's deadline. failed counts the failures that the gates report of their
// back ends.
func callCancelledByDrain(t *testing.T, failed *atomic.Int64) callResult {
	t.Helper()
	limits := Limits{GateLingers: true, DrainLinger: 200 * time.Millisecond, DrainBound: 300 * time.Millisecond}
	started := make(chan struct{}, 9)
	blocking := backendSpec{handler: func(_ http.ResponseWriter, request *http.Request) {
		started <- struct{}{}
		<-request.Context().Done()
	}}
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{limits: limits}, blocking, countingBackend(&runs))
	for _, gate := range mesh.gates {
		gate.config.OnBackendFailed = func(protocol.BackendStart, uint64) { failed.Add(1) }
	}
	mesh.gates[0].StartDrain()
	for {
		results := make(chan callResult, 1)
		go func() { results <- mesh.call(t, "GET", "/", "") }()
		select {
		case outcome := <-results:
			if outcome.status != http.StatusOK {
				t.Fatal(outcome)
			}
		case <-started:
			return await(t, results, "an answer")
		}
	}
}

// A call that a draining gate cancels at the drain's deadline must be retried if its own deadline
// has not passed.
func TestCallCancelledByDrainingGateIsRetried(t *testing.T) {
	var failed atomic.Int64
	outcome := callCancelledByDrain(t, &failed)
	t.Log(outcome.status, outcome.code(), outcome.ran(), outcome.body)
	is.New(t).Equal(outcome.status, http.StatusOK)
}

// A call that the gate cancels because of its drain must not be counted as a failure of its back
// end.
func TestCancellationByDrainIsNotABackendFailure(t *testing.T) {
	var failed atomic.Int64
	_ = callCancelledByDrain(t, &failed)
	is.New(t).Equal(failed.Load(), int64(0))
}
