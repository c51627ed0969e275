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
// certificates name another node than the sender that the request names.
// Requests that name no sender need only a certificate.
func CheckRequest(certificates []*x509.Certificate, body any) *result.Error {
	id, known := PeerID(certificates)
	if !known {
		return result.New(result.Unauthenticated, "the peer shows no certificate that names its node")
	}
	claimed, claims := sender(body)
	if claims && claimed != id {
		return result.New(result.Forbidden, "the peer that calls itself %q has the certificate of %q", claimed, id)
	}
	return nil
}

// sender returns the node that a request says it comes from.
func sender(body any) (protocol.NodeID, bool) {
	switch request := body.(type) {
	case *protocol.FetchRequest:
		return request.Self.ID, true
	case *protocol.StoreRequest:
		return request.From, true
	case *protocol.FloorRequest:
		return request.From, true
	default:
		return "", false
	}
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
