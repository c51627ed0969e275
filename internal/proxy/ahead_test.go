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
type held struct {
	began chan string
	gone  chan string
	gates map[string]chan struct{}
}

func newHeld(paths ...string) *held {
	made := &held{began: make(chan string, 16), gone: make(chan string, 16), gates: map[string]chan struct{}{}}
	for _, path := range paths {
		made.gates[path] = make(chan struct{})
	}
	return made
}

func (h *held) spec() backendSpec {
	return backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		path := request.URL.Path
		h.began <- path
		select {
		case <-h.gates[path]:
			_, _ = io.WriteString(writer, path)
		case <-request.Context().Done():
			h.gone <- path
		}
	}}
}

// pipelined is a caller that sends on without waiting for answers.
type pipelined struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (m *mesh) pipeline(t *testing.T, requests ...string) *pipelined {
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
	return &pipelined{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// next reads the next answer: its body, and whether the connection ends with it.
func (p *pipelined) next() (body string, closes bool) {
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

func getOf(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

const postOf = "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"

func TestCallsOfOneConnectionRunSideBySide(t *testing.T) {
	check := is.New(t)
	backend := newHeld("/a", "/b", "/pay")
	mesh := startMesh(t, meshOptions{}, backend.spec())
	caller := mesh.pipeline(t, getOf("/a"), getOf("/b"), postOf)
	first := <-backend.began
	check.True(first != <-backend.began)
	close(backend.gates["/b"])
	close(backend.gates["/a"])
	for _, wanted := range []string{"/a", "/b"} {
		body, closes := caller.next()
		check.Equal(body, wanted)
		check.True(!closes)
	}
	check.Equal(<-backend.began, "/pay") // not before the answers ahead of it
	close(backend.gates["/pay"])
	body, _ := caller.next()
	check.Equal(body, "/pay")
	check.Equal(mesh.caller.Counters().Ahead, uint64(1))
	check.Equal(mesh.caller.Counters().AheadBytes, int64(0))
}

// TestADrainAnswersWhatRunsAhead: what has been passed on is answered, and only
// the last answer closes the connection.
func TestADrainAnswersWhatRunsAhead(t *testing.T) {
	check := is.New(t)
	backend := newHeld("/a", "/b", "/c")
	limits := Limits{DrainLinger: time.Millisecond}
	mesh := startMesh(t, meshOptions{limits: limits}, backend.spec())
	caller := mesh.pipeline(t, getOf("/a"), getOf("/b"))
	<-backend.began
	<-backend.began
	mesh.caller.StartDrain()
	_, err := io.WriteString(caller.conn, getOf("/c"))
	check.NoErr(err)
	close(backend.gates["/b"])
	close(backend.gates["/a"])
	body, closes := caller.next()
	check.Equal(body, "/a")
	check.True(!closes)
	body, closes = caller.next()
	check.Equal(body, "/b")
	check.True(closes)
	_, err = caller.reader.ReadByte()
	check.Equal(err, io.EOF)
	<-mesh.caller.Drained()
	check.Equal(len(backend.began), 0) // /c was left unread
}

// TestAShutdownAnswersWhatRunsAhead: as a drain does, also when the server stops
// before the first answer.
func TestAShutdownAnswersWhatRunsAhead(t *testing.T) {
	check := is.New(t)
	backend := newHeld("/a", "/b")
	mesh := startMesh(t, meshOptions{}, backend.spec())
	listener := listen(t)
	server := NewServer(mesh.caller.CallerHandler(), Limits{})
	go func() { _ = server.Serve(listener) }()
	mesh.address = listener.Addr().String()
	caller := mesh.pipeline(t, getOf("/a"), getOf("/b"))
	<-backend.began
	<-backend.began
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	for !server.isStopping() {
		time.Sleep(time.Millisecond)
	}
	close(backend.gates["/b"])
	close(backend.gates["/a"])
	for _, wanted := range []string{"/a", "/b"} {
		body, _ := caller.next()
		check.Equal(body, wanted)
	}
	check.NoErr(<-stopped)
}

// TestACallerThatLeavesEndsAllItsCalls: also while bytes of it wait to be read.
func TestACallerThatLeavesEndsAllItsCalls(t *testing.T) {
	check := is.New(t)
	backend := newHeld("/a", "/b")
	mesh := startMesh(t, meshOptions{}, backend.spec())
	caller := mesh.pipeline(t, getOf("/a"), getOf("/b"), postOf)
	<-backend.began
	<-backend.began
	check.NoErr(caller.conn.Close())
	first := <-backend.gone
	check.True(first != <-backend.gone)
	check.Equal(len(backend.began), 0)
}

// TestTimeCountsFromArrival: a call that must wait for its turn has less time left.
func TestTimeCountsFromArrival(t *testing.T) {
	check := is.New(t)
	backend := newHeld("/a")
	backend.gates["/a"] = make(chan struct{})
	mesh := startMesh(t, meshOptions{}, backend.spec())
	late := "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nSpringstack-Timeout-Ms: 30\r\n\r\nhi"
	caller := mesh.pipeline(t, getOf("/a"), late)
	check.Equal(<-backend.began, "/a")
	time.Sleep(60 * time.Millisecond) // the time that the second call has
	close(backend.gates["/a"])
	body, _ := caller.next()
	check.Equal(body, "/a")
	answer, err := http.ReadResponse(caller.reader, nil)
	check.NoErr(err)
	check.Equal(answer.Header.Get(headerRan), "no")
	check.Equal(len(backend.began), 0)
}

// TestGarbageBehindACallIsRefusedInItsPlace: with its code, after the answers ahead
// of it, and the connection closes.
func TestGarbageBehindACallIsRefusedInItsPlace(t *testing.T) {
	check := is.New(t)
	backend := newHeld("/a", "/b")
	mesh := startMesh(t, meshOptions{}, backend.spec())
	caller := mesh.pipeline(t, getOf("/a"), getOf("/b"), "nonsense\r\n\r\n", getOf("/a"))
	<-backend.began
	<-backend.began
	close(backend.gates["/b"])
	close(backend.gates["/a"])
	for _, wanted := range []string{"/a", "/b"} {
		body, _ := caller.next()
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
