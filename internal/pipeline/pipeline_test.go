package pipeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	_ "github.com/springstack/springstack/internal/fixedseed"
)

// echo answers with the request's body and, as the query requests: a status, a number of further
// bytes, a number of calls of runtime.Gosched before the answer, chunks with a trailer, an interim
// answer, or an answer that breaks off.
func echo(writer http.ResponseWriter, request *http.Request) {
	for range queryInt(request, "yield") {
		runtime.Gosched()
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := writer.Header()
	header["Date"] = nil
	if queryInt(request, "hint") > 0 {
		header.Set("Link", "early")
		writer.WriteHeader(http.StatusEarlyHints)
		header.Del("Link")
	}
	header.Set("Asked", request.Method+" "+request.URL.Path)
	header.Set("Content-Type", "text/plain")
	length := queryInt(request, "length")
	if queryInt(request, "chunked") == 0 {
		header.Set("Content-Length", strconv.Itoa(length+len(body)))
	}
	status := queryInt(request, "status")
	writer.WriteHeader(max(status, http.StatusOK))
	_, _ = writer.Write(body)
	text := bytes.Repeat([]byte("abcdefghij"), length/10+1)[:length]
	for len(text) > 0 {
		part := min(len(text), 700)
		if _, err := writer.Write(text[:part]); err != nil {
			panic(http.ErrAbortHandler)
		}
		text = text[part:]
	}
	if queryInt(request, "break") > 0 {
		panic(http.ErrAbortHandler)
	}
	if queryInt(request, "chunked") > 0 {
		header.Set(http.TrailerPrefix+"Sum", request.URL.Path)
	}
}

// drawRequest draws the bytes of one random request.
func drawRequest(t *rapid.T, index int) []byte {
	query := fmt.Sprintf("/%d?yield=%d&length=%d&hint=%d", index,
		rapid.IntRange(0, 30).Draw(t, "yield"),
		rapid.SampledFrom([]int{0, 3, 900, 2500, 6000}).Draw(t, "length"),
		rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "hint"))
	if rapid.IntRange(0, 4).Draw(t, "chunked") == 0 {
		query += "&chunked=1"
	}
	if rapid.IntRange(0, 9).Draw(t, "failing") == 0 {
		query += "&status=503"
	}
	if rapid.IntRange(0, 19).Draw(t, "breaking") == 0 {
		query += "&break=1"
	}
	const host = " HTTP/1.1\r\nHost: a\r\n"
	switch rapid.IntRange(0, 19).Draw(t, "kind") {
	case 0:
		return []byte("POST " + query + host + "Content-Length: 5\r\n\r\nhello")
	case 1:
		return []byte("POST " + query + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	case 2:
		return []byte("HEAD " + query + host + "\r\n")
	case 3:
		return []byte("GET " + query + host + "Connection: close\r\n\r\n")
	case 4:
		return []byte("GET " + query + " HTTP/1.1\nHost: a\n\n")
	case 5:
		return []byte("GET " + query + host + "Content-Length: 2\r\n\r\nhi")
	case 6:
		return []byte("OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n")
	case 7:
		return []byte("nonsense\r\n\r\n")
	case 8:
		return []byte("GET " + query + " HTTP/1.0\r\n\r\n")
	case 9:
		return []byte("PUT " + query + host + "Content-Length: 0\r\n\r\n")
	}
	return []byte("GET " + query + host + "Connection: keep-alive\r\n\r\n")
}

// drawPieces cuts bytes into pieces of random sizes, one for each write.
func drawPieces(t *rapid.T, text []byte) [][]byte {
	var pieces [][]byte
	for len(text) > 0 {
		size := min(len(text), rapid.SampledFrom([]int{1, 7, 40, 200, 5000}).Draw(t, "piece"))
		pieces = append(pieces, text[:size])
		text = text[size:]
	}
	return pieces
}

// TestAnswersAreThoseOfASerialServer compares the answers to random pipelined requests
// with those of the net/http server alone.
func TestAnswersAreThoseOfASerialServer(t *testing.T) {
	serial, ahead := newTestServer(t, true, echo), newTestServer(t, false, echo)
	rapid.Check(t, func(t *rapid.T) {
		var text []byte
		for index := range rapid.IntRange(1, 12).Draw(t, "requests") {
			text = append(text, drawRequest(t, index)...)
		}
		text = append(text, "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"...)
		pieces := drawPieces(t, text)
		expected, got := serial.exchange(pieces), ahead.exchange(pieces)
		if !sameAnswers(expected, got) {
			t.Fatalf("sent %q in pieces %d\nserial %q\nahead  %q", text, pieceSizes(pieces), abbreviate(expected), abbreviate(got))
		}
	})
	check := is.New(t)
	check.True(ahead.aheadCount.Load() > 0)
	check.Equal(ahead.budget.Used(), int64(0))
	ahead.awaitReleased(t)
}

// pieceSizes returns the lengths of pieces.
func pieceSizes(pieces [][]byte) []int {
	return lo.Map(pieces, func(piece []byte, _ int) int { return len(piece) })
}

// abbreviate replaces the repetitive parts of bodies, for readable failure messages.
func abbreviate(text []byte) []byte {
	return bytes.ReplaceAll(text, bytes.Repeat([]byte("abcdefghij"), 10), []byte("~"))
}

// sameAnswers reports whether two streams have equal complete answers. An answer that
// breaks off may have been cut at different places.
func sameAnswers(expected, got []byte) bool {
	return bytes.Equal(expected, got) || slices.Equal(readAnswers(expected), readAnswers(got))
}

// readAnswers returns the complete answers of a stream as text.
func readAnswers(text []byte) (answers []string) {
	reader := bufio.NewReader(bytes.NewReader(text))
	for {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			return answers
		}
		answer.Header.Del("Date") // the library's own answers have one
		answers = append(answers, fmt.Sprint(answer.StatusCode, answer.Header, string(body), answer.Trailer))
	}
}

// getRequest returns the text of a request that may be repeated.
func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// readAnswerBody reads one answer and returns its body.
func readAnswerBody(t testing.TB, reader *bufio.Reader) string {
	t.Helper()
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// blockingHandler is a handler that blocks each request until the test closes the release
// channel of its path. It reports the paths of started and cancelled requests.
type blockingHandler struct {
	mutex     sync.Mutex
	releases  map[string]chan struct{}
	started   chan string
	cancelled chan string
}

func newBlockingHandler() *blockingHandler {
	return &blockingHandler{releases: map[string]chan struct{}{}, started: make(chan string, 64), cancelled: make(chan string, 64)}
}

func (h *blockingHandler) release(path string) chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.releases[path] == nil {
		h.releases[path] = make(chan struct{})
	}
	return h.releases[path]
}

func (h *blockingHandler) serve(writer http.ResponseWriter, request *http.Request) {
	path := request.URL.Path
	_, _ = io.Copy(io.Discard, request.Body)
	h.started <- path
	select {
	case <-h.release(path):
		_, _ = io.WriteString(writer, path)
	case <-request.Context().Done():
		h.cancelled <- path
		panic(http.ErrAbortHandler)
	}
}

func TestRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	check := is.New(t)
	handler := newBlockingHandler()
	conn := newTestServer(t, false, handler.serve).dial()
	defer conn.Close()
	_, err := io.WriteString(conn, getRequest("/a")+getRequest("/b")+getRequest("/c"))
	check.NoErr(err)
	startedPaths := map[string]bool{<-handler.started: true, <-handler.started: true, <-handler.started: true}
	check.Equal(startedPaths, map[string]bool{"/a": true, "/b": true, "/c": true})
	close(handler.release("/c"))
	close(handler.release("/b"))
	close(handler.release("/a"))
	reader := bufio.NewReader(conn)
	check.Equal(readAnswerBody(t, reader), "/a")
	check.Equal(readAnswerBody(t, reader), "/b")
	check.Equal(readAnswerBody(t, reader), "/c")
}

// TestUnsafeRequestWaitsForEarlierAnswers: a request that may not be repeated, with or
// without a body, does not run while an earlier answer could still close the connection.
func TestUnsafeRequestWaitsForEarlierAnswers(t *testing.T) {
	for name, body := range map[string]string{"body": "hi", "none": ""} {
		t.Run(name, func(t *testing.T) { testUnsafeRequestWaits(t, body) })
	}
}

func testUnsafeRequestWaits(t *testing.T, body string) {
	check := is.New(t)
	handler := newBlockingHandler()
	conn := newTestServer(t, false, handler.serve).dial()
	defer conn.Close()
	post := fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(conn, getRequest("/a")+getRequest("/b")+post+getRequest("/c"))
	check.NoErr(err)
	<-handler.started
	<-handler.started
	close(handler.release("/b"))
	close(handler.release("/a"))
	reader := bufio.NewReader(conn)
	check.Equal(readAnswerBody(t, reader), "/a")
	check.Equal(len(handler.started), 0) // the answer of /b has not been sent yet
	check.Equal(readAnswerBody(t, reader), "/b")
	startedPaths := map[string]bool{<-handler.started: true, <-handler.started: true}
	check.Equal(startedPaths, map[string]bool{"/pay": true, "/c": true}) // concurrently
	close(handler.release("/pay"))
	check.Equal(readAnswerBody(t, reader), "/pay")
	close(handler.release("/c"))
	check.Equal(readAnswerBody(t, reader), "/c")
}

// TestClosingAnswerCancelsLaterRequests: after an answer that closes the connection, no
// later request is answered, and those that run are cancelled.
func TestClosingAnswerCancelsLaterRequests(t *testing.T) {
	check := is.New(t)
	handler := newBlockingHandler()
	server := newTestServer(t, false, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/last" {
			writer.Header().Set("Connection", "close")
		}
		handler.serve(writer, request)
	})
	conn := server.dial()
	defer conn.Close()
	_, err := io.WriteString(conn, getRequest("/last")+getRequest("/b")+getRequest("/c"))
	check.NoErr(err)
	for range 3 {
		<-handler.started
	}
	close(handler.release("/last"))
	answers, err := io.ReadAll(conn)
	check.NoErr(err)
	check.Equal(strings.Count(string(answers), "HTTP/1.1"), 1)
	cancelledPaths := []string{<-handler.cancelled, <-handler.cancelled}
	check.True(cancelledPaths[0] != cancelledPaths[1])
}

// TestCloseWriteCancelsPendingCalls: when the server closes its sending side, requests that
// run ahead are cancelled at once, although the connection is closed only later.
func TestCloseWriteCancelsPendingCalls(t *testing.T) {
	check := is.New(t)
	handler := newBlockingHandler()
	server := newTestServer(t, false, handler.serve)
	conn := server.dial()
	defer conn.Close()
	_, err := io.WriteString(conn, getRequest("/a")+getRequest("/b"))
	check.NoErr(err)
	<-handler.started
	<-handler.started
	serverConn := <-server.conns
	check.True(serverConn.HasPendingAnswers())
	check.NoErr(serverConn.CloseWrite())
	check.Equal(<-handler.cancelled, "/b")
	check.True(!serverConn.HasPendingAnswers())
}

// TestDisconnectIsDetectedWhileRequestsWait: a request is cancelled when its client
// disconnects, also if requests that must wait, an incomplete request, or more requests
// than may run ahead follow it.
func TestDisconnectIsDetectedWhileRequestsWait(t *testing.T) {
	for name, laterRequests := range map[string]string{
		"none":    "",
		"safe":    getRequest("/b"),
		"unsafe":  "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi",
		"partial": "GET /half HTTP",
		"many":    strings.Repeat(getRequest("/b"), 8),
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			handler := newBlockingHandler()
			conn := newTestServer(t, false, handler.serve).dial()
			_, err := io.WriteString(conn, getRequest("/a")+laterRequests)
			check.NoErr(err)
			check.NoErr(conn.Close())
			for path := <-handler.cancelled; path != "/a"; path = <-handler.cancelled {
				check.Equal(path, "/b")
			}
			for len(handler.started) > 0 {
				check.True(<-handler.started != "/pay")
			}
		})
	}
}

// TestBufferedAnswersAreBounded: a handler whose answer exceeds the buffer waits for its
// turn, and the connection is read no further than Config.InputBytes.
func TestBufferedAnswersAreBounded(t *testing.T) {
	check := is.New(t)
	releaseFirst := make(chan struct{})
	var written atomic.Int64
	server := newTestServer(t, false, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/a" {
			<-releaseFirst
			return
		}
		for range 64 {
			if _, err := writer.Write(make([]byte, 1<<10)); err != nil {
				panic(http.ErrAbortHandler)
			}
			written.Add(1 << 10)
		}
	})
	conn := server.dial()
	defer conn.Close()
	writeDone := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, getRequest("/a")+getRequest("/b")+getRequest("/c")+strings.Repeat("x", 64<<10))
		writeDone <- err
	}()
	for written.Load() < 2*int64(server.config.AnswerBytes) {
		runtime.Gosched()
	}
	check.Equal(server.budget.Used(), written.Load())
	check.Equal(len(writeDone), 0) // the server has not read all of it
	close(releaseFirst)
	reader := bufio.NewReader(conn)
	check.Equal(len(readAnswerBody(t, reader)), 0)
	check.Equal(len(readAnswerBody(t, reader)), 64<<10)
	check.Equal(len(readAnswerBody(t, reader)), 64<<10)
	check.Equal(server.budget.Used(), int64(0))
}

// TestTurnWaitCountsFromArrival: the wait of a request for its turn counts from its
// arrival and is 0 for a request that arrives on an idle connection.
// TestUnreadBytesOfAllConnectionsAreLimited: beyond the limit, connections read ahead only a little, and
// count as backlogged until the server has read what they hold.
func TestUnreadBytesOfAllConnectionsAreLimited(t *testing.T) {
	check := is.New(t)
	handler := newBlockingHandler()
	server := newTestServer(t, false, handler.serve)
	server.unread.Reserve(server.unread.Limit()) // by other connections
	conn := server.dial()
	defer conn.Close()
	const count = 40
	post := "POST /a HTTP/1.1\r\nHost: a\r\nPadding: " + strings.Repeat("x", 400) + "\r\n\r\n"
	go func() { _, _ = io.WriteString(conn, strings.Repeat(post, count)) }()
	<-handler.started
	wrappedConn := <-server.conns
	awaitCondition(t, func() bool { return wrappedConn.Backlog() == ExcessBacklog })
	check.True(server.unread.Used()-server.unread.Limit() <= 2*readAheadBytes)
	close(handler.release("/a"))
	reader := bufio.NewReader(conn)
	for range count {
		check.Equal(readAnswerBody(t, reader), "/a")
	}
	check.Equal(wrappedConn.Backlog(), NoBacklog)
	check.Equal(server.unread.Used(), server.unread.Limit())
}

// TestRequestsThatAreNotAdmittedRunInTheirTurn: a request runs ahead only if it is admitted.
func TestRequestsThatAreNotAdmittedRunInTheirTurn(t *testing.T) {
	check := is.New(t)
	handler := newBlockingHandler()
	server := newTestServer(t, false, handler.serve)
	server.admitted.Reserve(server.admitted.Limit() - 1) // by other connections
	conn := server.dial()
	defer conn.Close()
	_, err := io.WriteString(conn, getRequest("/a")+getRequest("/b")+getRequest("/c"))
	check.NoErr(err)
	startedPaths := map[string]bool{<-handler.started: true, <-handler.started: true}
	check.Equal(startedPaths, map[string]bool{"/a": true, "/b": true})
	close(handler.release("/b"))
	close(handler.release("/a"))
	close(handler.release("/c"))
	reader := bufio.NewReader(conn)
	for _, path := range []string{"/a", "/b", "/c"} {
		check.Equal(readAnswerBody(t, reader), path)
	}
	server.admitted.Release(server.admitted.Limit() - 1)
	server.awaitReleased(t)
}

func TestTurnWaitCountsFromArrival(t *testing.T) {
	check := is.New(t)
	handler := newBlockingHandler()
	server := newTestServer(t, false, handler.serve)
	conn := server.dial()
	defer conn.Close()
	_, err := io.WriteString(conn, getRequest("/a"))
	check.NoErr(err)
	check.Equal(<-handler.started, "/a")
	serverConn := <-server.conns
	check.True(!serverConn.HasPendingAnswers())
	_, err = io.WriteString(conn, "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi")
	check.NoErr(err)
	sentAt := time.Now()
	close(handler.release("/a"))
	reader := bufio.NewReader(conn)
	check.Equal(readAnswerBody(t, reader), "/a")
	check.Equal(<-handler.started, "/pay")
	check.True(<-server.turnWaits == 0)
	waited := <-server.turnWaits
	check.True(waited > 0 && waited <= time.Since(sentAt)+time.Second)
	close(handler.release("/pay"))
	check.Equal(readAnswerBody(t, reader), "/pay")
}

// FuzzHead compares headLength and readFraming with http.ReadRequest: a head with a known
// framing ends at the same byte and has the same body length.
func FuzzHead(f *testing.F) {
	f.Add([]byte(getRequest("/a")))
	f.Add([]byte("GET / HTTP/1.1\nHost: a\n\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc"))
	f.Add([]byte("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		size := headLength(text)
		if size < 0 {
			return
		}
		parsed := readFraming(text[:size])
		reader := bufio.NewReader(bytes.NewReader(text))
		request, err := http.ReadRequest(reader)
		if !parsed.isKnown || err != nil {
			return // the server decides, and closes on an error
		}
		consumed := len(text) - reader.Buffered()
		if len(text) <= 4096 && consumed != size {
			t.Fatalf("the head of %q ends at %d, not at %d", text, consumed, size)
		}
		if request.ContentLength != int64(parsed.bodyLength) || len(request.TransferEncoding) > 0 || request.Close {
			t.Fatalf("%q: body %d, encoded %v, close %v; said to have %d",
				text, request.ContentLength, request.TransferEncoding, request.Close, parsed.bodyLength)
		}
	})
}
