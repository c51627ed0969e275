package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// loopback returns settings that listen on free loopback ports.
func loopback(id string) settings.Settings {
	given := settings.Default()
	given.Node = settings.Node{ID: id, Region: "windhoek", Zone: "eros-hall"}
	given.Listen = settings.Listen{
		Callers:   "127.0.0.1:0",
		Gate:      "127.0.0.1:0",
		Control:   "127.0.0.1:0",
		Operators: "127.0.0.1:0",
		Admin:     "127.0.0.1:0",
	}
	given.Mesh.Partners = []string{"kameeldoring"}
	given.Drain.Settle = 0
	return given
}

// get returns the status and body of an admin page.
func get(t *testing.T, d *Daemon, path string) (int, string) {
	t.Helper()
	answer, err := http.Get("http://" + d.Addresses().Admin + path)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	http.DefaultClient.CloseIdleConnections()
	return answer.StatusCode, string(body)
}

func TestDaemonStartsAndStopsOftenInOneProcess(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(standin.DefaultLimits(), 1)
	for round := range 5 {
		id := fmt.Sprintf("d%d", round)
		d := New(loopback(id), Overrides{Platform: service.Port(id)})
		is.NoErr(d.Start())
		status, _ := get(t, d, "/livez")
		is.Equal(status, http.StatusOK)
		_, metrics := get(t, d, "/metrics")
		is.True(strings.Contains(metrics, "springstack_version"))
		status, _ = get(t, d, "/debug/pprof/")
		is.Equal(status, http.StatusNotFound) // off unless asked for
		if round%2 == 0 {
			is.NoErr(d.Stop(t.Context()))
		} else {
			d.Kill()
		}
	}
}

func TestDaemonWithoutConfigurationIsNotReady(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(standin.DefaultLimits(), 1)
	service.SetFaults(standin.Faults{Outage: standin.OutageRefusing})
	d := New(loopback("alone"), Overrides{Platform: service.Port("alone")})
	is.NoErr(d.Start())
	status, body := get(t, d, "/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "no_snapshot"))
	is.NoErr(d.Stop(t.Context()))
}

func TestAddressInUseLeavesNothingRunning(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(standin.DefaultLimits(), 1)
	first := New(loopback("first"), Overrides{Platform: service.Port("first")})
	is.NoErr(first.Start())
	given := loopback("second")
	given.Listen.Admin = first.Addresses().Admin
	second := New(given, Overrides{Platform: service.Port("second")})
	err := second.Start()
	is.True(err != nil && strings.Contains(err.Error(), "listen.admin"))
	is.NoErr(first.Stop(t.Context()))
}

func TestStopEndsSoonAfterItsContext(t *testing.T) {
	is := is.New(t)
	service := standin.NewService(standin.DefaultLimits(), 1)
	given := loopback("hurried")
	given.Drain.Settle = time.Hour
	d := New(given, Overrides{Platform: service.Port("hurried")})
	is.NoErr(d.Start())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(d.Stop(ctx))
}
