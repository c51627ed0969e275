package proxy

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/resource"
)

// BenchmarkDecisions measures all decisions of the callers' side before it sends a call: route,
// retries, endpoint and the outgoing request.
func BenchmarkDecisions(b *testing.B) {
	var backends []resource.Backend
	for index := range 7 {
		backends = append(backends, resource.Backend{
			Partner: "k", Name: strconv.Itoa(index), Service: "plans",
			Address: "127.0.0.1:1", Region: "r", Zone: "z", Slots: 6,
		})
	}
	proxy := New(Config{Clock: testClock, NodeID: "caller", Region: "r", Zone: "z"})
	b.Cleanup(proxy.Close)
	proxy.Swap(testSnapshot(meshOptions{}, backends))
	proxy.ExtendServing(1 << 62)
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		request := httptest.NewRequest(http.MethodGet, "http://host/orders/17?x=1", nil)
		request.Header.Set("Accept", "text/plain")
		for loop.Next() {
			call, _, _ := proxy.acceptCall(request)
			calledService := proxy.view.Load().services[call.service]
			chosen := call.chooseEndpoint(calledService.poolFor(call.regions), quarantine.Trusted, testClock())
			call.newGateRequest(chosen, false, call.timeout)
		}
	})
}

// BenchmarkFingerprints measures how the gate hashes an id of a call.
func BenchmarkFingerprints(b *testing.B) {
	proxy := &Proxy{hashSeed: 1}
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		var last admission.Fingerprint
		for loop.Next() {
			last ^= proxy.fingerprint("request", "gate-a-1b2c3d4e5f-9k")
		}
	})
}

// handleOK is the handler of a back end or gate that answers at once.
func handleOK(writer http.ResponseWriter, _ *http.Request) { _, _ = writer.Write([]byte("ok")) }

// BenchmarkEntry measures a call through the callers' side alone: a test server on loopback
// replaces the gate, and the handler is called without a client.
func BenchmarkEntry(b *testing.B) {
	gate := httptest.NewServer(http.HandlerFunc(handleOK))
	b.Cleanup(gate.Close)
	backends := []resource.Backend{{
		Partner: "k", Name: "a", Service: "plans", Address: gate.Listener.Addr().String(), Region: "r", Zone: "z", Slots: 6,
	}}
	proxy := New(Config{Clock: testClock, NodeID: "caller", Region: "r", Zone: "z"})
	b.Cleanup(proxy.Close)
	proxy.Swap(testSnapshot(meshOptions{}, backends))
	proxy.ExtendServing(1 << 62)
	handler := proxy.CallerHandler()
	b.ReportAllocs()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://host/orders/17", nil))
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code, recorder.Body)
		}
	}
}

// BenchmarkGate measures a call through the gate alone, with a back end on loopback.
func BenchmarkGate(b *testing.B) {
	mesh := startMesh(b, meshOptions{slots: 1 << 10}, backendSpec{handler: handleOK})
	handler := mesh.gates[0].GateHandler()
	b.ReportAllocs()
	calls := 0
	for b.Loop() {
		calls++
		request := httptest.NewRequest(http.MethodGet, "http://host/orders/17", nil)
		request.Header.Set(headerHop, hopGate)
		request.Header.Set(headerService, testService.String())
		request.Header.Set(headerBackend, "a")
		request.Header.Set(headerRequest, strconv.Itoa(calls))
		request.Header.Set(headerTimeout, "1000")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code, recorder.Body)
		}
	}
}

// BenchmarkMesh measures a whole call on loopback, from the client through the callers' side and
// the gate to the back end and back, with one client per processor.
func BenchmarkMesh(b *testing.B) {
	mesh := startMesh(b, meshOptions{slots: 1 << 10}, backendSpec{handler: handleOK})
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			if answer := mesh.call(b, "GET", "/", ""); answer.status != http.StatusOK {
				b.Error(answer.status, answer.body)
			}
		}
	})
}
