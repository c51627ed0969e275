package control

import (
	"strings"

	"github.com/springstack/springstack/internal/core/protocol"
)

// Kind names the calls between daemons.
type Kind string

// The kinds of calls. KindUnknown counts frames whose kind was not readable.
const (
	KindFetch  Kind = "fetch"
	KindStore  Kind = "store"
	KindFloor  Kind = "floor"
	KindSubmit Kind = "submit"
	KindStatus Kind = "status"
	// KindExchange and KindDocument are between daemons that follow an external
	// configuration authority.
	KindExchange Kind = "exchange"
	KindDocument Kind = "document"
	KindEvidence Kind = "evidence"
	KindQuota    Kind = "quota"
	KindUnknown  Kind = "unknown"
)

// serviceName is the net/rpc service under which the methods are registered.
const serviceName = "Mesh"

// The net/rpc methods, one a kind.
const (
	methodFetch    = serviceName + ".Fetch"
	methodStore    = serviceName + ".Store"
	methodFloor    = serviceName + ".Floor"
	methodSubmit   = serviceName + ".Submit"
	methodStatus   = serviceName + ".Status"
	methodExchange = serviceName + ".Exchange"
	methodDocument = serviceName + ".Document"
	methodEvidence = serviceName + ".Evidence"
	methodQuota    = serviceName + ".Quota"
)

// kindOf returns the kind of a net/rpc method.
func kindOf(method string) Kind {
	switch method {
	case methodFetch, methodStore, methodFloor, methodSubmit, methodStatus, methodExchange, methodDocument, methodEvidence, methodQuota:
		return Kind(strings.ToLower(strings.TrimPrefix(method, serviceName+".")))
	}
	return KindUnknown
}

// methodFor returns the net/rpc method for a request and a new reply for it.
// Method is empty when body is not a request.
func methodFor(body any) (method string, reply any) {
	switch body.(type) {
	case *protocol.FetchRequest:
		return methodFetch, new(protocol.FetchReply)
	case *protocol.StoreRequest:
		return methodStore, new(protocol.StoreReply)
	case *protocol.FloorRequest:
		return methodFloor, new(protocol.FloorReply)
	case *protocol.SubmitRequest:
		return methodSubmit, new(protocol.SubmitReply)
	case *protocol.StatusRequest:
		return methodStatus, new(protocol.StatusReply)
	case *protocol.ExchangeRequest:
		return methodExchange, new(protocol.ExchangeReply)
	case *protocol.DocumentRequest:
		return methodDocument, new(protocol.DocumentReply)
	case *protocol.EvidenceRequest:
		return methodEvidence, new(protocol.EvidenceReply)
	case *protocol.QuotaRequest:
		return methodQuota, new(protocol.QuotaReply)
	}
	return "", nil
}
