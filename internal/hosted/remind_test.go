package hosted

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/protocol"
)

// recordingPeer keeps the records that it is sent.
type recordingPeer struct{ received chan protocol.Member }

func (r recordingPeer) HandlePeer(_ context.Context, _ control.Peer, body any) (any, error) {
	if request, typed := body.(*protocol.ExchangeRequest); typed {
		for _, member := range request.Members {
			r.received <- member
		}
	}
	return &protocol.ExchangeReply{}, nil
}

// A daemon that has started again asks one peer, which may not have heard what the earlier
// start had acknowledged. Those that have tell it.
func TestPeerSendsForgottenDrainToRestartedDaemon(t *testing.T) {
	expectDrainNotice(t, "z1")
}

// Its zone may have nobody who has heard of that: then the relays of other zones tell it.
func TestRelayOfOtherZoneSendsForgottenDrain(t *testing.T) {
	expectDrainNotice(t, "z2")
}

// expectReminder wants a daemon of a zone to tell one of z1 that has started again of its drain.
func expectDrainNotice(t *testing.T, zone string) {
	t.Helper()
	check := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	peer := recordingPeer{received: make(chan protocol.Member, 9)}
	server := control.NewServer(listener, nil, peer, controlLimits(), control.NewMeter())
	server.Start()
	t.Cleanup(server.Close)

	before := aliveMember("a", "z1")
	before.ControlAddress = listener.Addr().String()
	before.Backend, before.Endpoint = "i", protocol.EndpointDraining
	held := newTestMesh(zone, before)
	held.onPeerVersion = func(protocol.NodeID, protocol.Version) {}
	ctx, cancel := context.WithCancel(context.Background())
	held.context = ctx
	held.client = control.NewClient(nil, controlLimits(), control.NewMeter())
	t.Cleanup(func() {
		cancel()
		held.client.Close()
		held.running.Wait()
	})
	started := before
	started.Incarnation++
	started.Backend, started.Endpoint = "", protocol.EndpointNone
	held.mergeCompared("z1", []protocol.Member{started})
	select {
	case told := <-peer.received:
		check.Equal(told.Backend, "i")
		check.Equal(told.Endpoint, protocol.EndpointDraining)
		check.Equal(told.Incarnation, before.Incarnation)
	case <-time.After(5 * time.Second):
		t.Fatal("never told")
	}
}

// Only a start that does not know is told: not one that still drains, nor one that has another
// back end, nor a later record of the same start.
func TestIsUnawareOfDrain(t *testing.T) {
	check := is.New(t)
	remembered := aliveMember("a", "z1")
	remembered.Backend, remembered.Endpoint = "i", protocol.EndpointDraining
	restarted := remembered
	restarted.Incarnation++
	check.True(!isUnawareOfDrain(remembered, restarted)) // it drains
	restarted.Endpoint = protocol.EndpointReady
	check.True(isUnawareOfDrain(remembered, restarted))
	restarted.Born = remembered.Born - 1 // a heartbeat that came late
	check.True(isUnawareOfDrain(remembered, restarted))
	restarted.Born = remembered.Born + 1 // its back end has started again as well
	check.True(!isUnawareOfDrain(remembered, restarted))
	restarted.Born = remembered.Born
	restarted.Backend = "another"
	check.True(!isUnawareOfDrain(remembered, restarted))
	later := remembered
	later.Sequence++
	later.Endpoint = protocol.EndpointReady
	check.True(!isUnawareOfDrain(remembered, later))
	ready := remembered
	ready.Endpoint = protocol.EndpointReady
	check.True(!isUnawareOfDrain(ready, restarted))
}

// What peers remember of a drain is of one start of the back end.
func TestDrainIsResumedForBackendStartInPeerRecord(t *testing.T) {
	check := is.New(t)
	held := newTestMesh("z1")
	var resumed []protocol.BackendStart
	held.restoreDraining = func(start protocol.BackendStart) { resumed = append(resumed, start) }
	earlier := held.self
	earlier.Incarnation--
	earlier.Backend, earlier.Born, earlier.Endpoint = "i", 100, protocol.EndpointDraining
	held.mergeCompared("z1", []protocol.Member{earlier})
	check.Equal(resumed, []protocol.BackendStart{{Instance: "i", Born: 100}})
}

// Guards against a drain that is forgotten by a start whose clock stands back, so that peers
// remember an incarnation above its own.
func TestDrainIsResumedAfterClockWasSetBack(t *testing.T) {
	check := is.New(t)
	held := newTestMesh("z1")
	var resumed []protocol.BackendStart
	held.restoreDraining = func(start protocol.BackendStart) { resumed = append(resumed, start) }
	earlier := held.self
	earlier.Incarnation += 1000
	earlier.Backend, earlier.Born, earlier.Endpoint = "i", 100, protocol.EndpointDraining
	held.mergeCompared("z1", []protocol.Member{earlier})
	check.Equal(resumed, []protocol.BackendStart{{Instance: "i", Born: 100}})
	check.True(held.self.Incarnation > earlier.Incarnation)
	own := held.self
	own.Endpoint = protocol.EndpointDraining
	held.mergeCompared("z1", []protocol.Member{own})
	check.Equal(len(resumed), 1) // an echo of its own record tells nothing
}

func TestOwnRecordContainsBackendStart(t *testing.T) {
	check := is.New(t)
	held := newTestMesh("z1")
	held.announceBackend(backend.View{
		Start: protocol.BackendStart{Instance: "i", Born: 100}, Slots: 6, State: protocol.EndpointReady,
	})
	known, _ := held.roster.Get("m")
	check.Equal(known.BackendStart(), protocol.BackendStart{Instance: "i", Born: 100})
}
