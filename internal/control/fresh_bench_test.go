package control

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/springstack/springstack/internal/core/protocol"
)

type emptyReplies struct{}

func (emptyReplies) HandlePeer(_ context.Context, _ Peer, body any) (any, error) {
	switch body.(type) {
	case *protocol.QuotaRequest:
		return &protocol.QuotaReply{}, nil
	}
	return &protocol.ExchangeReply{}, nil
}

// BenchmarkCall measures a request over a kept connection and over a new one each time.
func BenchmarkCall(b *testing.B) {
	for _, variant := range []struct{ kept, cbor bool }{{true, false}, {true, true}, {false, false}, {false, true}} {
		for _, body := range []any{&protocol.ExchangeRequest{From: "a", Zone: "z"}, &protocol.QuotaRequest{From: "a", Tenant: "t"}} {
			b.Run(fmt.Sprintf("kept=%t/cbor=%t/%T", variant.kept, variant.cbor, body), func(b *testing.B) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				server := NewServer(listener, nil, emptyReplies{}, DefaultLimits(), NewMeter())
				server.Start()
				defer server.Close()
				meter := NewMeter()
				open := func() *Client {
					made := NewClient(nil, DefaultLimits(), meter)
					made.prefersCBOR = variant.cbor
					return made
				}
				client := open()
				defer func() { client.Close() }()
				for b.Loop() {
					if _, err := client.Call(context.Background(), listener.Addr().String(), body); err != nil {
						b.Fatal(err)
					}
					if !variant.kept {
						client.Close()
						client = open()
					}
				}
				for _, traffic := range meter.ByKind() {
					b.ReportMetric(float64(traffic.BytesIn+traffic.BytesOut)/float64(b.N), "bytes/op")
				}
			})
		}
	}
}
