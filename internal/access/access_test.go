package access

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
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

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/settings"
)

// authority issues test certificates.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
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
	return authority{t: t, certificate: sign(t, template, template, key, key), key: key}
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

// issue writes the files of a node into dir.
func (a authority) issue(dir, commonName string, uris ...string) settings.TLS {
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
	certificate := sign(a.t, template, a.certificate, key, a.key)
	encodedKey, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	files := settings.TLS{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	writePEM(a.t, files.Certificate, "CERTIFICATE", certificate.Raw)
	writePEM(a.t, files.Key, "EC PRIVATE KEY", encodedKey)
	writePEM(a.t, files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	is.New(t).NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func newIdentity(t *testing.T, files settings.TLS, id string) *Identity {
	t.Helper()
	identity, err := NewIdentity(files, id)
	is.New(t).NoErr(err)
	return identity
}

// handshake connects a client with a server, and returns what each saw.
func handshake(t *testing.T, server, client *tls.Config) (atServer, atClient tls.ConnectionState, serverErr, clientErr error) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	served := make(chan struct{})
	go func() {
		defer close(served)
		connection, err := listener.Accept()
		if err != nil {
			serverErr = err
			return
		}
		defer connection.Close()
		accepted := tls.Server(connection, server)
		serverErr = accepted.Handshake()
		atServer = accepted.ConnectionState()
		accepted.Write([]byte{1})
	}()
	connection, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer connection.Close()
	dialed := tls.Client(connection, client)
	clientErr = dialed.Handshake()
	atClient = dialed.ConnectionState()
	if clientErr == nil {
		// TLS 1.3 tells of a refused client certificate at the first read.
		_, clientErr = dialed.Read(make([]byte, 1))
	}
	connection.Close()
	<-served
	return atServer, atClient, serverErr, clientErr
}

func TestControlIsMutual(t *testing.T) {
	is := is.New(t)
	common, other := newAuthority(t), newAuthority(t)
	a := newIdentity(t, common.issue(t.TempDir(), "node-a"), "node-a")
	b := newIdentity(t, common.issue(t.TempDir(), "ignored", "springstack://node/node-b"), "node-b")
	stranger := newIdentity(t, other.issue(t.TempDir(), "node-a"), "node-a")

	atServer, atClient, serverErr, clientErr := handshake(t, a.ControlServer(), b.ControlClient())
	is.NoErr(serverErr)
	is.NoErr(clientErr)
	id, known := PeerID(atServer.PeerCertificates)
	is.True(known)
	is.Equal(id, protocol.NodeID("node-b"))
	id, known = PeerID(atClient.PeerCertificates)
	is.True(known)
	is.Equal(id, protocol.NodeID("node-a"))

	_, _, serverErr, _ = handshake(t, a.ControlServer(), stranger.ControlClient())
	is.True(serverErr != nil) // the client refuses the server
	_, _, serverErr, clientErr = handshake(t, a.ControlServer(), &tls.Config{InsecureSkipVerify: true})
	is.True(serverErr != nil) // no client certificate
	is.True(clientErr != nil)
	_, _, _, clientErr = handshake(t, stranger.ControlServer(), b.ControlClient())
	is.True(clientErr != nil)
	trusting := stranger.ControlClient()
	trusting.VerifyConnection = nil
	_, _, serverErr, _ = handshake(t, a.ControlServer(), trusting)
	is.True(serverErr != nil) // the server refuses the client
}

func TestRequestsComeFromWhomTheyName(t *testing.T) {
	is := is.New(t)
	files := newAuthority(t).issue(t.TempDir(), "node-a")
	leaf := newIdentity(t, files, "node-a").current().certificate.Leaf
	certificates := []*x509.Certificate{leaf}
	tests := []struct {
		body any
		code result.Code
	}{
		{&protocol.FetchRequest{From: "node-a"}, result.OK},
		{&protocol.FetchRequest{From: "node-a", Self: protocol.Member{ID: "node-b"}}, result.Forbidden},
		{&protocol.FetchRequest{From: "node-b", Self: protocol.Member{ID: "node-a"}}, result.Forbidden},
		{&protocol.StoreRequest{From: "node-a"}, result.OK},
		{&protocol.StoreRequest{From: "node-b"}, result.Forbidden},
		{&protocol.FloorRequest{From: "node-a"}, result.OK},
		{&protocol.FloorRequest{From: ""}, result.Forbidden},
		{&protocol.StatusRequest{}, result.OK},
		{&protocol.StatusRequest{From: "node-b"}, result.Forbidden},
		{&protocol.SubmitRequest{}, result.OK},
	}
	for _, test := range tests {
		refusal := CheckRequest(certificates, test.body)
		is.Equal(refusal == nil, test.code == result.OK)
		is.True(refusal == nil || refusal.Code == test.code)
		is.Equal(CheckRequest(nil, test.body).Code, result.Unauthenticated)
	}
}

func TestOperatorsNeedNoCertificate(t *testing.T) {
	is := is.New(t)
	common := newAuthority(t)
	a := newIdentity(t, common.issue(t.TempDir(), "node-a"), "node-a")
	pool := x509.NewCertPool()
	pool.AddCert(common.certificate)
	_, _, serverErr, clientErr := handshake(t, a.OperatorsServer(), &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"})
	is.NoErr(serverErr)
	is.NoErr(clientErr)
}

func TestPlatformIsCheckedByHost(t *testing.T) {
	is := is.New(t)
	common := newAuthority(t)
	a := newIdentity(t, common.issue(t.TempDir(), "node-a"), "node-a")
	_, _, _, clientErr := handshake(t, a.OperatorsServer(), a.PlatformClient("127.0.0.1"))
	is.NoErr(clientErr)
	_, _, _, clientErr = handshake(t, a.OperatorsServer(), a.PlatformClient("127.0.0.2"))
	is.True(clientErr != nil)
}

func TestCertificatesAreReadAgain(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	before, after := newAuthority(t), newAuthority(t)
	a := newIdentity(t, before.issue(dir, "node-a"), "node-a")
	now := time.Now()
	a.now = func() time.Time { return now }
	server, client := a.ControlServer(), a.ControlClient() // made before the change
	old := a.current()

	after.issue(dir, "node-a")
	is.NoErr(os.Chtimes(filepath.Join(dir, "key.pem"), now, now.Add(time.Minute)))
	is.Equal(a.current(), old) // not looked at within a second
	now = now.Add(rereadInterval)
	is.True(a.current() != old)
	is.NoErr(a.Failure())
	b := newIdentity(t, after.issue(t.TempDir(), "node-b"), "node-b")
	_, _, serverErr, clientErr := handshake(t, server, b.ControlClient())
	is.NoErr(serverErr)
	is.NoErr(clientErr)
	_, _, serverErr, clientErr = handshake(t, b.ControlServer(), client)
	is.NoErr(serverErr)
	is.NoErr(clientErr)

	// Files that can't be used leave the former ones in use.
	kept := a.current()
	is.NoErr(os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half"), 0o600))
	now = now.Add(rereadInterval)
	is.Equal(a.current(), kept)
	is.True(a.Failure() != nil)
	after.issue(dir, "node-a")
	now = now.Add(rereadInterval)
	is.True(a.current() != kept)
	is.NoErr(a.Failure())
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	given := settings.Default()
	given.Node.ID = "node-a"
	is.Equal(len(Check(given, time.Now())), 0) // no TLS
	given.TLS = newAuthority(t).issue(t.TempDir(), "node-a")
	is.Equal(len(Check(given, time.Now())), 0)
	is.Equal(len(Check(given, time.Now().Add(2*time.Hour))), 1) // expired
	given.Node.ID = "node-b"
	is.Equal(len(Check(given, time.Now())), 1) // another node's certificate
	given.TLS.Key = given.TLS.Authority
	is.Equal(Check(given, time.Now())[0].Code, result.SettingsInvalid)
}
