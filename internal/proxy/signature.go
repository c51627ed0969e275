package proxy

import (
	"net/http"

	"github.com/springstack/springstack/internal/core/quarantine"
)

// hashRequestHead returns the hash of a request's head, which is equal on the callers' side
// and at the gate. The target is the path and query as they are sent to the back end; caller
// is the service that made the call.
func hashRequestHead(request *http.Request, target, caller string) quarantine.Hash {
	head := quarantine.Head{
		Method: request.Method, Host: routingHost(request.Host), Target: target, Caller: caller,
	}
	return head.Sum()
}

// signature returns the signature of the call, or false if the bytes of the body that the
// signature depends on have not been received.
func (c *gateCall) signature() (quarantine.Signature, bool) {
	body, received := c.body.signatureHash()
	return quarantine.Signature{Head: c.headHash(), Body: body}, received
}

func (c *gateCall) headHash() quarantine.Hash {
	return hashRequestHead(c.request, verbatimTarget(c.request), c.callerService())
}

// callerService returns the service that made the call; empty if unknown.
func (c *gateCall) callerService() string {
	if edge := c.proxy.config.Edge; edge != nil {
		return c.request.Header.Get(edge.CallerService)
	}
	return ""
}
