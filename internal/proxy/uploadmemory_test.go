package proxy

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// TestBodiesThatDontArriveGiveWay: bodies beyond the memory for them end the calls whose bodies have been
// awaited for longest, as not run, and another call's body finds room.
func TestBodiesThatDontArriveGiveWay(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{limits: Limits{BodyMemoryBytes: 100 << 10}}, countingBackend(&runs))
	partial := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n" + strings.Repeat("x", 49999)
	answers := make(chan string, 4)
	for range cap(answers) {
		conn := mesh.dialWith(t, partial)
		go func() {
			text, _ := io.ReadAll(conn)
			answers <- string(text)
		}()
	}
	refused := <-answers
	check.True(strings.HasPrefix(refused, "HTTP/1.1 503 "))
	check.True(strings.Contains(refused, "Springstack-Code: 302\r\n"))
	check.True(strings.Contains(refused, "Springstack-Ran: no\r\n"))
	check.Equal(mesh.call(t, "POST", "/", strings.Repeat("x", 40000)).status, http.StatusOK)
	check.Equal(runs.Load(), int64(1))
}

// TestMemoryOfBodiesIsReleased: no memory stays reserved for bodies that were kept, dropped or evicted.
func TestMemoryOfBodiesIsReleased(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{limits: Limits{BodyMemoryBytes: 100 << 10, ReplayBytes: 32 << 10}}, countingBackend(&runs))
	for _, length := range []int{0, 1, 20000, 32 << 10, 40000, 400000} {
		check.Equal(mesh.call(t, "POST", "/", strings.Repeat("x", length)).status, http.StatusOK)
	}
	for range 5 {
		conn := mesh.dialWith(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n"+strings.Repeat("x", 29999))
		_ = conn.Close()
	}
	awaitReleased(t, func() int64 { return mesh.caller.bodyMemory.usedBytes() + mesh.gates[0].bodyMemory.usedBytes() })
}

// TestAnswersThatAreNotReadGiveWay: answers beyond the memory for them break off the one that has been
// written for longest, and another caller gets its whole answer.
func TestAnswersThatAreNotReadGiveWay(t *testing.T) {
	check := is.New(t)
	const hugeBytes = 64 << 20
	mesh := startMesh(t, meshOptions{limits: Limits{AnswerMemoryBytes: copyBufferBytes}, slots: 2}, backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		length := 1000
		if request.URL.Path == "/huge" {
			length = hugeBytes
		}
		_, _ = writer.Write(make([]byte, length))
	}})
	conn := mesh.dialWith(t, "GET /huge HTTP/1.1\r\nHost: h\r\n\r\n")
	line, err := bufio.NewReaderSize(conn, 16).ReadString('\n')
	check.NoErr(err)
	check.True(strings.HasPrefix(line, "HTTP/1.1 200 "))
	check.Equal(len(mesh.call(t, "GET", "/", "").body), 1000)
	received, err := io.Copy(io.Discard, conn)
	check.True(err != nil || received < hugeBytes)
	mesh.awaitIdle()
	check.Equal(mesh.caller.answerMemory.usedBytes(), int64(0))
}

// TestChunkedBodyIsReadBeforeACallTakesASlot: a body of unknown length that arrives without a pause is
// read before its call is sent.
func TestChunkedBodyIsReadBeforeACallTakesASlot(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	conn := mesh.dialWith(t, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 20 {
		_, err := io.WriteString(conn, "1\r\nx\r\n")
		check.NoErr(err)
		time.Sleep(5 * time.Millisecond)
		check.Equal(mesh.gates[0].gate.Load().Running, 0)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	check.NoErr(err)
	check.Equal(statusLine(conn), "HTTP/1.1 200 OK")
}

// TestStalledBodiesLeaveSlotsToOthers: calls whose bodies stall hold at most half of the slots, and one that
// has stalled for maxStreamStall ends when another call waits for its place.
func TestStalledBodiesLeaveSlotsToOthers(t *testing.T) {
	check := is.New(t)
	options := meshOptions{slots: 2, limits: Limits{ReplayBytes: 1 << 10}, changeRoute: func(route *resource.Route) { route.Timeout = 20 * time.Second }}
	mesh := startMesh(t, options, backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
	}})
	stalling := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n" + strings.Repeat("x", 30000)
	first := mesh.dialWith(t, stalling)
	for mesh.gates[0].gate.Load().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	second := mesh.dialWith(t, stalling)
	check.Equal(mesh.call(t, "POST", "/", "x").status, http.StatusOK) // the other slot is free
	text, _ := io.ReadAll(first)
	check.True(strings.Contains(string(text), "Springstack-Ran: unknown\r\n"))
	_, err := io.WriteString(second, strings.Repeat("x", 20000))
	check.NoErr(err)
	check.Equal(statusLine(second), "HTTP/1.1 200 OK")
	check.Equal(mesh.gates[0].Counters().Refusals[result.SlowPeer], uint64(1))
}
