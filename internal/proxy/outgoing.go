package proxy

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/springstack/springstack/internal/core/endpoint"
)

// newGateRequest returns the request to the gate of an endpoint. It drops springstack headers that
// the caller sent and the headers that apply only to the caller's connection.
func (c *callerCall) newGateRequest(chosen *endpoint.Endpoint, noRetry bool, timeLeft time.Duration) *http.Request {
	header := c.request.Header.Clone()
	stripHopByHop(header)
	stripOwn(header)
	if edge := c.proxy.config.Edge; edge != nil {
		header[edge.CallerService] = []string{edge.Service}
	}
	c.setTenant(header)
	header.Del("Expect") // this server has answered it
	if _, found := header["User-Agent"]; !found {
		header["User-Agent"] = []string{""} // else the library would add its own
	}
	if c.route.SecretHeader != "" {
		header[c.route.SecretHeader] = []string{c.route.SecretText.Reveal()}
	}
	c.setHopHeaders(header, chosen, noRetry, timeLeft)
	outgoing := &http.Request{
		Method: c.request.Method, Host: c.request.Host, Header: header,
		URL:   c.proxy.targetURL(chosen.Address, c.request, c.hostPath.path),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if c.body != nil {
		outgoing.Body = c.body.newReader()
		outgoing.ContentLength = c.request.ContentLength
		outgoing.Trailer = c.request.Trailer
		if c.body.isLarge() {
			// The body is sent once the gate accepts the call.
			header.Set("Expect", "100-continue")
		}
	}
	return outgoing
}

// setHopHeaders sets springstack's headers on a request to a gate.
func (c *callerCall) setHopHeaders(header http.Header, chosen *endpoint.Endpoint, noRetry bool, timeLeft time.Duration) {
	timeLeft -= min(timeLeft/hopMarginDivisor, maxHopMargin)
	// One array backs all the values, to save allocations.
	values := [...]string{
		hopGate,
		c.serviceName,
		chosen.Backend,
		c.proxy.nextRequestID(),
		strconv.FormatInt(timeLeft.Milliseconds(), 10),
		strconv.Itoa(int(c.priority())),
		string(c.route.Resource.Partner),
		strconv.Itoa(int(c.route.Class)),
	}
	for index, name := range hopHeaderNames {
		header[name] = values[index : index+1 : index+1]
	}
	if chosen.Incarnation != 0 && !c.proxy.config.Reported {
		header[headerIncarnation] = []string{strconv.FormatUint(uint64(chosen.Incarnation), 10)}
	}
	if c.requestKey != "" {
		header[headerRequestKey] = []string{c.requestKey}
	}
	if c.suspicion.instanceEnds > 0 {
		header[headerEnded] = []string{strconv.Itoa(c.suspicion.instanceEnds)}
	}
	if noRetry {
		header[headerNoRetry] = []string{"1"}
	}
	if c.route.Resource.Target > 0 {
		header[headerTarget] = []string{formatTarget(c.targetTime - c.proxy.config.Clock())}
	}
}

// hopHeaderNames are the headers that every request to a gate has, in the order of their values in
// setHopHeaders.
var hopHeaderNames = [...]string{
	headerHop, headerService, headerBackend, headerRequest, headerTimeout, headerPriority, headerPartner,
	headerClass,
}

// locate returns the host and path by which a call is matched to a route.
func (p *Proxy) locate(request *http.Request) (hostPath, Refusal, bool) {
	if p.config.Edge == nil {
		return canonicalHostPath(request)
	}
	path := verbatimPath(verbatimTarget(request))
	return hostPath{host: routingHost(request.Host), path: path}, Refusal{}, true
}

// requestedTimeout returns the time that the caller leaves for the call, if it states one.
func (p *Proxy) requestedTimeout(header http.Header) (time.Duration, bool) {
	if p.config.Edge != nil {
		return p.config.Edge.parseTimeLeft(header)
	}
	return parseTimeout(header)
}

// targetURL returns the URL of a call at an address: with an Edge in the caller's spelling, else in
// the canonical form that the route was matched by.
func (p *Proxy) targetURL(address string, request *http.Request, canonical string) *url.URL {
	if p.config.Edge == nil {
		return targetURL(address, canonical, request.URL.RawQuery)
	}
	verbatim := verbatimTarget(request)
	if strings.HasPrefix(verbatim, "//") {
		// The library would read the first segment as a host.
		return targetURL(address, verbatimPath(verbatim), request.URL.RawQuery)
	}
	return &url.URL{Scheme: "http", Host: address, Opaque: verbatim}
}

// targetURL returns the URL of a call at an address, with the path in the canonical form that the
// route was matched by.
func targetURL(address, canonical, query string) *url.URL {
	built := &url.URL{Scheme: "http", Host: address, Path: canonical, RawQuery: query}
	if plain, err := url.PathUnescape(canonical); err == nil {
		built.Path = plain
		built.RawPath = canonical
	}
	return built
}
