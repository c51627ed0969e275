package load

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/result"
)

// Headers of refusals of the mesh.
const (
	headerCode = "Springstack-Code"
	headerRan  = "Springstack-Ran"
)

// connectionsPerTarget bounds the kept connections to one target.
const connectionsPerTarget = 512

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// Client sends calls and checks their answers.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client; the caller closes it.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: connectionsPerTarget,
		DisableCompression:  true,
		WriteBufferSize:     32 << 10,
	}}
}

// Close gives up the kept connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// filler streams a body of a size without keeping it.
type filler struct {
	block []byte
	left  int
	next  int
}

// newFiller streams the bytes that backend.WriteFiller writes.
func newFiller(id backend.RequestID, count int) *filler {
	return &filler{block: backend.FillerBlock(string(id), count), left: count}
}

// Read fills the buffer with the next bytes of the body.
func (f *filler) Read(buffer []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	size := min(len(buffer), f.left, len(f.block)-f.next)
	copy(buffer, f.block[f.next:f.next+size])
	f.next = (f.next + size) % len(f.block)
	f.left -= size
	return size, nil
}

// Call sends one call and reads its whole answer. The request id, kind and
// target of the result are left to the caller.
func (c *Client) Call(ctx context.Context, address string, kind Kind, id backend.RequestID) Result {
	timeout := kind.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := newRequest(ctx, address, kind, id)
	if err != nil {
		return Result{Fault: FaultConnect, Detail: err.Error()}
	}
	answer, err := c.transport.RoundTrip(request)
	if err != nil {
		return Result{Fault: sendFault(err, connected.Load()), Detail: err.Error()}
	}
	defer answer.Body.Close()
	return readAnswer(answer, kind, id)
}

// newRequest builds the request of a call.
func newRequest(ctx context.Context, address string, kind Kind, id backend.RequestID) (*http.Request, error) {
	var body io.Reader
	if kind.BodyBytes > 0 {
		body = newFiller(id, kind.BodyBytes)
	}
	request, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+address+kind.Path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if kind.BodyBytes > 0 {
		request.ContentLength = int64(kind.BodyBytes)
	}
	request.Host = kind.Host
	request.Header.Set(backend.HeaderRequest, string(id))
	setNumber(request.Header, backend.HeaderAnswerBytes, kind.AnswerBytes)
	setNumber(request.Header, backend.HeaderDepth, kind.Depth)
	setNumber(request.Header, backend.HeaderFail, kind.FailStatus)
	if len(kind.Chain) > 0 {
		request.Header.Set(backend.HeaderChain, strings.Join(kind.Chain, ","))
	}
	if kind.Prepare != nil {
		kind.Prepare(request)
	}
	return request, nil
}

// setNumber sets a header unless the number is 0.
func setNumber(header http.Header, name string, number int) {
	if number != 0 {
		header.Set(name, strconv.Itoa(number))
	}
}

// sendFault tells what an error before the answer means. The transport sends
// some calls again by itself, so an error of the last dialling doesn't mean
// that nothing was sent.
func sendFault(err error, connected bool) Fault {
	if errors.Is(err, context.DeadlineExceeded) {
		return FaultTimeout
	}
	var operation *net.OpError
	if !connected && errors.As(err, &operation) && operation.Op == "dial" {
		return FaultConnect
	}
	return FaultBroken
}

// readAnswer reads and checks the whole answer.
func readAnswer(answer *http.Response, kind Kind, id backend.RequestID) Result {
	outcome := Result{Status: answer.StatusCode}
	if code, err := strconv.Atoi(answer.Header.Get(headerCode)); err == nil {
		outcome.Code = result.Code(code)
		outcome.Ran = result.Execution(answer.Header.Get(headerRan))
	}
	whole, own, err := checkBody(answer, kind, id, outcome.Code)
	switch {
	case err != nil && errors.Is(err, context.DeadlineExceeded):
		outcome.Fault = FaultTimeout
	case err != nil || !whole:
		outcome.Fault = FaultCutAnswer
	case !own:
		outcome.Fault = FaultWrongAnswer
	}
	if err != nil {
		outcome.Detail = err.Error()
	}
	return outcome
}

// checkBody reads the body to its end. Only the answers of back ends are
// compared with what this call must get.
func checkBody(answer *http.Response, kind Kind, id backend.RequestID, code result.Code) (whole, own bool, err error) {
	fromBackend := answer.Header.Get(backend.HeaderBackend) != "" && code == 0
	if !fromBackend {
		_, err = io.Copy(io.Discard, answer.Body)
		return err == nil, true, err
	}
	head := []byte(backend.AnswerHead(id, bodyDigest(kind, id), kind.AnswerBytes))
	got := make([]byte, len(head))
	if _, err = io.ReadFull(answer.Body, got); err != nil {
		return false, false, err
	}
	own = bytes.Equal(got, head) && answer.Header.Get(backend.HeaderRequest) == string(id)
	expected := newFiller(id, kind.AnswerBytes)
	same, err := sameStream(answer.Body, expected)
	return err == nil, own && same, err
}

// bodyDigest is the digest that the back end must have seen.
func bodyDigest(kind Kind, id backend.RequestID) uint64 {
	digest := xxhash.New()
	if kind.BodyBytes > 0 {
		// Neither side of this copy can fail.
		_, _ = io.Copy(digest, newFiller(id, kind.BodyBytes))
	}
	return digest.Sum64()
}

// compareBytes is how much of two streams is compared at a time.
const compareBytes = 16 << 10

// sameStream reads both streams to the end and tells whether they are equal.
func sameStream(got io.Reader, expected io.Reader) (bool, error) {
	same := true
	gotBuffer := make([]byte, compareBytes)
	expectedBuffer := make([]byte, compareBytes)
	for {
		size, err := got.Read(gotBuffer)
		want, _ := io.ReadFull(expected, expectedBuffer[:size])
		same = same && bytes.Equal(gotBuffer[:size], expectedBuffer[:want])
		if err == io.EOF {
			left, _ := expected.Read(expectedBuffer[:1])
			return same && left == 0, nil
		}
		if err != nil {
			return same, err
		}
	}
}
