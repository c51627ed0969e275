package platform_test

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/platform"
	"github.com/springstack/springstack/internal/platform/platformtest"
)

const seed = 1

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestMemoryConforms(t *testing.T) {
	platformtest.Run(t, func(_ *testing.T, limits standin.Limits) platformtest.Harness {
		service := standin.NewService(limits, seed)
		return platformtest.Harness{Service: service, Port: service.Port}
	})
}

func TestHTTPConforms(t *testing.T) {
	platformtest.Run(t, func(t *testing.T, limits standin.Limits) platformtest.Harness {
		service := standin.NewService(limits, seed)
		server := standin.NewServer(service)
		url, err := server.Start("127.0.0.1:0")
		is.New(t).NoErr(err)
		t.Cleanup(func() { server.Close() })
		return platformtest.Harness{Service: service, Port: func(client string) platform.Port {
			port, err := platform.NewHTTP(platform.HTTPConfig{URL: url, Client: client})
			is.New(t).NoErr(err)
			t.Cleanup(port.Close)
			return port
		}}
	})
}
