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

// reportedGate is the gate of a back end that reports its state itself.
type reportedGate struct {
	proxy   *Proxy
	address string
	backend string
	limits  Limits
	slots   int
	// arrivedCount counts the calls that the back end has received. releaseCalls closes released,
	// which lets the calls end.
	arrivedCount *atomic.Int64
	released     chan struct{}
	releaseCalls func()
}

// backendCall is a call as the back end of a reported gate receives it.
type backendCall struct {
	released <-chan struct{}
	conn     net.Conn
}

// answer answers the call with status 200 and keeps the connection.
func (c *backendCall) answer() {
	_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

// sendAnswerHead sends the head of an answer and no byte of its body.
func (c *backendCall) sendAnswerHead() {
	_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
}

// answerAndClose answers the call with status 200 and closes the connection.
func (c *backendCall) answerAndClose() {
	_, _ = io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.conn.Close()
}

// startReportedGate starts a reported gate and its back end, which reports a later start time than
// that of the gate. The back end notices the end of a connection only after it has served the call
// on it.
func startReportedGate(t *testing.T, limits Limits, slots int, serve func(*backendCall)) *reportedGate {
	t.Helper()
	gate := &reportedGate{limits: limits, slots: slots, arrivedCount: &atomic.Int64{}, released: make(chan struct{})}
	gate.releaseCalls = sync.OnceFunc(func() { close(gate.released) })
	t.Cleanup(gate.releaseCalls)
	gate.backend = startBackend(t, backendSpec{script: func(conn net.Conn, reader *bufio.Reader) {
		for {
			if _, found := readRequest(reader); !found {
				return
			}
			gate.arrivedCount.Add(1)
			serve(&backendCall{released: gate.released, conn: conn})
		}
	}})
	gate.start(t, gate.slots, protocol.BackendStart{Instance: "i", Born: time.Now().Add(time.Hour).UnixMilli()})
	return gate
}

// restart starts another daemon for the same back end, which started before it.
func (g *reportedGate) restart(t *testing.T) *reportedGate {
	t.Helper()
	restarted := *g
	restarted.arrivedCount.Store(0)
	restarted.start(t, g.slots, protocol.BackendStart{Instance: "i", Born: 1})
	return &restarted
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

// startedCall is a call that was sent to a gate.
type startedCall struct {
	cancel context.CancelFunc
	answer chan callResult
}

// startCall sends a call to the gate.
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
	call := &startedCall{cancel: cancel, answer: make(chan callResult, 1)}
	done := make(chan struct{})
	t.Cleanup(func() {
		cancel()
		<-done
	})
	go func() {
		defer close(done)
		client := mesh{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		call.answer <- client.send(t, request)
	}()
	return call
}

// await waits, without a time limit, until a condition holds.
func (g *reportedGate) await(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}
