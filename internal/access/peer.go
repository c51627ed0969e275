package access

import (
	"crypto/tls"
	"crypto/x509"
	"strings"

	"github.com/springstack/springstack/internal/result"
)

// A certificate names its node by a URI such as springstack://node/klein-1, or
// by its common name when it has no such URI.
const (
	uriScheme = "springstack"
	uriHost   = "node"
)

// PeerID returns the node id in the certificate of the other side of a
// connection whose handshake has checked it; false when it has none.
func PeerID(state tls.ConnectionState) (string, bool) {
	if len(state.PeerCertificates) == 0 {
		return "", false
	}
	id := nodeOf(state.PeerCertificates[0])
	return id, id != ""
}

// CheckPeer refuses a peer that claims a node id other than the one in its
// certificate.
func CheckPeer(state tls.ConnectionState, claimed string) *result.Error {
	id, known := PeerID(state)
	switch {
	case !known:
		return result.New(result.Unauthenticated, "the peer that calls itself %q shows no certificate", claimed)
	case id != claimed:
		return result.New(result.Forbidden, "the peer that calls itself %q has the certificate of %q", claimed, id)
	default:
		return nil
	}
}

// nodeOf returns the node id in a certificate.
func nodeOf(certificate *x509.Certificate) string {
	for _, uri := range certificate.URIs {
		if uri.Scheme == uriScheme && uri.Host == uriHost {
			return strings.TrimPrefix(uri.Path, "/")
		}
	}
	return certificate.Subject.CommonName
}

// names tells whether a certificate is the node's.
func names(certificate *x509.Certificate, nodeID string) bool {
	return certificate != nil && nodeID != "" && nodeOf(certificate) == nodeID
}
