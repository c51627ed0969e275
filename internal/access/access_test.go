package access

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/access/accesstest"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/settings"
)

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
	common, other := accesstest.NewAuthority(t), accesstest.NewAuthority(t)
	a := newIdentity(t, common.Issue(t.TempDir(), "node-a"), "node-a")
	b := newIdentity(t, common.Issue(t.TempDir(), "ignored", "springstack://node/node-b"), "node-b")
	stranger := newIdentity(t, other.Issue(t.TempDir(), "node-a"), "node-a")

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
	files := accesstest.NewAuthority(t).Issue(t.TempDir(), "node-a")
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
	common := accesstest.NewAuthority(t)
	a := newIdentity(t, common.Issue(t.TempDir(), "node-a"), "node-a")
	pool := x509.NewCertPool()
	pool.AddCert(common.Certificate)
	_, _, serverErr, clientErr := handshake(t, a.OperatorsServer(), &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"})
	is.NoErr(serverErr)
	is.NoErr(clientErr)
}

func TestPlatformIsCheckedByHost(t *testing.T) {
	is := is.New(t)
	common := accesstest.NewAuthority(t)
	a := newIdentity(t, common.Issue(t.TempDir(), "node-a"), "node-a")
	_, _, _, clientErr := handshake(t, a.OperatorsServer(), a.PlatformClient("127.0.0.1"))
	is.NoErr(clientErr)
	_, _, _, clientErr = handshake(t, a.OperatorsServer(), a.PlatformClient("127.0.0.2"))
	is.True(clientErr != nil)
}

func TestCertificatesAreReadAgain(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	before, after := accesstest.NewAuthority(t), accesstest.NewAuthority(t)
	a := newIdentity(t, before.Issue(dir, "node-a"), "node-a")
	now := time.Now()
	a.now = func() time.Time { return now }
	server, client := a.ControlServer(), a.ControlClient() // made before the change
	old := a.current()

	after.Issue(dir, "node-a")
	is.NoErr(os.Chtimes(filepath.Join(dir, "key.pem"), now, now.Add(time.Minute)))
	is.Equal(a.current(), old) // not looked at within a second
	now = now.Add(rereadInterval)
	is.True(a.current() != old)
	is.NoErr(a.Failure())
	b := newIdentity(t, after.Issue(t.TempDir(), "node-b"), "node-b")
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
	is.Equal(a.Expires(), kept.certificate.Leaf.NotAfter)
	is.True(a.Failure() != nil)
	after.Issue(dir, "node-a")
	now = now.Add(rereadInterval)
	is.True(a.current() != kept)
	is.NoErr(a.Failure())
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	given := settings.Default()
	given.Node.ID = "node-a"
	is.Equal(len(Check(given, time.Now())), 0) // no TLS
	given.TLS = accesstest.NewAuthority(t).Issue(t.TempDir(), "node-a")
	is.Equal(len(Check(given, time.Now())), 0)
	is.Equal(len(Check(given, time.Now().Add(2*time.Hour))), 1) // expired
	given.Node.ID = "node-b"
	is.Equal(len(Check(given, time.Now())), 1) // another node's certificate
	given.TLS.Key = given.TLS.Authority
	is.Equal(Check(given, time.Now())[0].Code, result.SettingsInvalid)
}
