package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/result"
)

// Edge describes the HTTP headers and conventions of the callers and back ends of a foreign
// platform. With an Edge the proxy forwards method, path, query and body of a request unchanged.
// Each field except KeyScheme and Service is the name of a header, in canonical form.
type Edge struct {
	// RequestID is the header that identifies one request of a caller. Back ends echo it, so an
	// answer with another id belongs to another request.
	RequestID string
	// Deadline is the header for the time left for a request, in whole milliseconds.
	Deadline string
	// Signature is the header that is present on every genuine answer with a success status.
	Signature string
	// ExpectedInstance is the header that names the only instance that may run the request.
	ExpectedInstance string
	// NotExecuted is the header of an answer by which a back end states that it did not run the
	// request.
	NotExecuted string
	// Load is the header in which back ends report their load with an answer: the numbers of
	// running calls, of queued calls and of slots, separated by commas. A fourth field, which states how
	// long work takes at the moment, is not used.
	Load string
	// CallRate is the header of answers in which a back end states how many calls per second it accepts
	// from all daemons together, for as long as its answers state it. Leaving is the header, with the
	// value 1, of all answers of a back end that accepts no more calls.
	CallRate string
	Leaving  string
	// CallerService is the header whose value is Service.
	CallerService string
	// Key is the header that carries a caller's API key, after KeyScheme and a space. It is not
	// forwarded.
	Key       string
	KeyScheme string
	// Tenant is the header that names the tenant of a forwarded request. The value that a caller
	// sends is replaced.
	Tenant string
	// Service is the name of the service on this machine. It replaces the value on every request
	// that a caller sends to this daemon.
	Service string
}

// Reasons for rejecting an answer of a back end.
const (
	errAnswerIDMismatch = errors.ConstError("the answer names another request")
	errUnsignedAnswer   = errors.ConstError("the answer of success is not signed")
)

// parseTimeLeft parses the Deadline header; false means that it is missing or invalid.
func (e *Edge) parseTimeLeft(header http.Header) (time.Duration, bool) {
	milliseconds, err := strconv.ParseInt(header.Get(e.Deadline), 10, 32)
	if err != nil || milliseconds < 0 {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}

// checkAnswer returns an error if the answer can't belong to the sent request.
func (e *Edge) checkAnswer(sent http.Header, answer *http.Response) error {
	sentID := sent.Get(e.RequestID)
	echoedID := answer.Header.Get(e.RequestID)
	switch {
	case e.isNotExecuted(answer):
		if echoedID != "" && echoedID != sentID {
			return errAnswerIDMismatch
		}
		return nil
	case sentID != "" && echoedID != sentID:
		return errAnswerIDMismatch
	case isSuccess(answer.StatusCode) && answer.Header.Get(e.Signature) == "":
		return errUnsignedAnswer
	}
	return nil
}

// isNotExecuted reports whether an answer states that the back end did not run the request.
func (e *Edge) isNotExecuted(answer *http.Response) bool {
	return answer.Header.Get(e.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// The numbers of fields that a value of the Load header may have.
const (
	minLoadFields = 3
	maxLoadFields = 4
)

// ParseHeldCalls parses the value of the Load header and returns the number of running and queued
// calls; false means that the value is missing or invalid.
func ParseHeldCalls(text string) (int, bool) {
	parts := strings.Split(text, ",")
	if len(parts) < minLoadFields || len(parts) > maxLoadFields {
		return 0, false
	}
	heldCalls := 0
	for _, part := range parts[:minLoadFields-1] {
		count, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || count < 0 {
			return 0, false
		}
		heldCalls += count
	}
	return heldCalls, true
}

// refusalStatus returns the HTTP status of a refusal to callers of the platform, for whom 503
// guarantees that the request has not run and never will.
func (e *Edge) refusalStatus(refusal Refusal) int {
	if refusal.Status != 0 {
		return refusal.Status
	}
	if refusal.execution() != result.RanNo {
		if refusal.Code == result.DeadlineInFlight {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch refusal.Code {
	case result.NoRoute:
		return http.StatusNotFound
	case result.UnknownKey:
		return http.StatusUnauthorized
	case result.QuotaExceeded:
		return http.StatusTooManyRequests
	case result.RequestTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.RequestMalformed, result.UpgradeRefused:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// verbatimTarget returns the request target as the caller sent it, without
// scheme and host.
func verbatimTarget(request *http.Request) string {
	if strings.HasPrefix(request.RequestURI, "/") {
		return request.RequestURI
	}
	return request.URL.RequestURI()
}

// verbatimPath returns the path of a request target as it was sent.
func verbatimPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// routingHost returns the host that routes are matched by: in lower case and without port.
func routingHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
