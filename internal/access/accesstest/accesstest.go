// Package accesstest makes certificates for tests.
package accesstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/settings"
)

// Authority issues test certificates.
type Authority struct {
	// Certificate is the authority's own.
	Certificate *x509.Certificate

	t   *testing.T
	key *ecdsa.PrivateKey
}

// NewAuthority makes a new certificate authority.
func NewAuthority(t *testing.T) Authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return Authority{t: t, Certificate: sign(t, template, template, key, key), key: key}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.New(t).NoErr(err)
	return key
}

func sign(t *testing.T, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	is := is.New(t)
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	is.NoErr(err)
	certificate, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return certificate
}

// Issue writes the files of a node into dir. The certificate serves and calls at
// 127.0.0.1; uris are added to its names.
func (a Authority) Issue(dir, commonName string, uris ...string) settings.TLS {
	a.t.Helper()
	is := is.New(a.t)
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	for _, text := range uris {
		uri, err := url.Parse(text)
		is.NoErr(err)
		template.URIs = append(template.URIs, uri)
	}
	certificate := sign(a.t, template, a.Certificate, key, a.key)
	encodedKey, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	files := settings.TLS{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	writePEM(a.t, files.Certificate, "CERTIFICATE", certificate.Raw)
	writePEM(a.t, files.Key, "EC PRIVATE KEY", encodedKey)
	writePEM(a.t, files.Authority, "CERTIFICATE", a.Certificate.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	is.New(t).NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}
