package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// The headers between daemons, in canonical form; docs/DESIGN.md has their
// meanings.
const (
	headerPrefix      = "Springstack-"
	headerHop         = "Springstack-Hop"
	headerService     = "Springstack-Service"
	headerBackend     = "Springstack-Backend"
	headerIncarnation = "Springstack-Incarnation"
	headerRequest     = "Springstack-Request"
	headerTimeout     = "Springstack-Timeout-Ms"
	headerTarget      = "Springstack-Target-Ms"
	headerClass       = "Springstack-Class"
	headerPriority    = "Springstack-Priority"
	headerPartner     = "Springstack-Partner"
	headerRequestKey  = "Springstack-Request-Key"
	headerNoRetry     = "Springstack-No-Retry"
	headerCode        = "Springstack-Code"
	headerRan         = "Springstack-Ran"
	headerLoad        = "Springstack-Load"
	// headerEnded is on an attempt how many instances have ended under earlier ones of its
	// call, and on a gate's refusal the instance that has ended under it.
	headerEnded = "Springstack-Ended"
	// headerRegions is on a gate's refusal the regions that its version allows for the call.
	headerRegions = "Springstack-Regions"
	// headerMayHedge is on an attempt whose sender may make another one beside it, and
	// headerHangs on the gate's interim answer that the back end seems never to answer it.
	headerMayHedge = "Springstack-May-Hedge"
	headerHangs    = "Springstack-Hangs"
)

// hopGate is the value of headerHop on calls between daemons.
const hopGate = "gate"

// hopByHop are the headers that end at each connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHopByHop removes the headers that end at this connection, with those
// that the Connection header lists.
func stripHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(header, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// stripOwn removes every header of springstack, however it is spelt.
func stripOwn(header http.Header) {
	for name := range header {
		if len(name) >= len(headerPrefix) && strings.EqualFold(name[:len(headerPrefix)], headerPrefix) {
			delete(header, name)
		}
	}
}
