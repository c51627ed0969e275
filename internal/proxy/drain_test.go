package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

func TestDrainOfAGateLosesNothing(t *testing.T) {
	check := is.New(t)
	backend := newBlocking()
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{limits: Limits{DrainLinger: time.Millisecond}}, backend.spec(), counting(&runs))
	running := make(chan answered)
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

func TestDrainBoundCutsWithItsCode(t *testing.T) {
	check := is.New(t)
	backend := newBlocking()
	limits := Limits{DrainLinger: time.Millisecond, DrainBound: 20 * time.Millisecond}
	mesh := startMesh(t, meshOptions{limits: limits}, backend.spec())
	running := make(chan answered)
	go func() { running <- mesh.call(t, "POST", "/", "x") }()
	<-backend.entered
	mesh.gates[0].StartDrain()
	<-mesh.gates[0].Drained()
	expectRefusal(check, <-running, result.DrainBound, result.RanUnknown)
	mesh.caller.StartDrain()
	<-mesh.caller.Drained()
	expectRefusal(check, mesh.call(t, "POST", "/", "x"), result.Draining, result.RanNo)
}

func TestBackEndsOwnDrainSignal(t *testing.T) {
	check := is.New(t)
	var draining atomic.Bool
	var runs atomic.Int64
	states := make(chan protocol.EndpointState, 16)
	options := meshOptions{
		limits: Limits{ProbePeriod: time.Millisecond},
		spec:   resource.Service{HealthPath: "/-/health", LoadPath: "/-/load"},
		state:  func(state protocol.EndpointState) { states <- state },
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
	own, _ := mesh.gates[0].health.ownLoad()
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
func TestIdleConnectionIsRetiredTruly(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, counting(&runs))
	listener := listen(t)
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
func TestStopUnderLoadLeavesNoDoubt(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, counting(&runs))
	for range 10 {
		listener := listen(t)
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

// TestADrainingGateStartsNothingThatItWouldCut: what comes to a gate while its daemon
// drains gets no more time than is left until running calls are cut, so that what can't
// end by then is refused as not run and goes elsewhere.
func TestADrainingGateStartsNothingThatItWouldCut(t *testing.T) {
	check := is.New(t)
	const bound = 2 * time.Second
	told := make(chan time.Duration, 2)
	limits := Limits{GateLingers: true, DrainLinger: time.Second, DrainBound: bound}
	mesh := startMesh(t, meshOptions{limits: limits}, backendSpec{
		handler: func(_ http.ResponseWriter, request *http.Request) {
			left, _ := statedTimeout(request.Header)
			told <- left
		},
	})
	check.Equal(mesh.call(t, "GET", "/", "").status, http.StatusOK)
	check.True(<-told > bound) // the route's own
	mesh.gates[0].StartDrain()
	check.Equal(mesh.call(t, "GET", "/", "").status, http.StatusOK)
	check.True(<-told <= bound)
}
