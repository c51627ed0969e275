package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// patternReader is a body of a given length whose bytes depend on their position. It hashes
// the bytes that were read.
type patternReader struct {
	remaining int
	hash      *xxhash.Digest
}

func (p *patternReader) Read(bytes []byte) (int, error) {
	if p.remaining == 0 {
		return 0, io.EOF
	}
	count := min(p.remaining, len(bytes))
	for index := range count {
		bytes[index] = byte((p.remaining - index) * 7)
	}
	p.remaining -= count
	_, _ = p.hash.Write(bytes[:count])
	return count, nil
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestLargeUploadStreams sends 64 MiB, with and without a Content-Length. While the back end
// does not read, the heap must not grow by more than the proxy's bounded buffers.
func TestLargeUploadStreams(t *testing.T) {
	const size = 64 << 20
	const heapBound = 16 << 20
	for _, contentLength := range []int64{size, -1} {
		t.Run(fmt.Sprint(contentLength), func(t *testing.T) {
			check := is.New(t)
			stalled := make(chan struct{})
			resume := make(chan struct{})
			sum := make(chan uint64, 1)
			mesh := startMesh(t, meshOptions{}, backendSpec{handler: func(_ http.ResponseWriter, request *http.Request) {
				hash := xxhash.New()
				_, _ = io.CopyN(hash, request.Body, 1<<20)
				close(stalled)
				<-resume
				_, _ = io.Copy(hash, request.Body)
				sum <- hash.Sum64()
			}})
			heapBefore := heapBytes()
			body := &patternReader{remaining: size, hash: xxhash.New()}
			request, err := http.NewRequest("PUT", "http://"+mesh.address+"/label", body)
			check.NoErr(err)
			request.ContentLength = contentLength
			results := make(chan callResult)
			go func() { results <- mesh.send(t, request) }()
			<-stalled
			check.True(heapBytes() < heapBefore+heapBound)
			close(resume)
			check.Equal((<-results).status, http.StatusOK)
			check.Equal(<-sum, body.hash.Sum64())
		})
	}
}

// TestUnsentUploadIsRetriedAfterRefusal: a body that is too large to be kept is sent only
// after the gate's status 100 (Continue), so it can be sent elsewhere after a draining gate
// has refused the call.
func TestUnsentUploadIsRetriedAfterRefusal(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs), countingBackend(&runs))
	mesh.gates[0].StartDrain()
	body := strings.Repeat("x", 1<<20)
	for range 6 {
		check.Equal(mesh.call(t, "POST", "/", body).body, body)
	}
	check.Equal(runs.Load(), int64(6))
}

// TestAnswerAndRequestStreamTogether: the back end answers each part of the request before
// the caller sends the next part.
func TestAnswerAndRequestStreamTogether(t *testing.T) {
	check := is.New(t)
	mesh := startMesh(t, meshOptions{}, backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		control := http.NewResponseController(writer)
		_ = control.EnableFullDuplex()
		lines := bufio.NewScanner(request.Body)
		for lines.Scan() {
			_, _ = fmt.Fprintln(writer, "got", lines.Text())
			_ = control.Flush()
		}
	}})
	reader, writer := io.Pipe()
	request, err := http.NewRequest("POST", "http://"+mesh.address, reader)
	check.NoErr(err)
	go func() { _, _ = io.WriteString(writer, "0\n") }()
	answer, err := mesh.client.Do(request)
	check.NoErr(err)
	defer answer.Body.Close()
	lines := bufio.NewReader(answer.Body)
	for part := range 5 {
		line, err := lines.ReadString('\n')
		check.NoErr(err)
		check.Equal(line, fmt.Sprintf("got %d\n", part))
		_, err = fmt.Fprintf(writer, "%d\n", part+1)
		check.NoErr(err)
	}
	check.NoErr(writer.Close())
}

// TestAnswerBeforeEndOfUploadIsDelivered: the caller gets the answer of a back end that answers
// without reading the body.
func TestAnswerBeforeEndOfUploadIsDelivered(t *testing.T) {
	check := is.New(t)
	mesh := startMesh(t, meshOptions{}, backendSpec{handler: func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusUnauthorized)
		_, _ = io.WriteString(writer, "no")
	}})
	for range 5 {
		answer := mesh.call(t, "POST", "/", strings.Repeat("x", 100<<10))
		check.Equal(answer.status, http.StatusUnauthorized)
		check.Equal(answer.body, "no")
	}
	mesh.awaitIdle()
}

// TestRefusedBodyIsNotParsedAsRequest: a body over the limit is refused at once, and the
// connection is closed so that the rest of the body is not parsed as the next request.
func TestRefusedBodyIsNotParsedAsRequest(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{limits: Limits{BodyBytes: 1000}}, countingBackend(&runs))
	conn, err := net.Dial("tcp", mesh.address)
	check.NoErr(err)
	defer conn.Close()
	check.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nx")
	check.NoErr(err)
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	check.NoErr(err)
	check.Equal(answer.StatusCode, http.StatusRequestEntityTooLarge)
	check.True(answer.Close)
	_, err = io.Copy(io.Discard, answer.Body)
	check.NoErr(err)
	_, err = reader.ReadByte()
	check.Equal(err, io.EOF) // closed by the proxy
	check.Equal(runs.Load(), int64(0))
}

func TestSlowSenderIsTimedOut(t *testing.T) {
	check := is.New(t)
	limits := Limits{StallTimeout: 50 * time.Millisecond, HeaderTimeout: 50 * time.Millisecond}
	mesh := startMesh(t, meshOptions{limits: limits}, newBlockingBackend().spec())
	for framing, ran := range map[string]string{ // both are read before the first attempt
		"Content-Length: 9\r\n\r\nx":               "no",
		"Transfer-Encoding: chunked\r\n\r\n1\r\nx": "no",
	} {
		text := mesh.sendRaw(t, "POST / HTTP/1.1\r\nHost: h\r\n"+framing)
		check.True(strings.HasPrefix(text, "HTTP/1.1 408 "))
		check.True(strings.Contains(text, "Springstack-Code: 416\r\n"))
		check.True(strings.Contains(text, "Springstack-Ran: "+ran+"\r\n"))
	}
	incompleteHead := mesh.sendRaw(t, "POST / HTTP/1.1\r\nHos")
	check.True(strings.Contains(incompleteHead, "Springstack-Code: 411\r\n"))
	check.True(strings.Contains(incompleteHead, "Springstack-Ran: no\r\n"))
	mesh.awaitIdle()
}

func TestSlowReaderIsCutOff(t *testing.T) {
	check := is.New(t)
	limits := Limits{StallTimeout: 50 * time.Millisecond}
	answerCut := make(chan struct{})
	mesh := startMesh(t, meshOptions{limits: limits}, backendSpec{handler: func(writer http.ResponseWriter, _ *http.Request) {
		defer close(answerCut)
		block := bytes.Repeat([]byte("x"), 1<<20)
		for {
			if _, err := writer.Write(block); err != nil {
				return
			}
		}
	}})
	conn, err := net.Dial("tcp", mesh.address)
	check.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	check.NoErr(err)
	<-answerCut // the proxy cut the answer, although the caller did not disconnect
	mesh.awaitIdle()
}

// TestConnectionLimitRefusesWithACode: at the limit, a connection is refused while all others run a call.
func TestConnectionLimitRefusesWithACode(t *testing.T) {
	check := is.New(t)
	backend := newBlockingBackend()
	mesh := startMesh(t, meshOptions{}, backend.spec())
	mesh.address = startServer(t, mesh.caller.CallerHandler(), Limits{Connections: 1})
	running := make(chan callResult, 1)
	go func() { running <- mesh.call(t, "GET", "/", "") }()
	<-backend.entered
	text := mesh.sendRaw(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	check.True(strings.Contains(text, "Springstack-Code: 302\r\n"))
	check.True(strings.Contains(text, "Retry-After: 1\r\n"))
	close(backend.release)
	check.Equal((<-running).status, http.StatusOK)
}

// TestIdleConnectionsDontKeepOthersOut: at the limit, a new connection replaces the one that has been
// idle for longest.
func TestIdleConnectionsDontKeepOthersOut(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	mesh.address = startServer(t, mesh.caller.CallerHandler(), Limits{Connections: 2})
	var idle []net.Conn
	for range 2 {
		conn := mesh.dialWith(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		check.NoErr(err)
		check.Equal(answer.StatusCode, http.StatusOK)
		idle = append(idle, conn)
	}
	text := mesh.sendRaw(t, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	check.True(strings.HasPrefix(text, "HTTP/1.1 200 "))
	_ = idle[0].SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := io.ReadAll(idle[0])
	check.NoErr(err) // the oldest was closed
	_, err = io.WriteString(idle[1], "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	check.NoErr(err)
	answer, err := http.ReadResponse(bufio.NewReader(idle[1]), nil)
	check.NoErr(err)
	check.Equal(answer.StatusCode, http.StatusOK)
}

// TestQueueIsFullAtOnce: a call that finds the queue full is refused at once, with a
// Retry-After header.
func TestQueueIsFullAtOnce(t *testing.T) {
	check := is.New(t)
	backend := newBlockingBackend()
	options := meshOptions{slots: 1, limits: Limits{QueueLength: 1}, changeRoute: func(route *resource.Route) { route.Timeout = time.Hour }}
	mesh := startMesh(t, options, backend.spec())
	results := make(chan callResult, 2)
	for range 2 {
		go func() { results <- mesh.call(t, "POST", "/", "x") }()
	}
	<-backend.entered
	for mesh.gates[0].gate.Load().Queued == 0 {
		runtime.Gosched()
	}
	refused := mesh.call(t, "POST", "/", "x")
	expectRefusal(check, refused, result.QueueFull, result.RanNo)
	check.Equal(refused.header.Get("Retry-After"), "1")
	close(backend.release)
	check.Equal((<-results).body, "done")
	check.Equal((<-results).body, "done")
}
