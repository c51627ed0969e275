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
	running := make(chan callResult)
	started := 0
	for entered := false; !entered; started++ {
		go func() { running <- mesh.call(t, "POST", "/", "x") }()
		select {
		case <-backend.entered:
			entered = true
		case <-running: // it went to the other one
		}
	}
	mesh.gates[0].StartDrain()
	before := runs.Load()
	for range 20 {
		check.Equal(mesh.call(t, "POST", "/", "x").body, "x") // goes to the other, untold
	}
	check.Equal(runs.Load()-before, int64(20))
	select {
	case <-mesh.gates[0].Drained():
		t.Fatal("drained while a call runs")
	default:
	}
	close(backend.release)
	check.Equal((<-running).body, "done")
	<-mesh.gates[0].Drained()
}

func TestCallCutAtDrainBoundGetsDrainBoundCode(t *testing.T) {
	check := is.New(t)
	backend := newBlockingBackend()
	limits := Limits{DrainLinger: time.Millisecond, DrainBound: 20 * time.Millisecond}
	mesh := startMesh(t, meshOptions{limits: limits}, backend.spec())
	running := make(chan callResult)
	go func() { running <- mesh.call(t, "POST", "/", "x") }()
	<-backend.entered
	mesh.gates[0].StartDrain()
	<-mesh.gates[0].Drained()
	expectRefusal(check, <-running, result.DrainBound, result.RanUnknown)
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
	own, _ := mesh.gates[0].health.backendLoad()
	check.Equal(own, 2.5)
	draining.Store(false)
	check.Equal(<-states, protocol.EndpointReady)
	mesh.members[0].Sequence++ // the daemon's newer word ends what its refusal said
	mesh.caller.PublishMembers(mesh.members)
	check.Equal(mesh.call(t, "POST", "/", "x").status, http.StatusOK)
	check.Equal(runs.Load(), int64(2))
}

// TestIdleConnectionIsRetiredTruly: a server that stops announces the close on
// idle connections, and runs nothing that was still sent on them.
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
	_, _ = io.WriteString(conn, call) // as if it had been on its way
	check.NoErr(<-stopped)
	check.Equal(<-served, http.ErrServerClosed)
	check.Equal(runs.Load(), int64(1))
}

// TestStopUnderLoadLeavesNoDoubt stops servers under calls that may not be
// repeated. Each is answered, or refused as not run: none is in doubt.
func TestShutdownUnderLoadLeavesNoCallUnknown(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	for range 10 {
		listener := listenLoopback(t)
		server := NewServer(mesh.caller.CallerHandler(), Limits{})
		go func() { _ = server.Serve(listener) }()
		var answered, doubtful atomic.Int64
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for {
					answer, err := client.Post("http://"+listener.Addr().String(), "", strings.NewReader("x"))
					var failed *net.OpError
					if errors.As(err, &failed) && failed.Op == "dial" {
						return // certain not to have run
					}
					if err != nil || answer.StatusCode != http.StatusOK && answer.Header.Get(headerRan) != "no" {
						t.Log(err, answer)
						doubtful.Add(1)
						return
					}
					_, _ = io.Copy(io.Discard, answer.Body)
					_ = answer.Body.Close()
					if answer.StatusCode != http.StatusOK {
						return // told to come back later
					}
					answered.Add(1)
				}
			})
		}
		for answered.Load() < 50 && doubtful.Load() == 0 {
			runtime.Gosched()
		}
		check.NoErr(server.Shutdown(t.Context()))
		group.Wait()
		check.Equal(doubtful.Load(), int64(0))
	}
}

// TestADrainingGateAdmitsByItsBound: a call that would wait at a gate beyond the bound
// of its drain is refused there as not run, though it has time left, and goes elsewhere.
func TestDrainingGateLimitsAdmissionDeadline(t *testing.T) {
	check := is.New(t)
	const bound = 2 * time.Second
	backend := newBlockingBackend()
	limits := Limits{GateLingers: true, DrainLinger: time.Second, DrainBound: bound}
	mesh := startMesh(t, meshOptions{slots: 1, limits: limits}, backend.spec())
	gate := mesh.gates[0]
	newTicket := func() *admission.Ticket {
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		call := &gateCall{proxy: gate, request: request, deadline: testClock() + time.Minute}
		return call.newTicket()
	}
	check.True(newTicket().Deadline > testClock()+bound)
	gate.StartDrain()
	check.True(newTicket().Deadline <= testClock()+bound)
}

// drainedUnder has a call run at a gate that drains, and returns what the caller gets when
// the gate's bound has passed. Failed counts what the back ends are blamed for.
func callCutByDrain(t *testing.T, failed *atomic.Int64) callResult {
	t.Helper()
	limits := Limits{GateLingers: true, DrainLinger: 200 * time.Millisecond, DrainBound: 300 * time.Millisecond}
	began := make(chan struct{}, 9)
	slow := backendSpec{handler: func(_ http.ResponseWriter, request *http.Request) {
		began <- struct{}{}
		<-request.Context().Done()
	}}
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{limits: limits}, slow, countingBackend(&runs))
	for _, gate := range mesh.gates {
		gate.config.OnBackendFailed = func(protocol.BackendStart, uint64) { failed.Add(1) }
	}
	mesh.gates[0].StartDrain()
	for {
		got := make(chan callResult, 1)
		go func() { got <- mesh.call(t, "GET", "/", "") }()
		select {
		case one := <-got:
			if one.status != http.StatusOK {
				t.Fatal(one)
			}
		case <-began:
			return await(t, got, "an answer")
		}
	}
}

// What a draining gate cuts at its bound, though the call has time left, may be repeated:
// it is no deadline of the call's.
func TestCallCutByDrainingGateIsRetried(t *testing.T) {
	var failed atomic.Int64
	got := callCutByDrain(t, &failed)
	t.Log(got.status, got.code(), got.ran(), got.body)
	is.New(t).Equal(got.status, http.StatusOK)
}

// A back end is not blamed for what the gate's own drain has cut.
func TestDrainCutIsNotABackendFailure(t *testing.T) {
	var failed atomic.Int64
	_ = callCutByDrain(t, &failed)
	is.New(t).Equal(failed.Load(), int64(0))
}
