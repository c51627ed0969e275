package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// TestConcurrentLargeBodiesAreLimited: a gate receives at most maxTransfers large bodies at
// a time, and calls with small bodies overtake the large bodies that wait.
func TestConcurrentLargeBodiesAreLimited(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		body, _ := io.ReadAll(request.Body)
		_, _ = writer.Write(body)
	}})
	queue := mesh.gates[0].bodyQueue
	for range maxTransfers {
		check.True(queue.acquireTurn(t.Context()))
	}
	large := strings.Repeat("x", minLargeBodyBytes)
	results := make(chan callResult, 3)
	for range 3 {
		go func() { results <- mesh.call(t, "POST", "/", large) }()
	}
	for queue.waitingBodies.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	check.Equal(mesh.call(t, "POST", "/", "small").body, "small")
	check.Equal(runs.Load(), int64(1)) // no call with a large body has a slot
	check.True(strings.HasPrefix(mesh.gates[0].loadHeaderValue(), "0 3 "))
	queue.completeTurn(time.Millisecond)
	for range 3 {
		check.True((<-results).body == large)
	}
	queue.completeTurn(time.Millisecond)
	check.Equal(len(queue.turns), 0)
}

// slowUpload sends the head and the first bytes of a large body.
func slowUpload(t *testing.T, mesh *mesh, headers string) net.Conn {
	t.Helper()
	conn := mesh.dialWith(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\nfirst", minLargeBodyBytes, headers))
	_ = conn.SetDeadline(time.Now().Add(awaitTimeout))
	return conn
}

// statusLine reads the first line of an answer; it is empty if there is no answer.
func statusLine(conn net.Conn) string {
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

// TestStalledBodyDoesNotBlockOthers: when the machines of senders fail during their turns, a
// gate without bodyIdleTimeout receives no other large body for 15 s. A stalled body
// loses its turn, and its call still succeeds if the body continues later.
func TestStalledBodyDoesNotBlockOthers(t *testing.T) {
	check := is.New(t)
	mesh := startMesh(t, meshOptions{changeCaller: func(config *Config) {
		config.Limits.ReplayBytes = len("first") // large bodies are streamed, not preloaded
	}}, backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(writer, request.Body)
	}})
	queue := mesh.gates[0].bodyQueue
	var stalledConns []net.Conn
	for range maxTransfers {
		stalledConns = append(stalledConns, slowUpload(t, mesh, ""))
	}
	for len(queue.turns) < maxTransfers {
		time.Sleep(time.Millisecond)
	}
	results := make(chan callResult, 1)
	go func() { results <- mesh.call(t, "POST", "/", strings.Repeat("x", minLargeBodyBytes)) }()
	check.Equal(await(t, results, "an answer while other bodies stall").status, http.StatusOK)
	check.True(queue.meanTime() < bodyIdleTimeout) // stalled bodies do not count for the mean
	for _, conn := range stalledConns {
		_, _ = io.WriteString(conn, strings.Repeat("x", minLargeBodyBytes-len("first")))
		check.Equal(statusLine(conn), "HTTP/1.1 200 OK")
	}
	check.Equal(len(queue.turns), 0)
}

// TestStalledBodyEndsAtCallDeadline: a call whose body does not arrive in time is refused
// without having run.
func TestStalledBodyEndsAtCallDeadline(t *testing.T) {
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	conn := slowUpload(t, mesh, "Springstack-Timeout-Ms: 100\r\n")
	is.New(t).Equal(statusLine(conn), "HTTP/1.1 504 Gateway Timeout")
}

// TestLargeBodyPrefersLocalBackEnd: a daemon sends large bodies to its own back end, without
// waiting for bodies that arrive over the link. It distributes small bodies by load.
func TestLargeBodyPrefersLocalBackEnd(t *testing.T) {
	check := is.New(t)
	var localRuns, otherRuns atomic.Int64
	mesh := startMesh(t, meshOptions{changeCaller: func(config *Config) {
		config.NodeID, config.Incarnation, config.Backend, config.Slots = "gate-a", 7, "a", 6
	}}, countingBackend(&localRuns), countingBackend(&otherRuns))
	for range maxTransfers {
		check.True(mesh.gates[0].bodyQueue.acquireTurn(t.Context())) // as for bodies from other daemons
	}
	large := strings.Repeat("x", minLargeBodyBytes)
	for range 20 {
		check.Equal(mesh.call(t, "POST", "/", large).status, http.StatusOK)
	}
	check.Equal(localRuns.Load(), int64(20))
	for range 20 {
		mesh.call(t, "POST", "/", "small")
	}
	check.True(otherRuns.Load() > 0)
}

// TestExpectedWaitFollowsObservedWaits: if the link carries other traffic, bodies wait longer
// than the bodies ahead of them explain. A gate that ignores this accepts calls that it then
// answers late.
func TestExpectedWaitFollowsObservedWaits(t *testing.T) {
	check := is.New(t)
	queue := newBodyQueue()
	queue.meanNanos.Store(int64(90 * time.Millisecond))
	check.Equal(queue.expectedWait(0), time.Duration(0)) // a turn is free
	for range maxTransfers {
		check.True(queue.acquireTurn(t.Context()))
	}
	check.Equal(queue.expectedWait(0), 30*time.Millisecond) // until the first turn ends
	queue.waitingBodies.Add(4)
	check.Equal(queue.expectedWait(0), 210*time.Millisecond)
	for range 100 {
		queue.recordWait(0, 200*time.Millisecond, 300*time.Millisecond)
	}
	check.True(queue.expectedWait(0) > 300*time.Millisecond)
	for range 100 {
		queue.recordWait(0, 200*time.Millisecond, time.Minute) // a stall
	}
	check.True(queue.expectedWait(0) <= 3*210*time.Millisecond)
	queue.recordWait(0, 0, time.Minute) // nothing was expected
	for range 100 {
		queue.recordWait(0, 200*time.Millisecond, 100*time.Millisecond)
	}
	check.Equal(queue.queueWait(), 210*time.Millisecond)
	check.True(queue.expectedWait(0) < 220*time.Millisecond)
}

// TestNodeIDPrefixIsNotSameDaemon: the daemon "gate" does not mistake calls of the daemon
// "gate-7" for its own, although their request ids begin with its own prefix.
func TestNodeIDPrefixIsNotSameDaemon(t *testing.T) {
	check := is.New(t)
	gate := New(Config{Clock: testClock, NodeID: "gate", Incarnation: 7})
	gate7 := New(Config{Clock: testClock, NodeID: "gate-7", Incarnation: 7})
	for _, sender := range []*Proxy{gate, gate7} {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)
		request.Header.Set(headerRequest, sender.nextRequestID())
		check.Equal((&gateCall{proxy: gate, request: request}).isFromThisDaemon(), sender == gate)
	}
}

// TestExcessWaitExpires: a large excess may cause all further bodies to be refused. No wait
// can then show that the link is free again, so the excess must expire.
func TestExcessWaitExpires(t *testing.T) {
	check := is.New(t)
	queue := newBodyQueue()
	queue.meanNanos.Store(int64(90 * time.Millisecond))
	queue.waitingBodies.Add(4)
	queue.recordWait(time.Second, 200*time.Millisecond, time.Minute)
	check.True(queue.expectedWait(time.Second+excessLifetime) > queue.queueWait())
	check.Equal(queue.expectedWait(time.Second+excessLifetime+1), queue.queueWait())
}

// TestBodyThatWouldArriveTooLateIsRefusedUnsent: a call whose body would arrive too late for
// its deadline, or for its route's target, is refused at once as not run.
func TestBodyThatWouldArriveTooLateIsRefusedUnsent(t *testing.T) {
	for name, changeRoute := range map[string]func(*resource.Route){
		"deadline": nil,
		"target":   func(route *resource.Route) { route.Target = time.Second },
	} {
		t.Run(name, func(t *testing.T) { expectRefusedUnsent(t, changeRoute) })
	}
}

func expectRefusedUnsent(t *testing.T, changeRoute func(*resource.Route)) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{changeRoute: changeRoute}, countingBackend(&runs))
	queue := mesh.gates[0].bodyQueue
	queue.waitingBodies.Add(4)
	queue.meanNanos.Store(int64(time.Minute))
	if changeRoute != nil {
		queue.meanNanos.Store(int64(800 * time.Millisecond)) // within maxBodyWaitShare of the deadline
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+mesh.address+"/",
		strings.NewReader(strings.Repeat("x", minLargeBodyBytes)))
	check.NoErr(err)
	answer, err := mesh.client.Do(request)
	check.NoErr(err)
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	check.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	check.Equal(answer.Header.Get(headerRan), "no")
	check.Equal(runs.Load(), int64(0))
}

// TestDrainedGateReceivesNoLargeBody: a drained gate refuses a call before it receives the
// call's large body.
func TestDrainedGateReceivesNoLargeBody(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	limits := Limits{DrainLinger: time.Millisecond}
	mesh := startMesh(t, meshOptions{limits: limits}, countingBackend(&runs))
	mesh.gates[0].StartDrain()
	<-mesh.gates[0].Drained()
	body := make([]byte, 48<<10)
	for index := range body {
		body[index] = 'x'
	}
	got := mesh.call(t, "POST", "/", string(body))
	check.Equal(got.code(), itoa(int(result.Draining)))
	check.Equal(mesh.gates[0].bodyQueue.meanTime(), time.Duration(0)) // no body was received
}
