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

	_ "github.com/springstack/springstack/internal/fixedseed"
)

// testEdge is how a foreign platform speaks in these tests.
func testEdge() *Edge {
	return &Edge{
		RequestID: "Id", Deadline: "Left", Signature: "Signed",
		ExpectedInstance: "Meant-For", NotExecuted: "Not-Run", CallerService: "From", Service: "plans",
	}
}

// useEdge has both sides speak as a foreign platform does; nothing was called yet.
func (m *mesh) useEdge() {
	m.caller.config.Edge = testEdge()
	for _, gate := range m.gates {
		gate.config.Edge = testEdge()
	}
}

func signedAnswer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: s\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// excessive is a back end that sends an answer in excess in the place of the second one
// due, 50 ms after that run began, and ends the run 100 ms later unless it is cut by then.
// From then on it turns all requests away, as one that is full does.
func excessAnswerBackend(cut *atomic.Bool) backendSpec {
	return backendSpec{script: func(conn net.Conn, reader *bufio.Reader) {
		for number := 0; ; number++ {
			request, fine := readRequest(reader)
			if !fine {
				return
			}
			id := request.Header.Get("Id")
			if cut.Load() {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nId: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			if number > 0 {
				time.Sleep(50 * time.Millisecond) // at work
				_, _ = io.WriteString(conn, signedAnswer("first", "excess"))
				_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				if _, err := reader.Peek(1); err == io.EOF {
					cut.Store(true)
					return
				}
				_ = conn.SetReadDeadline(time.Time{})
			}
			_, _ = io.WriteString(conn, signedAnswer(id, id))
		}
	}}
}

// An answer in excess may arrive late, in the place where the next one is due; the id
// tells them apart. The run whose place it takes is at work all the same: it is not cut,
// and its own answer is delivered.
func TestExcessAnswerDoesNotCancelNextCall(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			check := is.New(t)
			var cut atomic.Bool
			mesh := startMesh(t, meshOptions{slots: 1}, excessAnswerBackend(&cut))
			mesh.useEdge()
			check.Equal(mesh.call(t, method, "/", "", "Id", "first").body, "first")
			mesh.caller.StartDrain() // as around a stop
			got := mesh.call(t, method, "/", "", "Id", "second")
			t.Log(got.status, got.body, "cut", cut.Load())
			check.True(!cut.Load()) // the gate cut the run
			check.Equal(got.status, http.StatusOK)
			check.Equal(got.body, "second")
		})
	}
}

// pieces reads text in pieces of drawn sizes.
type pieceReader struct {
	text []byte
	draw func() int
}

func (p *pieceReader) Read(into []byte) (int, error) {
	if len(p.text) == 0 {
		return 0, io.EOF
	}
	count := copy(into[:min(len(into), p.draw())], p.text)
	p.text = p.text[count:]
	return count, nil
}

func chunkedAnswer(id string, length int) string {
	body := strings.Repeat("y", length)
	return fmt.Sprintf("HTTP/1.1 500 No\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, length, body)
}

// Whatever answers of other requests come first, however the bytes are cut, what is passed
// on begins with the own answer and is unchanged from there.
func TestSurplusFilterPassesOwnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := is.New(t)
		foreign := ""
		for number := range rapid.IntRange(0, 3).Draw(t, "foreign") {
			id, length := fmt.Sprint("other-", number), rapid.SampledFrom([]int{0, 5, 3000, 9000}).Draw(t, "length")
			if length > 0 && rapid.Bool().Draw(t, "chunked") {
				foreign += chunkedAnswer(id, length)
				continue
			}
			foreign += signedAnswer(id, strings.Repeat("x", length))
		}
		own := signedAnswer("mine", strings.Repeat("z", rapid.SampledFrom([]int{0, 7, 9000}).Draw(t, "own")))
		if rapid.IntRange(0, 4).Draw(t, "interim") == 0 {
			own = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + own
		}
		source := &pieceReader{text: []byte(foreign + own), draw: func() int {
			return rapid.SampledFrom([]int{1, 30, 500, 4096}).Draw(t, "piece")
		}}
		filter := &surplusFilter{source: source}
		for number := range 3 {
			filter.recordRequest(fmt.Sprint("other-", number))
		}
		filter.recordRequest("mine")
		attempt := &attemptGuard{answerID: "mine", answerHeader: "Id"}
		var passed bytes.Buffer
		buffer := make([]byte, rapid.SampledFrom([]int{100, 4096}).Draw(t, "buffer"))
		for {
			count, err := filter.read(buffer, func() *attemptGuard { return attempt })
			passed.Write(buffer[:count])
			if err != nil {
				break
			}
		}
		check.Equal(passed.String(), own)
	})
}

// An answer that names no request of its connection, and one that only its connection ends,
// are left to whoever checks answers.
func TestSurplusFilterPassesUnidentifiedAnswers(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n",
		signedAnswer("unheard of", "x"),
		"HTTP/1.1 200 OK\r\nId: other\r\n\r\nuntil the end",
		"no answer at all\r\n\r\n",
		strings.Repeat("x", 2*answerHeadLimit),
	} {
		check := is.New(t)
		filter := &surplusFilter{source: strings.NewReader(text)}
		filter.recordRequest("other")
		attempt := &attemptGuard{answerID: "mine", answerHeader: "Id"}
		buffer := make([]byte, 4096)
		count, err := filter.read(buffer, func() *attemptGuard { return attempt })
		check.NoErr(err)
		check.Equal(string(buffer[:count]), text[:count])
	}
}
