package proxy

import (
	"cmp"
	"net/http"
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// checkRequest refuses requests that this proxy can't forward completely and unchanged.
// Ambiguous framing is never forwarded: net/http refuses what it can't parse, and the request to
// the next hop gets a framing of its own.
func (p *Proxy) checkRequest(request *http.Request) (Refusal, bool) {
	limits := p.RequestLimits()
	switch {
	case request.Method == http.MethodConnect, request.Header.Get("Upgrade") != "":
		return Refusal{Code: result.UpgradeRefused}, false
	case !request.ProtoAtLeast(1, 1):
		detail := "HTTP/1.0 can't tell an answer that was cut short; use HTTP/1.1."
		return Refusal{Code: result.RequestMalformed, Detail: detail}, false
	case request.ContentLength > limits.BodyBytes:
		detail := "The body is larger than " + strconv.FormatInt(limits.BodyBytes, 10) + " bytes."
		return Refusal{Code: result.RequestTooLarge, Detail: detail}, false
	}
	return Refusal{}, true
}

// RequestLimits limits the requests of callers. A new configuration may change the limits.
type RequestLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout limits the time from the first byte of a request's headers to their end,
	// IdleTimeout the time that a connection is idle. With 0 the server's own limits apply.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// SetRequestLimits sets the limits of callers' requests. A zero HeaderBytes or BodyBytes means the
// limit that the proxy was created with.
func (p *Proxy) SetRequestLimits(limits RequestLimits) { p.requestLimits.Store(&limits) }

// RequestLimits returns the limits in force.
func (p *Proxy) RequestLimits() RequestLimits {
	limits := RequestLimits{HeaderBytes: p.limits.HeaderBytes, BodyBytes: p.limits.BodyBytes}
	if configured := p.requestLimits.Load(); configured != nil {
		limits.HeaderBytes = cmp.Or(configured.HeaderBytes, limits.HeaderBytes)
		limits.BodyBytes = cmp.Or(configured.BodyBytes, limits.BodyBytes)
		limits.HeaderTimeout = configured.HeaderTimeout
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

// hostPath is the host and path by which a request's route is found.
type hostPath struct {
	host string
	path string
}

// canonicalHostPath returns the canonical host and path of a request. If it returns false, the
// request is refused.
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

// parseTimeout parses headerTimeout; false means that it is missing or invalid.
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
