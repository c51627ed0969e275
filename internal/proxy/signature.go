package proxy

import (
	"net/http"

	"github.com/springstack/springstack/internal/core/quarantine"
)

// headOf is what a request asks in the name of a caller, as both sides see it: the target
// is the one that is sent on.
func hashRequestHead(request *http.Request, target, caller string) quarantine.Hash {
	head := quarantine.Head{
		Method: request.Method, Host: routingHost(request.Host), Target: target, Caller: caller,
	}
	return head.Sum()
}

// signature is that of a call at the gate whose body has come; false when it has not.
func (c *gateCall) signature() (quarantine.Signature, bool) {
	body, came := c.body.signatureHash()
	return quarantine.Signature{Head: c.headHash(), Body: body}, came
}

func (c *gateCall) headHash() quarantine.Hash {
	return hashRequestHead(c.request, verbatimTarget(c.request), c.callerService())
}

// caller is the service that made the call, where that is known.
func (c *gateCall) callerService() string {
	if edge := c.proxy.config.Edge; edge != nil {
		return c.request.Header.Get(edge.CallerService)
	}
	return ""
}
