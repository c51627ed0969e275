package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

// TestJoinIncrementsTheSequence guards against two records with one sequence: probes
// carry the daemon's own record while a fetch to a new parent is in flight, so the
// record that names the parent must have a higher sequence.
func TestJoinIncrementsTheSequence(t *testing.T) {
	is := is.New(t)
	n := New(Config{ID: "child", Region: "windhoek", Zone: "klein-hall", Timing: DefaultTiming()})
	n.fetchFrom(protocol.Member{ID: "parent", ControlAddress: "10.0.0.1:7000"})
	probed := n.self
	n.join()
	is.Equal(n.self.Parent, protocol.NodeID("parent"))
	is.True(n.self.Sequence > probed.Sequence)
}
