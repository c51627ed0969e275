package access

import (
	"crypto/x509"
	"strings"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// A certificate names its node by a URI such as springstack://node/klein-1, or
// by its common name when it has no such URI.
const (
	uriScheme = "springstack"
	uriHost   = "node"
)

// PeerID returns the node id in the verified certificates of a peer; false when
// there is none.
func PeerID(certificates []*x509.Certificate) (protocol.NodeID, bool) {
	if len(certificates) == 0 {
		return "", false
	}
	id := nodeOf(certificates[0])
	return id, id != ""
}

// CheckRequest refuses a control request from a peer whose verified
// certificates name another node than the request does. A request that names no
// node, such as a submission, needs only a certificate.
func CheckRequest(certificates []*x509.Certificate, body any) *result.Error {
	id, known := PeerID(certificates)
	if !known {
		return result.New(result.Unauthenticated, "the peer shows no certificate that names its node")
	}
	for _, claimed := range senders(body) {
		if claimed != id {
			return result.New(result.Forbidden, "the peer that calls itself %q has the certificate of %q", claimed, id)
		}
	}
	return nil
}

// senders returns the nodes that a request says it comes from. Records of the
// sender that are left out name nobody.
func senders(body any) []protocol.NodeID {
	switch request := body.(type) {
	case *protocol.FetchRequest:
		return append(optional(request.Self.ID), request.From)
	case *protocol.StoreRequest:
		return []protocol.NodeID{request.From}
	case *protocol.FloorRequest:
		return append(optional(request.Self.ID), request.From)
	case *protocol.StatusRequest:
		return append(optional(request.Self.ID), optional(request.From)...)
	default:
		return nil
	}
}

// optional leaves out an id that is not set.
func optional(id protocol.NodeID) []protocol.NodeID {
	if id == "" {
		return nil
	}
	return []protocol.NodeID{id}
}

// nodeOf returns the node id in a certificate.
func nodeOf(certificate *x509.Certificate) protocol.NodeID {
	for _, uri := range certificate.URIs {
		if uri.Scheme == uriScheme && uri.Host == uriHost {
			return protocol.NodeID(strings.TrimPrefix(uri.Path, "/"))
		}
	}
	return protocol.NodeID(certificate.Subject.CommonName)
}

// names tells whether a certificate is the node's.
func names(certificate *x509.Certificate, nodeID protocol.NodeID) bool {
	return certificate != nil && nodeID != "" && nodeOf(certificate) == nodeID
}
