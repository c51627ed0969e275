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

// held is a back end whose calls wait until the test lets their path go on.
type pathBlockingBackend struct {
	started   chan string
	cancelled chan string
	releases  map[string]chan struct{}
}

func newPathBlockingBackend(paths ...string) *pathBlockingBackend {
	made := &pathBlockingBackend{started: make(chan string, 16), cancelled: make(chan string, 16), releases: map[string]chan struct{}{}}
	for _, path := range paths {
		made.releases[path] = make(chan struct{})
	}
	return made
}

func (h *pathBlockingBackend) spec() backendSpec {
	return backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		path := request.URL.Path
		h.started <- path
		select {
		case <-h.releases[path]:
			_, _ = io.WriteString(writer, path)
		case <-request.Context().Done():
			h.cancelled <- path
		}
	}}
}

// pipelined is a caller that sends on without waiting for answers.
type pipeliningCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

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

// next reads the next answer: its body, and whether the connection ends with it.
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

func getRequestTo(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

const payRequest = "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"

func TestPipelinedCallsRunConcurrently(t *testing.T) {
	check := is.New(t)
	backend := newPathBlockingBackend("/a", "/b", "/pay")
	mesh := startMesh(t, meshOptions{}, backend.spec())
	caller := mesh.pipeline(t, getRequestTo("/a"), getRequestTo("/b"), payRequest)
	first := <-backend.started
	check.True(first != <-backend.started)
	close(backend.releases["/b"])
	close(backend.releases["/a"])
	for _, wanted := range []string{"/a", "/b"} {
		body, closes := caller.readAnswer()
		check.Equal(body, wanted)
		check.True(!closes)
	}
	check.Equal(<-backend.started, "/pay") // not before the answers ahead of it
	close(backend.releases["/pay"])
	body, _ := caller.readAnswer()
	check.Equal(body, "/pay")
	check.Equal(mesh.caller.Counters().Ahead, uint64(1))
	check.Equal(mesh.caller.Counters().AheadBytes, int64(0))
}

// TestADrainAnswersWhatRunsAhead: what has been passed on is answered, and only
// the last answer closes the connection.
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
	check.Equal(len(backend.started), 0) // /c was left unread
}

// TestAShutdownAnswersWhatRunsAhead: as a drain does, also when the server stops
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
	for _, wanted := range []string{"/a", "/b"} {
		body, _ := caller.readAnswer()
		check.Equal(body, wanted)
	}
	check.NoErr(<-stopped)
}

// TestACallerThatLeavesEndsAllItsCalls: also while bytes of it wait to be read.
func TestCallerDisconnectCancelsPipelinedCalls(t *testing.T) {
	check := is.New(t)
	backend := newPathBlockingBackend("/a", "/b")
	mesh := startMesh(t, meshOptions{}, backend.spec())
	caller := mesh.pipeline(t, getRequestTo("/a"), getRequestTo("/b"), payRequest)
	<-backend.started
	<-backend.started
	check.NoErr(caller.conn.Close())
	first := <-backend.cancelled
	check.True(first != <-backend.cancelled)
	check.Equal(len(backend.started), 0)
}

// TestTimeCountsFromArrival: a call that must wait for its turn has less time left.
func TestCallTimeoutIncludesTurnWait(t *testing.T) {
	check := is.New(t)
	backend := newPathBlockingBackend("/a")
	backend.releases["/a"] = make(chan struct{})
	mesh := startMesh(t, meshOptions{}, backend.spec())
	late := "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nSpringstack-Timeout-Ms: 30\r\n\r\nhi"
	caller := mesh.pipeline(t, getRequestTo("/a"), late)
	check.Equal(<-backend.started, "/a")
	time.Sleep(60 * time.Millisecond) // the time that the second call has
	close(backend.releases["/a"])
	body, _ := caller.readAnswer()
	check.Equal(body, "/a")
	answer, err := http.ReadResponse(caller.reader, nil)
	check.NoErr(err)
	check.Equal(answer.Header.Get(headerRan), "no")
	check.Equal(len(backend.started), 0)
}

// TestGarbageBehindACallIsRefusedInItsPlace: with its code, after the answers ahead
// of it, and the connection closes.
func TestMalformedPipelinedRequestIsRefusedInOrder(t *testing.T) {
	check := is.New(t)
	backend := newPathBlockingBackend("/a", "/b")
	mesh := startMesh(t, meshOptions{}, backend.spec())
	caller := mesh.pipeline(t, getRequestTo("/a"), getRequestTo("/b"), "nonsense\r\n\r\n", getRequestTo("/a"))
	<-backend.started
	<-backend.started
	close(backend.releases["/b"])
	close(backend.releases["/a"])
	for _, wanted := range []string{"/a", "/b"} {
		body, _ := caller.readAnswer()
		check.Equal(body, wanted)
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
