// Package client is what the operators' command line is made of: calls to the
// operators' API that try one server after another, waiting for a version to
// be in force, and reading the client's settings.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/result"
)

// Timing of calls.
const (
	// callTimeout bounds one attempt; it is longer than a server's own bound, so
	// that a server normally answers "outcome unknown" itself.
	callTimeout = 16 * time.Second
	// retryPause is the wait after all servers were tried.
	retryPause = 500 * time.Millisecond
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 16 << 20
	// randomBytes is how much randomness an operation id holds.
	randomBytes = 12
)

// Client calls the operators' API of any of several daemons.
type Client struct {
	servers []string
	token   string
	http    *http.Client
	pause   time.Duration
}

// New returns a client for servers given as http or https URLs. tlsConfig may
// be nil.
func New(servers []string, token string, tlsConfig *tls.Config) (*Client, error) {
	if len(servers) == 0 {
		return nil, result.New(result.UsageError, "no server is given")
	}
	for _, server := range servers {
		parsed, err := url.Parse(server)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return nil, result.New(result.UsageError, "server %q is not an http or https URL", server)
		}
	}
	transport := &http.Transport{TLSClientConfig: tlsConfig, DisableKeepAlives: true}
	return &Client{
		servers: servers,
		token:   token,
		http:    &http.Client{Transport: transport, Timeout: callTimeout},
		pause:   retryPause,
	}, nil
}

// Change is one change of a file.
type Change struct {
	Partner string
	Name    string
	Action  protocol.Action
	// Expect is the revision that the operator saw; nil for any.
	Expect  *uint64
	Content []byte
	// Operation is the operation id; Change makes one up when it is empty.
	Operation string
}

// NewOperation returns a fresh operation id.
func NewOperation(now time.Time) string {
	random := make([]byte, randomBytes)
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(random)
	return ledger.NewOperationID(now, random)
}

// Change carries out a change. It keeps one operation id over all attempts and
// tries one server after another until the outcome is known or ctx ends.
func (c *Client) Change(ctx context.Context, change Change) message.Answer {
	if change.Operation == "" {
		change.Operation = NewOperation(time.Now())
	}
	attempts := attempts{operation: change.Operation}
	for round := 0; ; round++ {
		for _, server := range c.servers {
			answer, failed := c.attempt(ctx, server, change)
			if settled := attempts.add(answer, failed); settled != nil {
				return *settled
			}
			if attempts.notAccepted() && remaining(ctx) < callTimeout {
				return attempts.final()
			}
		}
		if !pause.For(ctx, c.pause) {
			return attempts.final()
		}
	}
}

// remaining returns how long a context still runs.
func remaining(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return math.MaxInt64
	}
	return time.Until(deadline)
}

func (c *Client) attempt(ctx context.Context, server string, change Change) (message.Answer, *failure) {
	query := url.Values{"operation": {change.Operation}}
	if change.Expect != nil {
		query.Set("expect", strconv.FormatUint(*change.Expect, 10))
	}
	path := "/v1/files/" + url.PathEscape(change.Partner) + "/" + url.PathEscape(change.Name)
	call := call{method: http.MethodDelete, path: path, query: query}
	if change.Action != protocol.ActionWithdraw {
		query.Set("action", string(change.Action))
		call.method = http.MethodPut
		call.body = change.Content
	}
	var answer message.Answer
	failed := c.do(ctx, server, call, &answer)
	if failed != nil {
		return failed.answer, failed
	}
	return answer, nil
}

// Status returns the state of the mesh.
func (c *Client) Status(ctx context.Context) (message.Status, *message.Answer) {
	var status message.Status
	return status, c.ask(ctx, call{method: http.MethodGet, path: "/v1/status"}, &status)
}

// Members returns the daemons.
func (c *Client) Members(ctx context.Context) (message.Members, *message.Answer) {
	var members message.Members
	return members, c.ask(ctx, call{method: http.MethodGet, path: "/v1/members"}, &members)
}

// Diff compares a file with its accepted revision.
func (c *Client) Diff(ctx context.Context, text []byte) (message.Differences, *message.Answer) {
	var differences message.Differences
	return differences, c.ask(ctx, call{method: http.MethodPost, path: "/v1/diff", body: text}, &differences)
}

// ask puts a question to the first server that answers it. A refusal that
// another server would repeat ends the search.
func (c *Client) ask(ctx context.Context, question call, into any) *message.Answer {
	var last *message.Answer
	for _, server := range c.servers {
		failed := c.do(ctx, server, question, into)
		if failed == nil {
			return nil
		}
		last = &failed.answer
		if !failed.transient() {
			return last
		}
	}
	return last
}

// call is one HTTP call.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

// do sends one call to one server and decodes a success into into.
func (c *Client) do(ctx context.Context, server string, call call, into any) *failure {
	address, err := url.JoinPath(server, call.path)
	if err != nil {
		return notSent(server, errors.Trace(err))
	}
	request, err := http.NewRequestWithContext(ctx, call.method, address+"?"+call.query.Encode(), bytes.NewReader(call.body))
	if err != nil {
		return notSent(server, errors.Trace(err))
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "text/yaml")
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	response, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return unanswered(server, connected, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return unanswered(server, true, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return refused(server, body)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return unanswered(server, true, err)
	}
	return nil
}
