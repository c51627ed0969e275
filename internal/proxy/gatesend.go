package proxy

import (
	"net/http"
	"strconv"
)

// maxGateSends is the maximum number of times that the gate sends a call. It resends a call only if
// no byte of it was written.
const maxGateSends = 2

// headerBackendDraining and headerBackendRan are set by a back end: the first on health answers
// while it drains, the second, with the value no, on a 503 by which it sheds a call that it has not
// begun.
const (
	headerBackendDraining = "Springstack-Draining"
	headerBackendRan      = headerRan
)

// send sends the call to the back end. It resends the call only if it is certain that nothing of it
// was written.
func (c *gateCall) send() *exchange {
	c.relay = &interimRelay{writer: c.writer}
	for try := 1; ; try++ {
		c.start = c.proxy.backendStart()
		sentExchange := c.sendOnce()
		mayResend := sentExchange.err != nil && sentExchange.unsent && c.body.isReplayable() && c.context.Err() == nil
		if !mayResend || try == maxGateSends || !c.proxy.gate.TryResend(c.proxy.config.Clock(), c.ticket) {
			return sentExchange
		}
		sentExchange.close()
	}
}

// sendOnce sends the call to the back end once. While the exchange runs, findHung may mark it as
// hung.
func (c *gateCall) sendOnce() *exchange {
	current := &c.dispatches[c.dispatchCount]
	c.dispatchCount++
	*current = dispatch{call: c, start: c.start, sentAt: c.proxy.config.Clock()}
	detector := &c.proxy.hangDetector
	cell := detector.watch(current)
	defer detector.unwatch(cell)
	sentExchange := c.proxy.backend.send(c.context, c.newBackendRequest(), c.relay, c.proxy.config.Edge)
	if sentExchange.answer != nil {
		c.proxy.observeNotices(c.start, current.sentAt, sentExchange.answer.Header)
	}
	return sentExchange
}

// newBackendRequest returns the request to the back end. Of springstack's headers it carries only
// those that an application may copy onto the calls that it makes itself.
func (c *gateCall) newBackendRequest() *http.Request {
	header := c.request.Header.Clone()
	noRetry := header.Get(headerNoRetry)
	requestID := header.Get(headerRequest)
	stripHopByHop(header)
	stripOwn(header)
	header.Del("Expect")
	if _, found := header["User-Agent"]; !found {
		header["User-Agent"] = []string{""}
	}
	timeLeft := max(c.deadline-c.proxy.config.Clock(), 0)
	milliseconds := []string{strconv.FormatInt(timeLeft.Milliseconds(), 10)}
	if edge := c.proxy.config.Edge; edge != nil {
		header[edge.Deadline] = milliseconds
		header[edge.ExpectedInstance] = []string{c.backend}
	} else {
		header[headerTimeout] = milliseconds
		header[headerRequest] = []string{requestID}
		if noRetry != "" {
			header[headerNoRetry] = []string{noRetry}
		}
	}
	outgoing := &http.Request{
		Method: c.request.Method, Host: c.request.Host, Header: header,
		URL:   c.proxy.targetURL(c.proxy.config.BackendAddress, c.request, c.request.URL.EscapedPath()),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if c.body != nil {
		outgoing.Body = c.body.newReader()
		outgoing.ContentLength = c.request.ContentLength
		outgoing.Trailer = c.request.Trailer
	}
	return outgoing
}
