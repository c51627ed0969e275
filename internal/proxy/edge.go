package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/result"
)

// Edge names the headers and conventions by which callers and back ends of a
// foreign platform speak HTTP. With an Edge the proxy carries requests on byte
// for byte: method, path, query and body are those of the caller. All header
// names are in canonical form.
type Edge struct {
	// RequestID identifies one request of a caller. Back ends echo it, so an
	// answer that names another id belongs to another request.
	RequestID string
	// Deadline is what is left of a request's time, in whole milliseconds.
	Deadline string
	// Signature is on every genuine answer of success.
	Signature string
	// ExpectedInstance names the instance that alone may run the request.
	ExpectedInstance string
	// NotExecuted is on an answer by which a back end says that it did not run
	// the request.
	NotExecuted string
	// Load is on answers of back ends that tell what they hold: the calls that run, those that
	// wait, and the slots, separated by commas.
	Load string
	// CallerService is the header for Service.
	CallerService string
	// Service is the name of the service on this machine. It is put on every
	// request that starts here, whatever its sender wrote.
	Service string
}

// Reasons for which an answer of a back end is not taken.
const (
	errAnswerIDMismatch = errors.ConstError("the answer names another request")
	errUnsignedAnswer   = errors.ConstError("the answer of success is not signed")
)

// statedDeadline reads what a caller says is left of its time.
func (e *Edge) parseTimeLeft(header http.Header) (time.Duration, bool) {
	milliseconds, err := strconv.ParseInt(header.Get(e.Deadline), 10, 32)
	if err != nil || milliseconds < 0 {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}

// checkAnswer refuses an answer that can't be that of the request.
func (e *Edge) checkAnswer(sent http.Header, answer *http.Response) error {
	wanted := sent.Get(e.RequestID)
	echoed := answer.Header.Get(e.RequestID)
	switch {
	case e.isNotExecuted(answer):
		if echoed != "" && echoed != wanted {
			return errAnswerIDMismatch
		}
		return nil
	case wanted != "" && echoed != wanted:
		return errAnswerIDMismatch
	case isSuccess(answer.StatusCode) && answer.Header.Get(e.Signature) == "":
		return errUnsignedAnswer
	}
	return nil
}

// notExecuted tells whether an answer is the back end's word that it did not
// run the request.
func (e *Edge) isNotExecuted(answer *http.Response) bool {
	return answer.Header.Get(e.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// HeldCalls reads how many calls a back end says to hold, of the header Load; false when it
// does not tell.
func ParseHeldCalls(text string) (int, bool) {
	const fields = 3
	parts := strings.Split(text, ",")
	if len(parts) != fields {
		return 0, false
	}
	held := 0
	for _, part := range parts[:fields-1] {
		count, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || count < 0 {
			return 0, false
		}
		held += count
	}
	return held, true
}

// status is the HTTP status of a refusal towards callers of the platform, to
// whom 503 promises that the request has not run and never will.
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

// verbatimPath is the path of a request target, as it was sent.
func verbatimPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// verbatimHost is the host that routes are matched by: in lower case and
// without a port.
func routingHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
