package proxy

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/result"
)

// processStart is the origin of the tests' clock.
var processStart = time.Now()

func testClock() time.Duration { return time.Since(processStart) }

var testService = resource.ServiceRef{Partner: "k", Name: "plans"}

// backendSpec describes one back end of a mesh: an HTTP handler, a script for each raw connection,
// or an address.
type backendSpec struct {
	address string
	handler http.HandlerFunc
	script  func(conn net.Conn, reader *bufio.Reader)
	// region is the region of the back end; empty for that of the caller's daemon.
	region string
}

// mesh is a caller's daemon with a gate and a back end for each backendSpec, all over loopback TCP.
// address is the address on which the daemon accepts callers.
type mesh struct {
	caller   *Proxy
	gates    []*Proxy
	members  []protocol.Member
	snapshot *snapshot.Snapshot
	address  string
	client   *http.Client
}

// meshOptions changes the defaults of a mesh.
type meshOptions struct {
	slots          int
	limits         Limits
	changeRoute    func(*resource.Route)
	service        resource.Service
	onBackendState func(protocol.EndpointState)
	// changeCaller changes the configuration of the caller's daemon.
	changeCaller func(*Config)
}

func startMesh(t testing.TB, options meshOptions, specs ...backendSpec) *mesh {
	t.Helper()
	if options.slots == 0 {
		options.slots = 6
	}
	started := &mesh{}
	var backends []resource.Backend
	for index, spec := range specs {
		name := string(rune('a' + index))
		region := cmp.Or(spec.region, "r")
		config := Config{
			Clock: testClock, NodeID: protocol.NodeID("gate-" + name), Incarnation: 7,
			Region: region, Zone: "z", Service: testService, Backend: name,
			BackendAddress: startBackend(t, spec), Slots: options.slots, Limits: options.limits,
			OnBackendState: options.onBackendState,
		}
		gate := New(config)
		t.Cleanup(gate.Close)
		address := startServer(t, gate.GateHandler(), options.limits)
		started.gates = append(started.gates, gate)
		backends = append(backends, resource.Backend{
			Partner: "k", Name: name, Service: "plans", Address: address, Region: region, Zone: "z", Slots: options.slots,
		})
		started.members = append(started.members, protocol.Member{
			ID: config.NodeID, Incarnation: 7, Sequence: 1, State: protocol.MemberAlive, DataAddress: address,
			Region: region, Zone: "z", Service: testService, Backend: name, Endpoint: protocol.EndpointReady, Slots: options.slots,
		})
	}
	started.snapshot = testSnapshot(options, backends)
	config := Config{Clock: testClock, NodeID: "caller", Incarnation: 3, Region: "r", Zone: "z", Limits: options.limits}
	if options.changeCaller != nil {
		options.changeCaller(&config)
	}
	started.caller = New(config)
	t.Cleanup(started.caller.Close)
	started.address = startServer(t, started.caller.CallerHandler(), options.limits)
	started.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(started.client.CloseIdleConnections)
	started.caller.Swap(started.snapshot)
	started.caller.PublishMembers(started.members)
	started.caller.ExtendServing(testClock() + time.Hour)
	for _, gate := range started.gates {
		gate.Swap(started.snapshot)
	}
	return started
}

func testSnapshot(options meshOptions, backends []resource.Backend) *snapshot.Snapshot {
	route := resource.Route{
		Partner: "k", Name: "all", Match: resource.Match{PathPrefix: "/"},
		Split:  []resource.Destination{{Service: testService, Weight: 1}},
		Secret: &resource.SecretUse{Name: "key", Header: "X-Secret"},
	}
	if options.changeRoute != nil {
		options.changeRoute(&route)
	}
	spec := options.service
	spec.Partner, spec.Name = testService.Partner, testService.Name
	return &snapshot.Snapshot{
		Version:  1,
		Services: map[resource.ServiceRef]resource.Service{testService: spec},
		Backends: map[resource.ServiceRef][]resource.Backend{testService: backends},
		Routes:   []resource.Route{route},
		Secrets: map[resource.Key]resource.Secret{
			{Partner: "k", Kind: resource.KindSecret, Name: "key"}: {Value: "hidden"},
		},
	}
}

// startServer serves a handler until the test ends and returns the address.
func startServer(t testing.TB, handler http.Handler, limits Limits) string {
	t.Helper()
	listener := listenLoopback(t)
	server := NewServer(handler, limits)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func listenLoopback(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func startBackend(t testing.TB, spec backendSpec) string {
	t.Helper()
	if spec.address != "" {
		return spec.address
	}
	listener := listenLoopback(t)
	if spec.handler != nil {
		server := &http.Server{Handler: spec.handler, ErrorLog: discardLog}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		return listener.Addr().String()
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				spec.script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request with its body from a raw connection; false means that the peer
// closed the connection without one, as probes do.
func readRequest(reader *bufio.Reader) (*http.Request, bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request, true
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// callResult is an answer as a caller receives it.
type callResult struct {
	status int
	header http.Header
	body   string
	// truncated is set if the body is incomplete or no answer came.
	truncated bool
}

func (a callResult) code() string { return a.header.Get(headerCode) }
func (a callResult) ran() string  { return a.header.Get(headerRan) }

func (m *mesh) call(t testing.TB, method, path, body string, headers ...string) callResult {
	t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+m.address+path, reader)
	if err != nil {
		t.Fatal(err)
	}
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	return m.send(t, request)
}

func (m *mesh) send(t testing.TB, request *http.Request) callResult {
	t.Helper()
	answer, err := m.client.Do(request)
	if err != nil {
		t.Log(err)
		return callResult{truncated: true, header: http.Header{}}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return callResult{status: answer.StatusCode, header: answer.Header, body: string(text), truncated: err != nil}
}

// sendRaw sends bytes to the caller's daemon and returns everything that it answers.
func (m *mesh) sendRaw(t testing.TB, text string) string {
	t.Helper()
	conn := m.dialWith(t, text)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// dialWith opens a connection to the caller's daemon, which the end of the test closes, and sends text.
func (m *mesh) dialWith(t testing.TB, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", m.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitReleased waits until no bytes are reserved.
func awaitReleased(t testing.TB, reserved func() int64) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for reserved() != 0 {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes stay reserved", reserved())
		}
		time.Sleep(time.Millisecond)
	}
}

// countingBackend returns a back end that counts its calls and echoes their bodies.
func countingBackend(runs *atomic.Int64) backendSpec {
	return backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		_, _ = io.Copy(writer, request.Body)
	}}
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// expectRefusal checks the code, the execution, the status and the name in a refusal.
func expectRefusal(check *is.I, got callResult, code result.Code, ran result.Execution) {
	check.Helper()
	entry, _ := result.Lookup(code)
	check.Equal(got.code(), strings.TrimSpace(itoa(int(code))))
	check.Equal(got.ran(), string(ran))
	check.Equal(got.status, entry.HTTPStatus)
	check.True(strings.Contains(got.body, `"name":"`+entry.Name+`"`))
}

// awaitIdle waits until no gate has a call in a slot or in its queue. A leaked slot hangs the test.
func (m *mesh) awaitIdle() {
	for _, gate := range m.gates {
		for gate.gate.Load() != (admission.Load{Slots: gate.gate.Load().Slots}) {
			runtime.Gosched()
		}
	}
}
