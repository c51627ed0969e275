package demo

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/result"
)

// callTimeout bounds one call.
const callTimeout = 5 * time.Second

// caller makes HTTP calls through daemons.
type caller struct {
	client *http.Client
}

func newCaller() *caller {
	return &caller{client: &http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 16},
	}}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// outcome is the answer to one call.
type outcome struct {
	status int
	// backend names the back end that answered; empty for a refusal.
	backend string
	code    result.Code
	ran     string
}

// do makes one call through a daemon and reads the whole answer.
func (c *caller) do(ctx context.Context, method, address, path string) (outcome, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return outcome{}, errors.Trace(err)
	}
	answer, err := c.client.Do(request)
	if err != nil {
		return outcome{}, errors.Trace(err)
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return outcome{}, errors.Annotate(err, "answer cut short")
	}
	code, _ := strconv.Atoi(answer.Header.Get("Springstack-Code")) // 0 when it is no refusal
	return outcome{
		status:  answer.StatusCode,
		backend: answer.Header.Get(backend.HeaderBackend),
		code:    result.Code(code),
		ran:     answer.Header.Get("Springstack-Ran"),
	}, nil
}
