package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// The headers between daemons, in canonical form; docs/DESIGN.md describes their meanings.
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
	// headerEnded carries, on an attempt, the number of instances that ended under earlier attempts
	// of its call and, on a gate's refusal, the instance that ended under the refused
	// attempt.
	headerEnded = "Springstack-Ended"
	// headerRegions lists, on a gate's refusal, the regions that the gate's configuration version
	// allows.
	headerRegions = "Springstack-Regions"
	// headerMayHedge marks an attempt whose sender may make another attempt in parallel;
	// headerHangs marks the gate's interim answer that the back end seems never to answer that
	// attempt.
	headerMayHedge = "Springstack-May-Hedge"
	headerHangs    = "Springstack-Hangs"
)

// hopGate is the value of headerHop on calls between daemons.
const hopGate = "gate"

// hopByHop lists the headers that apply to one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHopByHop removes the headers that apply to this connection only, including those that the
// Connection header lists.
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

// stripOwn removes every header of springstack, in any spelling.
func stripOwn(header http.Header) {
	for name := range header {
		if len(name) >= len(headerPrefix) && strings.EqualFold(name[:len(headerPrefix)], headerPrefix) {
			delete(header, name)
		}
	}
}
