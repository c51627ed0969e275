package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

func TestInvalidRequestsAreRefusedAsNotRun(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	limits := Limits{HeaderBytes: 4096, BodyBytes: 1000}
	mesh := startMesh(t, meshOptions{limits: limits}, countingBackend(&runs))
	expectRefusal(check, mesh.call(t, "GET", "/", "", "Connection", "Upgrade", "Upgrade", "websocket"), result.UpgradeRefused, result.RanNo)
	expectRefusal(check, mesh.call(t, "GET", "/a/..%2fb", ""), result.RequestMalformed, result.RanNo)
	expectRefusal(check, mesh.call(t, "POST", "/", strings.Repeat("x", 1001)), result.RequestTooLarge, result.RanNo)
	// A result code is set even where the library refuses before any handler runs.
	malformed := []string{
		"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"GET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nExpect: something\r\n\r\n",
		"GET / HTTP/1.0\r\nHost: h\r\n\r\n",
		"nonsense\r\n\r\n",
	}
	for _, text := range malformed {
		check.True(strings.Contains(mesh.sendRaw(t, text), "Springstack-Code: 411\r\n"))
	}
	tooLarge := mesh.sendRaw(t, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 16<<10)+"\r\n\r\n")
	check.True(strings.Contains(tooLarge, "Springstack-Code: 410\r\n"))
	check.True(strings.Contains(tooLarge, "Springstack-Ran: no\r\n"))
	mesh.caller.Swap(testSnapshot(meshOptions{changeRoute: func(route *resource.Route) { route.Match.PathPrefix = "/x" }}, nil))
	expectRefusal(check, mesh.call(t, "GET", "/", ""), result.NoRoute, result.RanNo)
	expectRefusal(check, mesh.call(t, "GET", "/x", ""), result.NoEndpoint, result.RanNo)
	check.Equal(runs.Load(), int64(0))
}

func TestConflictingFramingIsNotSmuggled(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	text := mesh.sendRaw(t, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\nX: y")
	check.True(strings.HasPrefix(text, "HTTP/1.1 200 "))
	check.Equal(runs.Load(), int64(1)) // the remaining bytes are no complete request and never become a call
}

func TestServingEndsWithTheLease(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	var now atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	proxy := New(Config{Clock: func() time.Duration { return time.Duration(now.Load()) }, Region: "r", Zone: "z"})
	t.Cleanup(proxy.Close)
	mesh.address = startServer(t, proxy.CallerHandler(), Limits{})
	expectRefusal(check, mesh.call(t, "GET", "/", ""), result.NotServing, result.RanNo) // no snapshot
	proxy.Swap(mesh.snapshot)
	proxy.PublishMembers(mesh.members)
	expectRefusal(check, mesh.call(t, "GET", "/", ""), result.NotServing, result.RanNo) // no lease
	proxy.ExtendServing(10 * time.Second)
	check.Equal(mesh.call(t, "GET", "/", "").status, http.StatusOK)
	proxy.ExtendServing(5 * time.Second) // never shortens the lease
	now.Store(int64(10 * time.Second))   // as if the process had been paused
	expectRefusal(check, mesh.call(t, "GET", "/", ""), result.NotServing, result.RanNo)
	check.Equal(runs.Load(), int64(1))
}

func TestWrongBackendIsRefused(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	direct := *mesh
	direct.address = mesh.members[0].DataAddress
	validHeaders := []string{headerHop, hopGate, headerService, "k/plans", headerBackend, "a", headerIncarnation, "7", headerRequest, "r1"}
	check.Equal(direct.call(t, "POST", "/", "x", validHeaders...).status, http.StatusOK)
	expectRefusal(check, direct.call(t, "POST", "/", "x", validHeaders...), result.AlreadyStarted, result.RanUnknown) // a late duplicate
	for index := 1; index < 8; index += 2 {
		wrongHeaders := append([]string{}, validHeaders...)
		wrongHeaders[index] = "other"
		expectRefusal(check, direct.call(t, "POST", "/", "x", wrongHeaders...), result.WrongBackend, result.RanNo)
	}
	check.Equal(runs.Load(), int64(1))
}

// A node raises its incarnation when peers remember a later one. Its gate must then accept calls
// for the new incarnation.
func TestGateAcceptsItsRaisedIncarnation(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	mesh.members[0].Incarnation = 9
	mesh.caller.PublishMembers(mesh.members)
	expectRefusal(check, mesh.call(t, "POST", "/", "x"), result.WrongBackend, result.RanNo)
	mesh.gates[0].PublishMembers(mesh.members)
	mesh.members[0].Sequence++
	mesh.caller.PublishMembers(mesh.members)
	check.Equal(mesh.call(t, "POST", "/", "x").status, http.StatusOK)
}

func TestRequestKeyStartsOneCall(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	options := meshOptions{changeRoute: func(route *resource.Route) { route.RequestKeyHeader = "X-Charge" }}
	mesh := startMesh(t, options, countingBackend(&runs), countingBackend(&runs), countingBackend(&runs))
	for key := range 20 {
		text := fmt.Sprint(key)
		check.Equal(mesh.call(t, "POST", "/", "x", "X-Charge", text).status, http.StatusOK)
		expectRefusal(check, mesh.call(t, "POST", "/", "x", "X-Charge", text), result.AlreadyStarted, result.RanUnknown)
	}
	check.Equal(runs.Load(), int64(20))
}
