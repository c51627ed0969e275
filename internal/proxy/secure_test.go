package proxy

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/result"
)

// TestGateRequiresMutualTLS: with mutual TLS at a gate, calls from a daemon with a
// certificate run. Calls from a daemon without one are refused as not run.
func TestGateRequiresMutualTLS(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	tlsServer := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(tlsServer.Close)
	certificates := tlsServer.TLS.Certificates
	listener := listenLoopback(t)
	server := NewServer(mesh.gates[0].GateHandler(), Limits{}).SetTLS(&tls.Config{
		Certificates: certificates, ClientAuth: tls.RequireAnyClientCert, MaxVersion: tls.VersionTLS12,
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	mesh.members[0].DataAddress = listener.Addr().String()
	for _, clientCertificates := range [][]tls.Certificate{certificates, nil} {
		caller := New(Config{
			Clock: testClock, NodeID: "caller", Region: "r", Zone: "z",
			PeerTLS: &tls.Config{Certificates: clientCertificates, RootCAs: tlsServer.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs, ServerName: "example.com"},
		})
		t.Cleanup(caller.Close)
		caller.PublishMembers(mesh.members)
		caller.Swap(mesh.snapshot)
		caller.ExtendServing(1 << 62)
		mesh.address = startServer(t, caller.CallerHandler(), Limits{})
		answer := mesh.call(t, "POST", "/", "x")
		if clientCertificates != nil {
			check.Equal(answer.body, "x")
			continue
		}
		expectRefusal(check, answer, result.ConnectFailed, result.RanNo)
	}
	check.Equal(runs.Load(), int64(1))
	check.NoErr(server.Shutdown(t.Context()))
}
