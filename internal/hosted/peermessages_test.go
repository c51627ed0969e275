package hosted

import (
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quarantine"
)

// Requests between daemons are counted by what they carry, so that the metrics show which kind grows.
func TestPeerMessagesAreCountedByKind(t *testing.T) {
	check := is.New(t)
	mesh := newTestMesh("z")
	mesh.onPeerVersion = func(protocol.NodeID, protocol.Version) {}
	for _, request := range []protocol.ExchangeRequest{
		{Push: true},
		{Push: true, Members: []protocol.Member{aliveMember("other", "z")}},
		{Push: true, Harmful: []quarantine.Record{harmfulRecord(1)}, Members: []protocol.Member{aliveMember("other", "z")}},
		{},
	} {
		request.Format = protocol.Format
		_, err := mesh.HandlePeer(t.Context(), control.Peer{}, &request)
		check.NoErr(err)
	}
	for _, kind := range []messageKind{messageNotice, messagePush, messageHarmful, messageComparison} {
		check.Equal(mesh.messages.received[kind].Load(), uint64(1))
	}
	check.Equal(mesh.messages.received[messageDocument].Load(), uint64(0))
}
