package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/springstack/springstack/internal/core/object"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// request sends one request to a handler and returns status and body.
func request(handler http.Handler, method, path, body string) (int, string) {
	sent := httptest.NewRequest(method, path, strings.NewReader(body))
	sent.Header.Set("Content-Type", "application/json")
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, sent)
	return answer.Code, answer.Body.String()
}

func TestFaultsAreSwitchedOverHTTP(t *testing.T) {
	is := is.New(t)
	service := NewService(DefaultLimits(), 1)
	handler := NewServer(service).Handler()
	status, _ := request(handler, http.MethodPut, PathFaults, `{"outage":"silent","lost_answer":0.5,"list_lag":1000000}`)
	is.Equal(status, http.StatusNoContent)
	is.Equal(service.Faults(), Faults{Outage: OutageSilent, LostAnswer: 0.5, ListLag: time.Millisecond})
	for _, wrong := range []string{`{"outage":"loud"}`, `{"lost_answer":2}`, `{"unknown":1}`} {
		status, _ = request(handler, http.MethodPut, PathFaults, wrong)
		is.Equal(status, http.StatusUnprocessableEntity)
	}
	status, _ = request(handler, http.MethodPut, PathFaults, `{}`)
	is.Equal(status, http.StatusNoContent)
	is.Equal(service.Faults(), Faults{})
	_, body := request(handler, http.MethodGet, PathFaults, "")
	is.Equal(strings.TrimSpace(body), "{}")
}

func TestLabIsSteeredOverHTTP(t *testing.T) {
	is := is.New(t)
	service := NewService(DefaultLimits(), 1)
	handler := NewServer(service).Handler()
	status, _ := request(handler, http.MethodPut, PathMachineList, `[{"id":"m","address":"10.0.0.1:1","region":"r","zone":"z"}]`)
	is.Equal(status, http.StatusNoContent)
	status, _ = request(handler, http.MethodPut, PathReaderLimit, `{"readers":1}`)
	is.Equal(status, http.StatusNoContent)
	_, body := request(handler, http.MethodGet, "/v1/machines", "")
	is.True(strings.Contains(body, `"id":"m"`))
	is.True(!service.store.OpenWatch(0, "another")) // the limit is 1
	status, _ = request(handler, http.MethodPost, PathCompact, "")
	is.Equal(status, http.StatusNoContent)
	_, body = request(handler, http.MethodGet, PathCounters, "")
	is.True(strings.Contains(body, `"readers_max":1`))
}

func TestCallsAreCountedBySecond(t *testing.T) {
	is := is.New(t)
	var rate callRate
	for _, at := range []time.Duration{0, 900 * time.Millisecond, time.Second, 1100 * time.Millisecond, 1999 * time.Millisecond, 5 * time.Second} {
		rate.call(at, object.Call{Data: []byte("12")})
	}
	is.Equal(rate.counters(), Counters{Calls: 6, CallsPerSecondMax: 3, BytesIn: 12})
}
