package proxy

import (
	"cmp"
	"net/http"
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// checkForm refuses requests that this proxy can't carry whole and unchanged.
// Ambiguous framing can't come through: the library has parsed the one form,
// and a new one is written for the next hop. What it can't parse it refuses.
func (p *Proxy) checkRequest(request *http.Request) (Refusal, bool) {
	limits := p.RequestLimits()
	switch {
	case request.Method == http.MethodConnect, request.Header.Get("Upgrade") != "":
		return Refusal{Code: result.UpgradeRefused}, false
	case !request.ProtoAtLeast(1, 1):
		detail := "HTTP/1.0 can't tell an answer that was cut short; use HTTP/1.1."
		return Refusal{Code: result.RequestMalformed, Detail: detail}, false
	case headerBytes(request) > limits.HeaderBytes:
		detail := "The headers are larger than " + strconv.Itoa(limits.HeaderBytes) + " bytes."
		return Refusal{Code: result.RequestTooLarge, Status: http.StatusRequestHeaderFieldsTooLarge, Detail: detail}, false
	case request.ContentLength > limits.BodyBytes:
		detail := "The body is larger than " + strconv.FormatInt(limits.BodyBytes, 10) + " bytes."
		return Refusal{Code: result.RequestTooLarge, Detail: detail}, false
	}
	return Refusal{}, true
}

// RequestLimits bound the requests of callers; a configuration may change them.
type RequestLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the arrival of a request's headers after their first
	// byte, IdleTimeout the time that a connection rests. 0 leaves the server's
	// own.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// SetRequestLimits changes what callers may send; a zero field leaves what the
// proxy was started with.
func (p *Proxy) SetRequestLimits(limits RequestLimits) { p.requestLimits.Store(&limits) }

// RequestLimits are the limits in force.
func (p *Proxy) RequestLimits() RequestLimits {
	limits := RequestLimits{HeaderBytes: p.limits.HeaderBytes, BodyBytes: p.limits.BodyBytes}
	if given := p.requestLimits.Load(); given != nil {
		limits.HeaderBytes = cmp.Or(given.HeaderBytes, limits.HeaderBytes)
		limits.BodyBytes = cmp.Or(given.BodyBytes, limits.BodyBytes)
		limits.HeaderTimeout = given.HeaderTimeout
		limits.IdleTimeout = given.IdleTimeout
	}
	return limits
}

// headerOverhead is what a header line has besides its name and value.
const headerLineOverhead = len(": \r\n")

// headerBytes is about how many bytes the request line and headers had.
func headerBytes(request *http.Request) int {
	total := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			total += len(name) + len(value) + headerLineOverhead
		}
	}
	return total
}

// place is the canonical host and path of a request.
type hostPath struct {
	host string
	path string
}

// locate finds the canonical host and path, or refuses the request.
func canonicalHostPath(request *http.Request) (hostPath, Refusal, bool) {
	host, err := resource.CanonicalHost(request.Host)
	if err != nil {
		return hostPath{}, Refusal{Code: result.RequestMalformed, Detail: "host: " + err.Error()}, false
	}
	path, err := resource.CanonicalPath(request.URL.EscapedPath())
	if err != nil {
		return hostPath{}, Refusal{Code: result.RequestMalformed, Detail: "path: " + err.Error()}, false
	}
	return hostPath{host: host, path: path}, Refusal{}, true
}

// statedTimeout reads headerTimeout; false means that none is stated.
func parseTimeout(header http.Header) (time.Duration, bool) {
	text := header.Get(headerTimeout)
	if text == "" {
		return 0, false
	}
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil || milliseconds < 0 {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}
