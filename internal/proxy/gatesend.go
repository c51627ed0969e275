package proxy

import (
	"net/http"
	"strconv"
)

// gateTries is how often the gate sends a call on while it is certain that
// not a byte of it was written.
const maxGateSends = 2

// headerBackendDraining and headerBackendRan are a back end's own signals: the
// first on its health answers, the second, with the value no, on a 503 by
// which it sheds a call that it has not begun.
const (
	headerBackendDraining = "Springstack-Draining"
	headerBackendRan      = headerRan
)

// send sends the call to the back end. It is sent again only while it is
// certain that nothing was written.
func (c *gateCall) send() *exchange {
	c.relay = &interimRelay{writer: c.writer}
	for try := 1; ; try++ {
		c.start = c.proxy.backendStart()
		sent := c.exchange()
		again := sent.err != nil && sent.unsent && c.body.isReplayable() && c.context.Err() == nil
		if !again || try == maxGateSends || !c.proxy.gate.TryResend(c.proxy.config.Clock(), c.ticket) {
			return sent
		}
		sent.close()
	}
}

// exchange sends the call to the back end once. While it is under way it may be found to hang.
func (c *gateCall) exchange() *exchange {
	made := &c.dispatches[c.dispatchCount]
	c.dispatchCount++
	*made = dispatch{call: c, start: c.start, sentAt: c.proxy.config.Clock()}
	watched := &c.proxy.hangDetector
	cell := watched.watch(made)
	defer watched.unwatch(cell)
	return c.proxy.backend.send(c.context, c.newBackendRequest(), c.relay, c.proxy.config.Edge)
}

// outgoing makes the request to the back end. Of springstack's headers it gets
// those that an application may copy onto the calls it makes itself.
func (c *gateCall) newBackendRequest() *http.Request {
	header := c.request.Header.Clone()
	noRetry := header.Get(headerNoRetry)
	request := header.Get(headerRequest)
	stripHopByHop(header)
	stripOwn(header)
	header.Del("Expect")
	if _, found := header["User-Agent"]; !found {
		header["User-Agent"] = []string{""}
	}
	left := max(c.deadline-c.proxy.config.Clock(), 0)
	milliseconds := []string{strconv.FormatInt(left.Milliseconds(), 10)}
	if edge := c.proxy.config.Edge; edge != nil {
		header[edge.Deadline] = milliseconds
		header[edge.ExpectedInstance] = []string{c.backend}
	} else {
		header[headerTimeout] = milliseconds
		header[headerRequest] = []string{request}
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
