package control

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// BenchmarkMembers measures sending and receiving the records of all daemons of a mesh over a new
// connection.
func BenchmarkMembers(b *testing.B) {
	for _, count := range []int{30, 985} {
		reply := &protocol.ExchangeReply{}
		for index := range count {
			reply.Members = append(reply.Members, protocol.Member{
				ID: protocol.NodeID(fmt.Sprintf("sidecar-zone-%d", index)), Incarnation: protocol.Incarnation(1e18 + index*12345), Sequence: 3,
				State: protocol.MemberAlive, ControlAddress: fmt.Sprintf("10.1.%d.%d:7000", index/250, index%250),
				DataAddress: fmt.Sprintf("10.1.%d.%d:8722", index/250, index%250), Region: "windhoek", Zone: fmt.Sprintf("hall-%d", index%6),
				Service: resource.ServiceRef{Partner: "platform", Name: "huvo11a"}, Backend: fmt.Sprintf("i-%08x", index*7919), Endpoint: protocol.EndpointReady,
				Slots: 4, Software: "v1",
			})
		}
		for _, used := range []encoding{encodingGob, encodingCBOR} {
			b.Run(fmt.Sprintf("members=%d/cbor=%t", count, used == encodingCBOR), func(b *testing.B) {
				meter := NewMeter()
				for b.Loop() {
					near, far := net.Pipe()
					sender, receiver := newWire(near, DefaultLimits(), 8<<20, meter, used), newWire(far, DefaultLimits(), 8<<20, meter, 0)
					go func() { _ = sender.send(KindExchange, &protocol.QuotaReply{}, reply) }()
					if _, err := receiver.receive(time.Second); err != nil {
						b.Fatal(err)
					}
					var header protocol.QuotaReply
					var got protocol.ExchangeReply
					if receiver.decode(&header) != nil || receiver.decode(&got) != nil || len(got.Members) != count {
						b.Fatal("not received")
					}
				}
				b.ReportMetric(float64(meter.ByKind()[KindExchange].BytesOut)/float64(b.N), "bytes/op")
			})
		}
	}
}
