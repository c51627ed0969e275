package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/resource"
)

// TestHeadEndsAreFoundInAnyPieces: the end of a head is found in the piece in which it arrives, however
// the head is cut.
func TestHeadEndsAreFoundInAnyPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end")
		lines := rapid.SliceOfN(rapid.StringMatching(`[a-z:]{1,9}`), 1, 8).Draw(t, "lines")
		head := strings.Join(lines, lineEnd) + lineEnd + lineEnd
		rest := rapid.SampledFrom([]string{"", "body", "\r\n"}).Draw(t, "rest")
		var reader headReader
		text, arrived := head+rest, 0
		for arrived < len(head) {
			piece := rapid.IntRange(1, len(text)-arrived).Draw(t, "piece")
			isComplete := reader.scan([]byte(text[arrived : arrived+piece]))
			arrived += piece
			if isComplete != (arrived >= len(head)) {
				t.Fatalf("%q: complete %t after %d of %d bytes", head, isComplete, arrived, len(head))
			}
		}
		if reader.size != len(head) || reader.lines != len(lines)+1 {
			t.Fatalf("%q: counted %d bytes in %d lines", head, reader.size, reader.lines)
		}
	})
}

// TestHeadsInPiecesAreServed: heads that arrive in pieces, also behind other requests on their connection
// and with bodies of both framings, reach the back end as they were sent.
func TestHeadsInPiecesAreServed(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		body, _ := io.ReadAll(request.Body)
		_, _ = fmt.Fprintf(writer, "%s %s %d", request.Method, body, len(request.Header["Short"]))
	}})
	conn := mesh.dialWith(t, "")
	fields := strings.Repeat("Short:\r\n", 100)
	requests := []string{
		"GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\n" + fields + "Content-Length: 2\r\n\r\nab",
		"POST / HTTP/1.1\r\nHost: h\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
	}
	expected := []string{"GET  100", "POST ab 100", "POST ab 100"}
	reader := bufio.NewReader(conn)
	for _, pieceBytes := range []int{1, 7, 500, 1 << 20} {
		text := []byte(strings.Join(requests, ""))
		go func() {
			for len(text) > 0 {
				piece := text[:min(pieceBytes, len(text))]
				_, _ = conn.Write(piece)
				text = text[len(piece):]
			}
		}()
		for _, want := range expected {
			answer, err := http.ReadResponse(reader, nil)
			check.NoErr(err)
			body, err := io.ReadAll(answer.Body)
			check.NoErr(err)
			check.Equal(string(body), want)
		}
	}
	check.Equal(runs.Load(), int64(12))
}

// TestHeadIsMeasuredAsSent: a head of the largest size is served although the daemons write its fields
// longer and add their own, and a head that is one byte longer is refused as not run.
func TestHeadIsMeasuredAsSent(t *testing.T) {
	check := is.New(t)
	const limit = 4 << 10
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{limits: Limits{HeaderBytes: limit}}, countingBackend(&runs))
	head := func(size int) string {
		text := "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
		for len(text)+len("a:\r\n")+len("b:\r\n\r\n") <= size {
			text += "a:\r\n"
		}
		return text + "b:" + strings.Repeat("b", size-len(text)-len("b:\r\n\r\n")) + "\r\n\r\n"
	}
	check.Equal(len(head(limit)), limit)
	check.True(strings.HasPrefix(mesh.sendRaw(t, head(limit)), "HTTP/1.1 200 "))
	refused := mesh.sendRaw(t, head(limit+1))
	check.True(strings.HasPrefix(refused, "HTTP/1.1 431 "))
	check.True(strings.Contains(refused, "Springstack-Code: 410\r\n"))
	check.Equal(runs.Load(), int64(1))
}

// TestIncompleteHeadsGiveWay: incomplete heads beyond the memory for them end connections with such heads,
// and complete requests are served meanwhile.
func TestIncompleteHeadsGiveWay(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{limits: Limits{IncompleteHeadBytes: 16 << 10}}, countingBackend(&runs))
	incomplete := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1000)
	closed := make(chan error, 8)
	for range cap(closed) {
		conn := mesh.dialWith(t, incomplete)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		go func() {
			_, err := conn.Read(make([]byte, 1))
			closed <- err
		}()
	}
	err := <-closed
	check.True(err != nil && !isStallError(err)) // before the timeout of its head
	check.Equal(mesh.call(t, "GET", "/", "").status, http.StatusOK)
	check.Equal(runs.Load(), int64(1))
}

// TestCostlyHeadsLeaveRoomForOthers: while requests with many fields use the memory that such may use,
// further ones are refused as not run, and ordinary ones are served.
func TestCostlyHeadsLeaveRoomForOthers(t *testing.T) {
	check := is.New(t)
	backend := newBlockingBackend()
	options := meshOptions{slots: 4, limits: Limits{RequestBytes: 2 << 20}, changeRoute: func(route *resource.Route) { route.Timeout = time.Minute }}
	mesh := startMesh(t, options, backend.spec())
	costly := "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + strings.Repeat("a:\r\n", 1500) + "\r\n"
	answers := make(chan string, 2)
	go func() { answers <- mesh.sendRaw(t, costly) }()
	<-backend.entered
	refused := mesh.sendRaw(t, costly)
	check.True(strings.HasPrefix(refused, "HTTP/1.1 503 "))
	check.True(strings.Contains(refused, "Springstack-Ran: no\r\n"))
	check.True(strings.Contains(refused, "Retry-After: 1\r\n"))
	go func() { answers <- mesh.sendRaw(t, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") }()
	<-backend.entered
	close(backend.release)
	check.True(strings.HasPrefix(<-answers, "HTTP/1.1 200 "))
	check.True(strings.HasPrefix(<-answers, "HTTP/1.1 200 "))
	again := mesh.sendRaw(t, costly) // the memory is free again
	check.True(strings.HasPrefix(again, "HTTP/1.1 200 "))
}

// TestMemoryOfAConnectionClosedWithACompleteHeadIsReleased: the memory that is reserved for a head which
// becomes complete as its connection is closed does not stay reserved.
func TestMemoryOfAConnectionClosedWithACompleteHeadIsReleased(t *testing.T) {
	check := is.New(t)
	client, server := net.Pipe()
	defer client.Close()
	listener := newBoundedListener(nil, 1)
	listener.heads = newHeadLimits(DefaultLimits())
	conn := newCountedConn(server, listener)
	check.True(conn.closeIdle()) // by the idle timer or for a new connection
	conn.head.size = 1
	_, admitted := conn.admitHead() // the server has read the head before
	check.True(admitted)
	check.True(listener.heads.requests.Used() > 0)
	check.NoErr(conn.Close()) // by the server
	check.Equal(listener.heads.requests.Used(), int64(0))
}

// TestMemoryOfRequestsIsReleased: after any order of complete, refused and broken-off requests, no memory
// stays reserved.
func TestMemoryOfRequestsIsReleased(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	server := NewServer(mesh.caller.CallerHandler(), Limits{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, text := range []string{
		request, strings.Repeat(request, 20), request + "GET / HT", "GET / HTTP/1.1\r\n", "nonsense\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 40<<10), "OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
	} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		check.NoErr(err)
		_, _ = io.Copy(conn, bytes.NewReader([]byte(text))) // a refusal may end it
		_ = conn.Close()
	}
	awaitReleased(t, func() int64 { return server.heads.requests.Used() + server.heads.incomplete.usedBytes() })
}
