package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pathBlockingBackend is a back end whose calls block until the test closes the channel of their
// path in releases, or until they are cancelled. It sends the path of each call to started when the
// call starts, and to cancelled when it is cancelled.
type pathBlockingBackend struct {
	started   chan string
	cancelled chan string
	releases  map[string]chan struct{}
}

// newPathBlockingBackend returns a back end with a release channel for each of the paths.
func newPathBlockingBackend(paths ...string) *pathBlockingBackend {
	backend := &pathBlockingBackend{started: make(chan string, 16), cancelled: make(chan string, 16), releases: map[string]chan struct{}{}}
	for _, path := range paths {
		backend.releases[path] = make(chan struct{})
	}
	return backend
}

func (b *pathBlockingBackend) spec() backendSpec {
	return backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		path := request.URL.Path
		b.started <- path
		select {
		case <-b.releases[path]:
			_, _ = io.WriteString(writer, path)
		case <-request.Context().Done():
			b.cancelled <- path
		}
	}}
}

// pipeliningCaller is a caller that sends requests without waiting for answers.
type pipeliningCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// pipeline connects to the callers' side and sends the requests.
func (m *mesh) pipeline(t *testing.T, requests ...string) *pipeliningCaller {
	conn, err := net.Dial("tcp", m.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	for _, request := range requests {
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
	}
	return &pipeliningCaller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// readAnswer reads the next answer and returns its body, and whether the answer announces
// that the connection closes.
func (p *pipeliningCaller) readAnswer() (body string, closes bool) {
	p.t.Helper()
	answer, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		p.t.Fatal(err)
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(text), answer.Close
}

// getRequestTo returns the text of a GET request without body.
func getRequestTo(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// payRequest is the text of a POST request, which must not run before its turn.
const payRequest = "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"

func TestPipelinedCallsRunConcurrently(t *testing.T) {
	check := is.New(t)
	backend := newPathBlockingBackend("/a", "/b", "/pay")
	mesh := startMesh(t, meshOptions{}, backend.spec())
	caller := mesh.pipeline(t, getRequestTo("/a"), getRequestTo("/b"), payRequest)
	firstStarted := <-backend.started
	check.True(firstStarted != <-backend.started)
	close(backend.releases["/b"])
	close(backend.releases["/a"])
	for _, path := range []string{"/a", "/b"} {
		body, closes := caller.readAnswer()
		check.Equal(body, path)
		check.True(!closes)
	}
	check.Equal(<-backend.started, "/pay") // it starts only after the earlier answers
	close(backend.releases["/pay"])
	body, _ := caller.readAnswer()
	check.Equal(body, "/pay")
	check.Equal(mesh.caller.Counters().Ahead, uint64(1))
	check.Equal(mesh.caller.Counters().AheadBytes, int64(0))
}

// A drain must answer the calls that have been sent to the back end already, and only the last
// answer closes the connection.
func TestDrainAnswersPipelinedCalls(t *testing.T) {
	check := is.New(t)
	backend := newPathBlockingBackend("/a", "/b", "/c")
	limits := Limits{DrainLinger: time.Millisecond}
	mesh := startMesh(t, meshOptions{limits: limits}, backend.spec())
	caller := mesh.pipeline(t, getRequestTo("/a"), getRequestTo("/b"))
	<-backend.started
	<-backend.started
	mesh.caller.StartDrain()
	_, err := io.WriteString(caller.conn, getRequestTo("/c"))
	check.NoErr(err)
	close(backend.releases["/b"])
	close(backend.releases["/a"])
	body, closes := caller.readAnswer()
	check.Equal(body, "/a")
	check.True(!closes)
	body, closes = caller.readAnswer()
	check.Equal(body, "/b")
	check.True(closes)
	_, err = caller.reader.ReadByte()
	check.Equal(err, io.EOF)
	<-mesh.caller.Drained()
	check.Equal(len(backend.started), 0) // the request for /c was not read
}

// A shutdown must answer the calls that have been sent to the back end already, also if it begins
// before the first answer.
func TestShutdownAnswersPipelinedCalls(t *testing.T) {
	check := is.New(t)
	backend := newPathBlockingBackend("/a", "/b")
	mesh := startMesh(t, meshOptions{}, backend.spec())
	listener := listenLoopback(t)
	server := NewServer(mesh.caller.CallerHandler(), Limits{})
	go func() { _ = server.Serve(listener) }()
	mesh.address = listener.Addr().String()
	caller := mesh.pipeline(t, getRequestTo("/a"), getRequestTo("/b"))
	<-backend.started
	<-backend.started
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	for !server.isStopping() {
		time.Sleep(time.Millisecond)
	}
	close(backend.releases["/b"])
	close(backend.releases["/a"])
	for _, path := range []string{"/a", "/b"} {
		body, _ := caller.readAnswer()
		check.Equal(body, path)
	}
	check.NoErr(<-stopped)
}

// A caller's disconnect must cancel all its calls, even if one of its requests is still unread.
func TestCallerDisconnectCancelsPipelinedCalls(t *testing.T) {
	check := is.New(t)
	backend := newPathBlockingBackend("/a", "/b")
	mesh := startMesh(t, meshOptions{}, backend.spec())
	caller := mesh.pipeline(t, getRequestTo("/a"), getRequestTo("/b"), payRequest)
	<-backend.started
	<-backend.started
	check.NoErr(caller.conn.Close())
	firstCancelled := <-backend.cancelled
	check.True(firstCancelled != <-backend.cancelled)
	check.Equal(len(backend.started), 0)
}

// The time that a call waits for its turn must count against its timeout.
func TestCallTimeoutIncludesTurnWait(t *testing.T) {
	check := is.New(t)
	backend := newPathBlockingBackend("/a")
	backend.releases["/a"] = make(chan struct{})
	mesh := startMesh(t, meshOptions{}, backend.spec())
	shortTimeoutRequest := "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nSpringstack-Timeout-Ms: 30\r\n\r\nhi"
	caller := mesh.pipeline(t, getRequestTo("/a"), shortTimeoutRequest)
	check.Equal(<-backend.started, "/a")
	time.Sleep(60 * time.Millisecond) // longer than the second call's timeout
	close(backend.releases["/a"])
	body, _ := caller.readAnswer()
	check.Equal(body, "/a")
	answer, err := http.ReadResponse(caller.reader, nil)
	check.NoErr(err)
	check.Equal(answer.Header.Get(headerRan), "no")
	check.Equal(len(backend.started), 0)
}

// A malformed request after valid ones must be refused with a code, after their answers, and the
// connection must be closed.
func TestMalformedPipelinedRequestIsRefusedInOrder(t *testing.T) {
	check := is.New(t)
	backend := newPathBlockingBackend("/a", "/b")
	mesh := startMesh(t, meshOptions{}, backend.spec())
	caller := mesh.pipeline(t, getRequestTo("/a"), getRequestTo("/b"), "nonsense\r\n\r\n", getRequestTo("/a"))
	<-backend.started
	<-backend.started
	close(backend.releases["/b"])
	close(backend.releases["/a"])
	for _, path := range []string{"/a", "/b"} {
		body, _ := caller.readAnswer()
		check.Equal(body, path)
	}
	answer, err := http.ReadResponse(caller.reader, nil)
	check.NoErr(err)
	check.Equal(answer.StatusCode, http.StatusBadRequest)
	check.True(answer.Header.Get(headerCode) != "")
	check.True(answer.Close)
	_, _ = io.Copy(io.Discard, answer.Body)
	_, err = caller.reader.ReadByte()
	check.Equal(err, io.EOF)
}
