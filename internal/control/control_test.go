package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// handlerFunc adapts a function to Handler.
type handlerFunc func(ctx context.Context, body any) (any, error)

func (f handlerFunc) HandlePeer(ctx context.Context, _ Peer, body any) (any, error) {
	return f(ctx, body)
}

// pair starts a server with handler and a client, closed with the test.
func pair(t *testing.T, limits Limits, handler handlerFunc) (*Server, *Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(listener, nil, handler, limits, NewMeter())
	server.Start()
	client := NewClient(nil, limits, NewMeter())
	t.Cleanup(server.Close)
	t.Cleanup(client.Close)
	return server, client
}

// total adds up the traffic of all kinds.
func total(meter *Meter) Traffic {
	var sum Traffic
	for _, traffic := range meter.ByKind() {
		sum.BytesIn += traffic.BytesIn
		sum.BytesOut += traffic.BytesOut
		sum.FramesIn += traffic.FramesIn
		sum.FramesOut += traffic.FramesOut
	}
	return sum
}

func TestCallsOfEveryKindAreAnswered(t *testing.T) {
	is := is.New(t)
	server, client := pair(t, DefaultLimits(), func(_ context.Context, body any) (any, error) {
		switch request := body.(type) {
		case *protocol.FetchRequest:
			return &protocol.FetchReply{Released: request.Have + 1, Delta: &protocol.Delta{Payload: bytes.Repeat([]byte("x"), 5000)}}, nil
		case *protocol.StoreRequest:
			return &protocol.StoreReply{Stored: request.Version}, nil
		case *protocol.FloorRequest:
			return &protocol.FloorReply{Code: result.NotKeeper}, nil
		case *protocol.SubmitRequest:
			return nil, result.New(result.NoReader, "none")
		default:
			return &protocol.StatusReply{Members: make([]protocol.Member, 100)}, nil
		}
	})
	ctx := t.Context()
	for round := range 3 {
		have := protocol.Version(round)
		reply, err := client.Call(ctx, server.Address(), &protocol.FetchRequest{Have: have})
		is.NoErr(err)
		is.Equal(reply.(*protocol.FetchReply).Released, have+1)
		is.Equal(len(reply.(*protocol.FetchReply).Delta.Payload), 5000)
		reply, err = client.Call(ctx, server.Address(), &protocol.StoreRequest{Version: have})
		is.NoErr(err)
		is.Equal(reply.(*protocol.StoreReply).Stored, have)
		reply, err = client.Call(ctx, server.Address(), &protocol.FloorRequest{})
		is.NoErr(err)
		is.Equal(reply.(*protocol.FloorReply).Code, result.NotKeeper)
		_, err = client.Call(ctx, server.Address(), &protocol.SubmitRequest{})
		is.True(err != nil && strings.Contains(err.Error(), "springstack-300"))
		reply, err = client.Call(ctx, server.Address(), &protocol.StatusRequest{})
		is.NoErr(err)
		is.Equal(len(reply.(*protocol.StatusReply).Members), 100)
	}
	is.Equal(len(server.connections), 1) // kept over all calls, errors included
	sent, received := total(client.meter), total(server.meter)
	is.Equal(sent.BytesOut, received.BytesIn)
	is.Equal(sent.BytesIn, received.BytesOut)
	is.Equal(client.meter.ByKind()[KindFetch].FramesOut, uint64(3))
}

func TestCallEndsWithItsContextAndTheSilentConnectionIsDropped(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	server, client := pair(t, DefaultLimits(), func(ctx context.Context, body any) (any, error) {
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, server.Address(), &protocol.FetchRequest{})
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True(Sent(err))
	<-ended // closing the connection cancelled the handler
}

func TestUnreachablePeerIsKnownNotToHaveBeenCalled(t *testing.T) {
	is := is.New(t)
	server, client := pair(t, DefaultLimits(), nil)
	server.Close()
	_, err := client.Call(t.Context(), server.Address(), &protocol.FetchRequest{})
	is.True(err != nil)
	is.True(!Sent(err))
}

func TestOversizedRequestIsRefusedAndOthersGoOn(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.RequestBytes = 64 << 10
	server, client := pair(t, limits, func(context.Context, any) (any, error) {
		return &protocol.SubmitReply{}, nil
	})
	// Compresses far below the bound: the expanded size must be refused too.
	_, err := client.Call(t.Context(), server.Address(), &protocol.SubmitRequest{Content: make([]byte, 1<<20)})
	is.True(err != nil)
	_, err = client.Call(t.Context(), server.Address(), &protocol.SubmitRequest{Content: make([]byte, 1<<10)})
	is.NoErr(err)
}

func TestCallsOfOneConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.CallsPerConnection = 2
	started := make(chan struct{}, 8)
	release := make(chan struct{})
	server, client := pair(t, limits, func(context.Context, any) (any, error) {
		started <- struct{}{}
		<-release
		return &protocol.StatusReply{}, nil
	})
	var calls sync.WaitGroup
	failures := make(chan error, 8)
	for range 5 {
		calls.Go(func() {
			_, err := client.Call(t.Context(), server.Address(), &protocol.StatusRequest{})
			failures <- err
		})
	}
	<-started
	<-started
	is.Equal(len(server.calls), 2)
	close(release)
	calls.Wait()
	close(failures)
	for err := range failures {
		is.NoErr(err)
	}
}

func TestCallsInTotalAreBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Calls = 1
	started := make(chan struct{})
	release := make(chan struct{})
	server, client := pair(t, limits, func(context.Context, any) (any, error) {
		started <- struct{}{}
		<-release
		return &protocol.StatusReply{}, nil
	})
	first := make(chan error, 1)
	go func() {
		_, err := client.Call(t.Context(), server.Address(), &protocol.StatusRequest{})
		first <- err
	}()
	<-started
	_, err := client.Call(t.Context(), server.Address(), &protocol.StatusRequest{})
	is.True(err != nil && strings.Contains(err.Error(), "springstack-302"))
	close(release)
	is.NoErr(<-first)
}

func TestTypeDefinitionsOfOneConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	var stream bytes.Buffer
	is.NoErr(gob.NewEncoder(&stream).Encode(protocol.FetchReply{}))
	var budget definitionBudget
	is.NoErr(budget.check(stream.Bytes()))
	var err error
	for range maxTypeDefinitions {
		err = budget.check(stream.Bytes())
	}
	is.True(err != nil)
}

func TestFramesRoundTripInTheirOrder(t *testing.T) {
	is := is.New(t)
	var sender, receiver relation
	for _, size := range []int{0, 1, 511, 512, relatedBytes, relatedBytes + 1, 100_000, 300} {
		payload := bytes.Repeat([]byte("member "), size/7+1)[:size]
		used := []encoding{encodingGob, encodingCBOR}[size%2]
		frame, err := sender.encode(nil, payload, used, size == 512)
		is.NoErr(err)
		if size > 0 {
			strict := relation{last: receiver.last}
			_, _, _, err = strict.read(bytes.NewReader(frame), size-1, func() {})
			is.True(err != nil)
		}
		got, read, wire, err := receiver.read(bytes.NewReader(frame), size, func() {})
		is.NoErr(err)
		is.Equal(read, used)
		is.Equal(wire, len(frame))
		is.True(bytes.Equal(got, payload))
		is.Equal(string(receiver.last), string(sender.last))
	}
}

func TestRepeatedPayloadCostsLittle(t *testing.T) {
	is := is.New(t)
	payload := make([]byte, 240)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range payload {
		payload[i] = byte(random.UintN(256))
	}
	var sender relation
	first, err := sender.encode(nil, payload, encodingGob, false)
	is.NoErr(err)
	again, err := sender.encode(nil, payload, encodingGob, false)
	is.NoErr(err)
	is.True(len(first) >= len(payload))
	is.True(len(again) < len(payload)/4)
}

// FuzzInboundFrames feeds a server's connection with arbitrary bytes: it must
// neither panic nor take memory beyond the bounds, and must end the connection.
func FuzzInboundFrames(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 4, 1, 2, 3, 4})
	related, _ := new(relation).encode(nil, bytes.Repeat([]byte{3}, 4096), encodingGob, false)
	f.Add(related)
	for _, used := range []encoding{encodingGob, encodingCBOR} {
		f.Add(requestFrame(f, used, &protocol.FetchRequest{Members: make([]protocol.Member, 40)}))
		f.Add(requestFrame(f, used, &protocol.SubmitRequest{Content: []byte("services: []")}))
		f.Add(requestFrame(f, used, &protocol.ExchangeRequest{Sums: make([]uint64, 64), Forward: make([]protocol.Destination, 9)}))
	}
	f.Add([]byte{frameCBOR, 0, 0, 0, 5, 0x9b, 0xff, 0xff, 0xff, 0xff}) // an array of absurd length
	f.Fuzz(func(t *testing.T, input []byte) {
		connection, peer := net.Pipe()
		limits := DefaultLimits()
		limits.RequestBytes = 64 << 10
		server := NewServer(nil, nil, handlerFunc(func(context.Context, any) (any, error) {
			return nil, errors.New("refused")
		}), limits, NewMeter())
		server.running.Add(1)
		done := make(chan struct{})
		go func() {
			server.serve(connection)
			close(done)
		}()
		go func() {
			var sink [1024]byte
			for {
				if _, err := peer.Read(sink[:]); err != nil {
					return
				}
			}
		}()
		_, _ = peer.Write(input) // the server may hang up before all is read
		peer.Close()
		<-done
	})
}

// requestFrame returns the frame of one call.
func requestFrame(f *testing.F, used encoding, body any) []byte {
	f.Helper()
	client, server := net.Pipe()
	defer server.Close()
	w := newWire(client, DefaultLimits(), 1, NewMeter(), used)
	method, _ := methodFor(body)
	read := make(chan []byte)
	go func() {
		var kept bytes.Buffer
		_, _ = kept.ReadFrom(server)
		read <- kept.Bytes()
	}()
	type header struct {
		ServiceMethod string
		Seq           uint64
	}
	if err := w.send(kindOf(method), &header{method, 1}, body); err != nil {
		f.Fatal(err)
	}
	client.Close()
	return <-read
}
