package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/access"
	"github.com/springstack/springstack/internal/access/accesstest"
	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/settings"
)

// guarded returns settings with a certificate of the authority, and a platform
// that is reached over TLS.
func guarded(t *testing.T, authority accesstest.Authority, id, platformURL string) settings.Settings {
	t.Helper()
	given := loopback(id)
	given.TLS = authority.Issue(t.TempDir(), id)
	given.Platform.URL = platformURL
	return given
}

// startGuardedPlatform serves a stand-in over TLS.
func startGuardedPlatform(t *testing.T, authority accesstest.Authority) string {
	t.Helper()
	identity, err := access.NewIdentity(authority.Issue(t.TempDir(), "platform"), "platform")
	is.New(t).NoErr(err)
	service := standin.NewService(standin.DefaultLimits(), 1)
	server := httptest.NewUnstartedServer(standin.NewServer(service).Handler())
	server.TLS = identity.OperatorsServer()
	server.StartTLS()
	t.Cleanup(server.Close)
	return server.URL
}

// awaitMetric waits until the metrics page of d has a line.
func awaitMetric(t *testing.T, d *Daemon, line string) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		_, page := get(t, d, "/metrics")
		if strings.Contains(page, line+"\n") {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no line %q in the metrics", line)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestMeshOverTLS(t *testing.T) {
	is := is.New(t)
	authority := accesstest.NewAuthority(t)
	platformURL := startGuardedPlatform(t, authority)
	first := New(guarded(t, authority, "first", platformURL), Overrides{})
	is.NoErr(first.Start())
	defer first.Kill()
	given := guarded(t, authority, "second", platformURL)
	given.Mesh.Seeds = []string{first.Addresses().Control}
	second := New(given, Overrides{})
	is.NoErr(second.Start())
	defer second.Kill()
	awaitMetric(t, first, "springstack_members 2")
	awaitMetric(t, second, "springstack_members 2")

	awaitMetric(t, second, "springstack_certificate_files_usable 1")

	t.Run("a peer speaks only for itself", func(t *testing.T) {
		is := is.New(t)
		identity, err := access.NewIdentity(authority.Issue(t.TempDir(), "third"), "third")
		is.NoErr(err)
		peer := control.NewClient(identity.ControlClient(), control.DefaultLimits(), control.NewMeter())
		defer peer.Close()
		_, err = peer.Call(t.Context(), first.Addresses().Control, &protocol.StatusRequest{Format: protocol.Format, From: "second"})
		is.True(err != nil && strings.Contains(err.Error(), "forbidden"))
	})
	t.Run("a stranger is refused", func(t *testing.T) {
		is := is.New(t)
		stranger := accesstest.NewAuthority(t)
		identity, err := access.NewIdentity(stranger.Issue(t.TempDir(), "second"), "second")
		is.NoErr(err)
		peer := control.NewClient(identity.ControlClient(), control.DefaultLimits(), control.NewMeter())
		defer peer.Close()
		_, err = peer.Call(t.Context(), first.Addresses().Control, &protocol.StatusRequest{Format: protocol.Format})
		is.True(err != nil)
	})
	t.Run("the gate takes calls over mutual TLS alone", func(t *testing.T) {
		is := is.New(t)
		identity, err := access.NewIdentity(authority.Issue(t.TempDir(), "third"), "third")
		is.NoErr(err)
		url := "https://" + first.Addresses().Gate + "/"
		member := &http.Client{Transport: &http.Transport{TLSClientConfig: identity.ControlClient(), DisableKeepAlives: true}}
		answer, err := member.Get(url)
		is.NoErr(err)
		answer.Body.Close()
		is.Equal(answer.Header.Get("Springstack-Ran"), "no") // refused by the gate itself: it names no back end
		pool := x509.NewCertPool()
		pool.AddCert(authority.Certificate)
		nobody := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}}
		_, err = nobody.Get(url)
		is.True(err != nil)
		clear := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		_, err = clear.Get("http://" + first.Addresses().Gate + "/")
		is.True(err != nil)
	})
	t.Run("operators call over TLS alone", func(t *testing.T) {
		is := is.New(t)
		pool := x509.NewCertPool()
		pool.AddCert(authority.Certificate)
		secure := &http.Client{Transport: &http.Transport{
			TLSClientConfig:   &tls.Config{RootCAs: pool},
			DisableKeepAlives: true,
		}}
		answer, err := secure.Get("https://" + first.Addresses().Operators + "/openapi.json")
		is.NoErr(err)
		_, err = io.Copy(io.Discard, answer.Body)
		is.NoErr(err)
		answer.Body.Close()
		is.Equal(answer.StatusCode, http.StatusOK)
		clear := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		answer, err = clear.Get("http://" + first.Addresses().Operators + "/openapi.json")
		is.NoErr(err)
		answer.Body.Close()
		is.Equal(answer.StatusCode, http.StatusBadRequest)
	})
}

func TestCertificateOfAnotherNodeStopsTheStart(t *testing.T) {
	is := is.New(t)
	given := loopback("first")
	given.TLS = accesstest.NewAuthority(t).Issue(t.TempDir(), "second")
	is.True(New(given, Overrides{}).Start() != nil)
}
