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

// testEdge returns the header names of a foreign platform for tests.
func testEdge() *Edge {
	return &Edge{
		RequestID: "Id", Deadline: "Left", Signature: "Signed",
		ExpectedInstance: "Meant-For", NotExecuted: "Not-Run", CallerService: "From", Service: "plans",
	}
}

// useEdge sets testEdge on the callers' side and all gates. It must be called before the first
// call.
func (m *mesh) useEdge() {
	m.caller.config.Edge = testEdge()
	for _, gate := range m.gates {
		gate.config.Edge = testEdge()
	}
}

// signedAnswer returns the text of a genuine success answer to the request with the given id.
func signedAnswer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: s\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

// excessAnswerBackend is a back end that, 50 ms after the start of every request but the first on a
// connection, sends an extra answer with the id of the first request. It sends the answer with the
// right id 100 ms later. If the connection is closed in the meantime, it sets cancelled and refuses
// all further requests.
func excessAnswerBackend(cancelled *atomic.Bool) backendSpec {
	return backendSpec{script: func(conn net.Conn, reader *bufio.Reader) {
		for number := 0; ; number++ {
			request, ok := readRequest(reader)
			if !ok {
				return
			}
			id := request.Header.Get("Id")
			if cancelled.Load() {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nId: "+id+"\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			if number > 0 {
				time.Sleep(50 * time.Millisecond) // the request runs
				_, _ = io.WriteString(conn, signedAnswer("first", "excess"))
				_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				if _, err := reader.Peek(1); err == io.EOF {
					cancelled.Store(true)
					return
				}
				_ = conn.SetReadDeadline(time.Time{})
			}
			_, _ = io.WriteString(conn, signedAnswer(id, id))
		}
	}}
}

// An excess answer may arrive while the next request on the connection runs. It is recognised by
// its request id. The running request must not be cancelled, and its own answer must be delivered.
func TestExcessAnswerDoesNotCancelNextCall(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			check := is.New(t)
			var cancelled atomic.Bool
			mesh := startMesh(t, meshOptions{slots: 1}, excessAnswerBackend(&cancelled))
			mesh.useEdge()
			check.Equal(mesh.call(t, method, "/", "", "Id", "first").body, "first")
			mesh.caller.StartDrain() // as while the daemon stops
			result := mesh.call(t, method, "/", "", "Id", "second")
			t.Log(result.status, result.body, "cut", cancelled.Load())
			check.True(!cancelled.Load()) // otherwise the gate cancelled the request
			check.Equal(result.status, http.StatusOK)
			check.Equal(result.body, "second")
		})
	}
}

// pieceReader reads text in pieces whose maximum sizes are drawn.
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

// chunkedAnswer returns the text of an error answer with a chunked body of the given length.
func chunkedAnswer(id string, length int) string {
	body := strings.Repeat("y", length)
	return fmt.Sprintf("HTTP/1.1 500 No\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, length, body)
}

// The filter must drop the answers of earlier requests and pass the rest unchanged, however the
// bytes are divided among reads.
func TestSurplusFilterPassesOwnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := is.New(t)
		earlierAnswers := ""
		for number := range rapid.IntRange(0, 3).Draw(t, "foreign") {
			id, length := fmt.Sprint("other-", number), rapid.SampledFrom([]int{0, 5, 3000, 9000}).Draw(t, "length")
			if length > 0 && rapid.Bool().Draw(t, "chunked") {
				earlierAnswers += chunkedAnswer(id, length)
				continue
			}
			earlierAnswers += signedAnswer(id, strings.Repeat("x", length))
		}
		ownAnswer := signedAnswer("mine", strings.Repeat("z", rapid.SampledFrom([]int{0, 7, 9000}).Draw(t, "own")))
		if rapid.IntRange(0, 4).Draw(t, "interim") == 0 {
			ownAnswer = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ownAnswer
		}
		source := &pieceReader{text: []byte(earlierAnswers + ownAnswer), draw: func() int {
			return rapid.SampledFrom([]int{1, 30, 500, 4096}).Draw(t, "piece")
		}}
		filter := &surplusFilter{source: source}
		for number := range 3 {
			filter.recordRequest(fmt.Sprint("other-", number))
		}
		filter.recordRequest("mine")
		attempt := &attemptGuard{answerID: "mine", answerHeader: "Id"}
		var output bytes.Buffer
		buffer := make([]byte, rapid.SampledFrom([]int{100, 4096}).Draw(t, "buffer"))
		for {
			count, err := filter.read(buffer, func() *attemptGuard { return attempt })
			output.Write(buffer[:count])
			if err != nil {
				break
			}
		}
		check.Equal(output.String(), ownAnswer)
	})
}

// The filter must pass on unchanged what it can't identify as the answer to an earlier request of
// the connection, or whose end it can't find. Edge.checkAnswer or net/http then rejects it.
func TestSurplusFilterPassesUnidentifiedAnswers(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n",
		signedAnswer("unheard of", "x"),
		"HTTP/1.1 200 OK\r\nId: other\r\n\r\nuntil the end",
		"no answer at all\r\n\r\n",
		strings.Repeat("x", 2*maxAnswerHeadBytes),
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
