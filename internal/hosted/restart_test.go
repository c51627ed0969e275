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

// recordingPeer is a peer that passes the records that it receives to a channel.
type recordingPeer struct{ received chan protocol.Member }

func (r recordingPeer) HandlePeer(_ context.Context, _ control.Peer, body any) (any, error) {
	if request, isExchange := body.(*protocol.ExchangeRequest); isExchange {
		for _, member := range request.Members {
			r.received <- member
		}
	}
	return &protocol.ExchangeReply{}, nil
}

// A restarted daemon compares records with one peer, which possibly does not know of the drain that
// the earlier start acknowledged. Peers that know of the drain must send its record.
func TestPeerSendsForgottenDrainToRestartedDaemon(t *testing.T) {
	expectDrainNotice(t, "z1")
}

// If no daemon in the zone of the restarted daemon knows of the drain, the relays of other zones must
// send its record.
func TestRelayOfOtherZoneSendsForgottenDrain(t *testing.T) {
	expectDrainNotice(t, "z2")
}

// expectDrainNotice checks that a daemon of the given zone notifies a restarted daemon of zone z1 of
// its earlier drain.
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
	m := newTestMesh(zone, before)
	m.onPeerVersion = func(protocol.NodeID, protocol.Version) {}
	ctx, cancel := context.WithCancel(context.Background())
	m.context = ctx
	m.client = control.NewClient(nil, controlLimits(), control.NewMeter())
	t.Cleanup(func() {
		cancel()
		m.client.Close()
		m.running.Wait()
	})
	started := before
	started.Incarnation++
	started.Backend, started.Endpoint = "", protocol.EndpointNone
	m.mergeCompared("z1", []protocol.Member{started})
	select {
	case received := <-peer.received:
		check.Equal(received.Backend, "i")
		check.Equal(received.Endpoint, protocol.EndpointDraining)
		check.Equal(received.Incarnation, before.Incarnation)
	case <-time.After(5 * time.Second):
		t.Fatal("the restarted daemon was not notified of its drain")
	}
}

// A restarted daemon is aware of the drain if its own record is draining. It need not know of the
// drain if its back end is another instance or a later start. A later record of the same start is no
// restart.
func TestIsUnawareOfDrain(t *testing.T) {
	check := is.New(t)
	remembered := aliveMember("a", "z1")
	remembered.Backend, remembered.Endpoint = "i", protocol.EndpointDraining
	restarted := remembered
	restarted.Incarnation++
	check.True(!isUnawareOfDrain(remembered, restarted)) // the restarted daemon is draining
	restarted.Endpoint = protocol.EndpointReady
	check.True(isUnawareOfDrain(remembered, restarted))
	restarted.Born = remembered.Born - 1 // from a delayed heartbeat of an earlier start
	check.True(isUnawareOfDrain(remembered, restarted))
	restarted.Born = remembered.Born + 1 // its back end has restarted as well
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

// A remembered drain applies to one start of the back end, which the record identifies.
func TestDrainIsResumedForBackendStartInPeerRecord(t *testing.T) {
	check := is.New(t)
	m := newTestMesh("z1")
	var resumed []protocol.BackendStart
	m.restoreDraining = func(start protocol.BackendStart) { resumed = append(resumed, start) }
	earlier := m.self
	earlier.Incarnation--
	earlier.Backend, earlier.Born, earlier.Endpoint = "i", 100, protocol.EndpointDraining
	m.mergeCompared("z1", []protocol.Member{earlier})
	check.Equal(resumed, []protocol.BackendStart{{Instance: "i", Born: 100}})
}

// Guards against a lost drain if the clock was set back before the restart, so that peers remember
// an incarnation above the daemon's own.
func TestDrainIsResumedAfterClockWasSetBack(t *testing.T) {
	check := is.New(t)
	m := newTestMesh("z1")
	var resumed []protocol.BackendStart
	m.restoreDraining = func(start protocol.BackendStart) { resumed = append(resumed, start) }
	earlier := m.self
	earlier.Incarnation += 1000
	earlier.Backend, earlier.Born, earlier.Endpoint = "i", 100, protocol.EndpointDraining
	m.mergeCompared("z1", []protocol.Member{earlier})
	check.Equal(resumed, []protocol.BackendStart{{Instance: "i", Born: 100}})
	check.True(m.self.Incarnation > earlier.Incarnation)
	own := m.self
	own.Endpoint = protocol.EndpointDraining
	m.mergeCompared("z1", []protocol.Member{own})
	check.Equal(len(resumed), 1) // the record of the daemon's present start resumes no drain
}

func TestOwnRecordContainsBackendStart(t *testing.T) {
	check := is.New(t)
	m := newTestMesh("z1")
	m.announceBackend(backend.View{
		Start: protocol.BackendStart{Instance: "i", Born: 100}, Slots: 6, State: protocol.EndpointReady,
	})
	known, _ := m.roster.Get("m")
	check.Equal(known.BackendStart(), protocol.BackendStart{Instance: "i", Born: 100})
}

// A remembered call rate applies to one start of the back end, which the record identifies.
func TestCallRateIsRestoredForBackendStartInPeerRecord(t *testing.T) {
	check := is.New(t)
	m := newTestMesh("z1")
	rates := map[protocol.BackendStart]float64{}
	m.restoreCallRate = func(start protocol.BackendStart, perSecond float64) { rates[start] = perSecond }
	earlier := m.self
	earlier.Incarnation--
	earlier.Backend, earlier.Born, earlier.CallRate = "i", 100, 5.3
	m.mergeCompared("z1", []protocol.Member{earlier})
	check.Equal(rates, map[protocol.BackendStart]float64{{Instance: "i", Born: 100}: 5.3})
}
