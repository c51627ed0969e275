package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// reportedGate is the gate of a back end that reports itself.
type reportedGate struct {
	proxy   *Proxy
	address string
	backend string
	limits  Limits
	slots   int
	// arrived are the calls that the back end has taken, over lets them go.
	arrivedCount *atomic.Int64
	released     chan struct{}
	releaseCalls func()
}

// heldCall is a call as the back end of a reported gate sees it.
type backendCall struct {
	released <-chan struct{}
	conn     net.Conn
}

// answerIt answers the call well and keeps the connection.
func (c *backendCall) answer() {
	_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

// beginAnswer sends the head of an answer and no byte of its body.
func (c *backendCall) sendAnswerHead() {
	_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
}

// answerAndClose answers the call well and ends the connection.
func (c *backendCall) answerAndClose() {
	_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.conn.Close()
}

// startReportedGate starts such a gate with a back end that began after it. The back end
// heeds the end of a connection only once it has served the call on it.
func startReportedGate(t *testing.T, limits Limits, slots int, serve func(*backendCall)) *reportedGate {
	t.Helper()
	made := &reportedGate{limits: limits, slots: slots, arrivedCount: &atomic.Int64{}, released: make(chan struct{})}
	made.releaseCalls = sync.OnceFunc(func() { close(made.released) })
	t.Cleanup(made.releaseCalls)
	made.backend = startBackend(t, backendSpec{script: func(conn net.Conn, reader *bufio.Reader) {
		for {
			if _, came := readRequest(reader); !came {
				return
			}
			made.arrivedCount.Add(1)
			serve(&backendCall{released: made.released, conn: conn})
		}
	}})
	made.start(t, made.slots, protocol.BackendStart{Instance: "i", Born: time.Now().Add(time.Hour).UnixMilli()})
	return made
}

// restart starts another daemon beside the back end, which has run before.
func (g *reportedGate) restart(t *testing.T) *reportedGate {
	t.Helper()
	again := *g
	again.arrivedCount.Store(0)
	again.start(t, g.slots, protocol.BackendStart{Instance: "i", Born: 1})
	return &again
}

func (g *reportedGate) start(t *testing.T, slots int, start protocol.BackendStart) {
	t.Helper()
	g.proxy = New(Config{
		Clock: testClock, NodeID: "gate", Service: testService, BackendAddress: g.backend, Reported: true, Slots: 1,
		Limits: g.limits,
	})
	t.Cleanup(g.proxy.Close)
	g.proxy.Swap(testSnapshot(meshOptions{}, nil))
	g.proxy.ReportBackend(BackendReport{Start: start, Slots: slots, State: protocol.EndpointReady})
	g.address = startServer(t, g.proxy.GateHandler(), g.limits)
}

// begunCall is a call that was sent to a gate.
type startedCall struct {
	cancel context.CancelFunc
	answer chan callResult
}

// begin sends a call to the gate.
func (g *reportedGate) startCall(t *testing.T, timeout time.Duration) *startedCall {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(headerHop, hopGate)
	request.Header.Set(headerBackend, "i")
	request.Header.Set(headerService, testService.String())
	request.Header.Set(headerTimeout, itoa(int(timeout.Milliseconds())))
	made := &startedCall{cancel: cancel, answer: make(chan callResult, 1)}
	ended := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	go func() {
		defer close(ended)
		client := mesh{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		made.answer <- client.send(t, request)
	}()
	return made
}

// await waits until something holds; what never does hangs the test.
func (g *reportedGate) await(holds func() bool) {
	for !holds() {
		runtime.Gosched()
	}
}
