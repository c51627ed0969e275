package proxy

import (
	"cmp"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/result"
)

// Refusal describes why a call gets no answer from a back end.
type Refusal struct {
	Code result.Code
	// Ran states whether the call ran; empty means the default of the code.
	Ran result.Execution
	// Detail is one sentence for people; it never contains a secret.
	Detail string
	// RetryAfter is how long to wait before sending again; 0 means the default of the code.
	RetryAfter time.Duration
	// Status is the HTTP status; 0 means the default of the code.
	Status int
	// Load is the value of headerLoad, on refusals of a gate.
	Load string
	// Ended is the value of headerEnded, on refusals of a gate.
	Ended string
	// Regions is the value of headerRegions, on refusals of a gate; nil for none.
	Regions []string
	// edge is set for callers of a foreign platform.
	edge *Edge
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Code   result.Code      `json:"code"`
	Name   string           `json:"name"`
	Ran    result.Execution `json:"ran"`
	Detail string           `json:"detail"`
}

// execution returns whether the refused call ran, as far as known.
func (r Refusal) execution() result.Execution {
	if r.Ran != "" {
		return r.Ran
	}
	entry, found := result.Lookup(r.Code)
	if !found {
		return result.RanUnknown
	}
	return entry.Ran
}

// write answers a call with the refusal.
func (r Refusal) write(writer http.ResponseWriter) {
	entry, _ := result.Lookup(r.Code)
	header := writer.Header()
	connectionHeader := header.Get("Connection")
	clear(header)
	if connectionHeader != "" {
		header.Set("Connection", connectionHeader)
	}
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set(headerCode, strconv.Itoa(int(r.Code)))
	header.Set(headerRan, string(r.execution()))
	if r.Load != "" {
		header.Set(headerLoad, r.Load)
	}
	if r.Ended != "" {
		header.Set(headerEnded, r.Ended)
	}
	if r.Regions != nil {
		header[headerRegions] = r.Regions
	}
	if wait := cmp.Or(r.RetryAfter, defaultRetryAfter(r.Code)); wait > 0 {
		header.Set("Retry-After", r.retryAfter(wait))
	}
	body := refusalBody{Code: r.Code, Name: entry.Name, Ran: r.execution(), Detail: r.Detail}
	if body.Detail == "" {
		body.Detail = entry.Meaning
	}
	text, err := json.Marshal(body)
	if err != nil {
		text = []byte("{}")
	}
	header.Set("Content-Length", strconv.Itoa(len(text)))
	status := cmp.Or(r.Status, entry.HTTPStatus)
	if r.edge != nil {
		status = r.edge.refusalStatus(r)
	}
	writer.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_, _ = writer.Write(text)
}

// defaultRetryAfter returns the wait that a temporary refusal states by default, and 0 for a
// permanent refusal.
func defaultRetryAfter(code result.Code) time.Duration {
	switch code {
	case result.NotServing, result.NoEndpoint, result.QueueFull, result.DeadlineBeforeStart,
		result.Draining, result.ConnectFailed, result.ShareExceeded, result.Shed,
		result.RetryBudgetSpent, result.Overloaded, result.WarmingUp, result.ZoneEvacuated, result.BackendLimited,
		result.RegionNotAllowed:
		return time.Second
	}
	return 0
}

// retryAfter returns the value of the Retry-After header. Callers of a foreign platform accept
// fractions of a second, rounded up to milliseconds.
func (r Refusal) retryAfter(wait time.Duration) string {
	if r.edge != nil {
		milliseconds := math.Ceil(float64(wait) / float64(time.Millisecond))
		return strconv.FormatFloat(milliseconds/1000, 'f', 3, 64)
	}
	return retryAfterSeconds(wait)
}

// retryAfterSeconds rounds up to whole seconds, as HTTP requires.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
