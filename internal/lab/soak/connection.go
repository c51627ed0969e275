package soak

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/platform/standin"
)

// dialWait bounds the opening of a connection.
const dialWait = time.Second

// codeHeader names the reason of a refusal, heldCode that of a request that is held as one
// that ends its upstreams.
const codeHeader = "Springstack-Code"

var heldCode = strconv.Itoa(int(result.Quarantined))

// connection is one kept connection of a client to a daemon. It is used until the
// daemon ends it, whatever becomes of the daemon, and opened anew then. Unlike the
// library's client it never sends a request again, so that no cut is hidden.
type connection struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// open connects unless a connection is open.
func (c *connection) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, dialWait)
	if err != nil {
		return errors.Trace(err)
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// close ends the connection, if one is open.
func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close() // an error means that it has ended
		c.conn = nil
	}
}

// write sends requests one behind another, all in one piece.
func (c *connection) write(requests []*http.Request) error {
	var text bytes.Buffer
	for _, request := range requests {
		if err := request.Write(&text); err != nil {
			return errors.Trace(err)
		}
	}
	_, err := c.conn.Write(text.Bytes())
	return errors.Trace(err)
}

// read reads the next answer, and ends the connection after one that announces it.
func (c *connection) read(request *http.Request) (Answer, error) {
	got, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	return Answer{
		Status: got.StatusCode, Signature: got.Header.Get(standin.SignatureHeader), Body: string(body), At: time.Now(),
		Last: got.Close, Code: got.Header.Get(codeHeader),
	}, nil
}

// exchange sends requests one behind another on a connection and judges their
// answers. Where no connection can be opened nothing is sent.
func (s *soak) exchange(on *connection, requests ...Request) []Answer {
	answers := make([]Answer, len(requests))
	if err := on.open(); err != nil {
		if isShortage(err) {
			s.oracle.Lacks(err)
		}
		return unanswered(answers, "not connected: "+causeOf(err))
	}
	now := time.Now()
	_ = on.conn.SetDeadline(now.Add(patience)) // one that has ended shows when it is used
	outgoing := make([]*http.Request, 0, len(requests))
	for index := range requests {
		requests[index].SentAt, requests[index].Deadline = now, patience
		requests[index].setDefaultKey()
		made, err := newRequest(on.address, requests[index])
		if err != nil {
			return answers
		}
		outgoing = append(outgoing, made)
	}
	for _, request := range requests {
		s.oracle.Sent(request)
	}
	_ = on.write(outgoing) // what was not sent gets no answer
	for index, request := range requests {
		answer, err := on.read(outgoing[index])
		if err != nil {
			on.close()
			s.lost(requests[index:])
			unanswered(answers[index+1:], "behind one that was lost")
			unanswered(answers[index:index+1], causeOf(err))
			return answers
		}
		answers[index] = answer
		s.oracle.Answered(request, answer)
	}
	if answers[len(answers)-1].Last {
		on.close()
	}
	return answers
}

// unanswered gives answers that did not come their cause.
func unanswered(answers []Answer, cause string) []Answer {
	for index := range answers {
		answers[index].Code = cause
	}
	return answers
}

// causeOf names why an answer, or a connection, did not come.
func causeOf(err error) string {
	var failure net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	case errors.As(err, &failure) && failure.Timeout():
		return "time over"
	case isShortage(err):
		return "the soak lacks something"
	}
	return "unknown"
}

// lost notes requests that got no whole answer.
func (s *soak) lost(requests []Request) {
	now := time.Now()
	for _, request := range requests {
		s.oracle.Lost(request, now)
	}
}

func newRequest(address string, request Request) (*http.Request, error) {
	made, err := standin.NewRequest(context.Background(), request.Method, address, host, request.Target, request.ID, patience,
		strings.NewReader(request.Body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	made.Header.Set(standin.KeyHeader, standin.KeyLine(request.Key))
	return made, nil
}
