package hosted

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/settings"
)

// The benchmarks of this file measure what updates cost one daemon of a mesh: a message with
// records, a view built for them, a version put in force. Multiplied by the numbers of messages and
// views per day, the results give the daemon's processor time for updates.

// benchMember returns the record of one of many daemons in six zones and two services.
func benchMember(index int) protocol.Member {
	service := "first"
	if index%3 == 0 {
		service = "second"
	}
	address := fmt.Sprintf("10.1.%d.%d", index/200, index%200)
	return protocol.Member{
		ID: protocol.NodeID(fmt.Sprintf("daemon-of-a-zone-%d", index)), Incarnation: protocol.Incarnation(1e18 + index), Sequence: 3,
		State: protocol.MemberAlive, ControlAddress: address + ":9000", DataAddress: address + ":9001",
		Region: "r", Zone: fmt.Sprintf("z%d", index%6), Service: serviceRef(service),
		Backend: fmt.Sprintf("i-%08x", index), Endpoint: protocol.EndpointReady, Slots: 4,
	}
}

func benchMembers(count int) []protocol.Member {
	members := make([]protocol.Member, count)
	for index := range members {
		members[index] = benchMember(index)
	}
	return members
}

// benchProxy returns the data path of a daemon with a configuration of some routes.
func benchProxy(b *testing.B, routes int) *proxy.Proxy {
	b.Helper()
	startedAt := time.Now()
	path := proxy.New(proxy.Config{
		Clock: func() time.Duration { return time.Since(startedAt) }, NodeID: "x", Incarnation: 1, Region: "r", Zone: "z1",
		Reported: true, Slots: 1, BackendAddress: "127.0.0.1:1", Limits: proxyLimits(&settings.Hosted{Drain: settings.HostedDrain{GraceSeconds: 10}}),
		RetryBudget: (&Daemon{}).retryLimits, Spill: spilloverLimits,
	})
	b.Cleanup(path.Close)
	path.Swap(benchSnapshot(b, 1, routes))
	return path
}

func benchSnapshot(b *testing.B, version protocol.Version, count int) *snapshot.Snapshot {
	b.Helper()
	routes := make([]resource.Route, count)
	for index := range routes {
		name := strconv.Itoa(index)
		routes[index] = resource.Route{
			Partner: authority.Owner, Name: name, Match: resource.Match{Host: "a.example", PathPrefix: "/" + name + "/"},
			Split: []resource.Destination{{Service: serviceRef("first"), Weight: 1}},
		}
	}
	services := []resource.Service{{Partner: authority.Owner, Name: "first"}, {Partner: authority.Owner, Name: "second"}}
	built, err := snapshot.FromDecoded(version, services, routes, nil)
	is.New(b).NoErr(err)
	return built
}

// emptyReplyPeer answers each push with an empty reply.
type emptyReplyPeer struct{}

func (emptyReplyPeer) HandlePeer(context.Context, control.Peer, any) (any, error) {
	return &protocol.ExchangeReply{}, nil
}

// BenchmarkPush measures the sending and receiving of a message with records, over a kept connection
// and over a new one.
func BenchmarkPush(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	server := control.NewServer(listener, nil, emptyReplyPeer{}, controlLimits(), control.NewMeter())
	server.Start()
	defer server.Close()
	push := func(client *control.Client, records []protocol.Member) {
		request := &protocol.ExchangeRequest{Format: protocol.Format, From: "a", Push: true, Members: records}
		_, err := client.Call(context.Background(), listener.Addr().String(), request)
		is.New(b).NoErr(err)
	}
	for _, records := range []int{1, 50} {
		b.Run(fmt.Sprintf("kept/%d", records), func(b *testing.B) {
			client := control.NewClient(nil, controlLimits(), control.NewMeter())
			defer client.Close()
			members := benchMembers(records)
			b.ReportAllocs()
			for b.Loop() {
				push(client, members)
			}
		})
	}
	b.Run("new/1", func(b *testing.B) {
		members := benchMembers(1)
		b.ReportAllocs()
		for b.Loop() {
			client := control.NewClient(nil, controlLimits(), control.NewMeter())
			push(client, members)
			client.Close()
		}
	})
}

// BenchmarkPublish measures the building of a view for a changed record of one daemon.
func BenchmarkPublish(b *testing.B) {
	for _, daemons := range []int{25, 74, 295, 1000} {
		b.Run(strconv.Itoa(daemons), func(b *testing.B) {
			path := benchProxy(b, 600)
			members := benchMembers(daemons)
			updates := 0
			b.ReportAllocs()
			for b.Loop() {
				members = append([]protocol.Member(nil), members...)
				members[updates%daemons].Sequence++
				path.PublishMembers(members)
				updates++
			}
		})
	}
}

// BenchmarkAdopt measures how long it takes to put a version in force, without decoding it.
func BenchmarkAdopt(b *testing.B) {
	for _, routes := range []int{600, 2200} {
		b.Run(strconv.Itoa(routes), func(b *testing.B) {
			path := benchProxy(b, routes)
			path.PublishMembers(benchMembers(295))
			version := protocol.Version(1)
			b.ReportAllocs()
			for b.Loop() {
				version++
				path.Swap(benchSnapshot(b, version, routes))
			}
		})
	}
}
