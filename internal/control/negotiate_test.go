package control

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

// fill sets all exported fields of a value to arbitrary values that are not zero.
func fill(value reflect.Value, random *rand.Rand) {
	switch value.Kind() {
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), random)
	case reflect.Struct:
		for index := range value.NumField() {
			if value.Type().Field(index).IsExported() {
				fill(value.Field(index), random)
			}
		}
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		fill(value.Index(0), random)
		fill(value.Index(1), random)
	case reflect.Array:
		for index := range value.Len() {
			fill(value.Index(index), random)
		}
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, random)
		fill(element, random)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.String:
		value.SetString(string(rune('a' + random.IntN(26))))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int64, reflect.Int32:
		value.SetInt(random.Int64N(1<<30) + 1)
	case reflect.Uint64, reflect.Uint32, reflect.Uint, reflect.Uint8:
		value.SetUint(uint64(random.IntN(200)) + 1)
	case reflect.Float64:
		value.SetFloat(random.Float64() + 1)
	}
}

// Guards against a field that one of the encodings drops or changes.
func TestMessagesBetweenHostedDaemonsKeepTheirFields(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, message := range []any{
		new(protocol.ExchangeRequest), new(protocol.ExchangeReply), new(protocol.EvidenceRequest), new(protocol.EvidenceReply),
		new(protocol.DocumentRequest), new(protocol.DocumentReply), new(protocol.QuotaRequest), new(protocol.QuotaReply),
	} {
		for _, used := range []encoding{encodingGob, encodingCBOR} {
			check := is.New(t)
			fill(reflect.ValueOf(message).Elem(), random)
			near, far := net.Pipe()
			sender := newWire(near, DefaultLimits(), 1<<20, NewMeter(), used)
			receiver := newWire(far, DefaultLimits(), 1<<20, NewMeter(), 0)
			go func() { _ = sender.send(KindExchange, message, message) }()
			_, err := receiver.receive(time.Second)
			check.NoErr(err)
			check.NoErr(receiver.decode(nil)) // skips the first
			got := reflect.New(reflect.TypeOf(message).Elem()).Interface()
			check.NoErr(receiver.decode(got))
			check.Equal(got, message)
			check.NoErr(near.Close())
			check.NoErr(far.Close())
		}
	}
}

func TestServerAnswersInTheEncodingOfTheClient(t *testing.T) {
	for _, cbor := range []bool{false, true} {
		check := is.New(t)
		server, client := pair(t, DefaultLimits(), func(_ context.Context, body any) (any, error) {
			return &protocol.QuotaReply{Tokens: body.(*protocol.QuotaRequest).Wanted}, nil
		})
		if cbor {
			client.UseCBOR()
		}
		for wanted := 1; wanted < 4; wanted++ {
			answer, err := client.Call(context.Background(), server.Address(), &protocol.QuotaRequest{Wanted: wanted})
			check.NoErr(err)
			check.Equal(answer, &protocol.QuotaReply{Tokens: wanted})
		}
	}
}

// refuseCBOR passes on connections to a server, but closes those whose first frame is in CBOR, as a
// daemon of an earlier build does.
func refuseCBOR(t *testing.T, server string) (address string) {
	check := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				first := make([]byte, 1)
				if _, err := io.ReadFull(connection, first); err != nil || first[0]&frameCBOR != 0 {
					return
				}
				behind, err := net.Dial("tcp", server)
				if err != nil {
					return
				}
				defer behind.Close()
				_, _ = behind.Write(first)
				go func() { _, _ = io.Copy(connection, behind) }()
				_, _ = io.Copy(behind, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

func TestCallToAnEarlierBuildIsSentAgainWithGob(t *testing.T) {
	check := is.New(t)
	server, client := pair(t, DefaultLimits(), func(context.Context, any) (any, error) {
		return &protocol.QuotaReply{Tokens: 3}, nil
	})
	address := refuseCBOR(t, server.Address())
	client.UseCBOR()
	for range 3 {
		answer, err := client.Call(context.Background(), address, &protocol.QuotaRequest{Wanted: 3})
		check.NoErr(err)
		check.Equal(answer, &protocol.QuotaReply{Tokens: 3})
	}
	check.Equal(client.encodingFor(address), encodingGob)
	check.Equal(client.encodingFor("127.0.0.1:1"), encodingCBOR)
}

// Guards against messages that define their types on each new connection: in a large mesh most calls
// are the first on theirs.
func TestFirstCallOfAConnectionCostsLittle(t *testing.T) {
	check := is.New(t)
	bytesOf := func(cbor bool) uint64 {
		server, client := pair(t, DefaultLimits(), func(context.Context, any) (any, error) {
			return &protocol.ExchangeReply{}, nil
		})
		client.prefersCBOR = cbor
		_, err := client.Call(context.Background(), server.Address(), &protocol.ExchangeRequest{From: "a", Zone: "z"})
		check.NoErr(err)
		traffic := total(client.meter)
		return traffic.BytesIn + traffic.BytesOut
	}
	check.True(bytesOf(true)*3 < bytesOf(false))
}
