package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

// TestJoinTakesANewSequence: greetings carry the own record while a parent is
// asked, so the record that names the parent must not share their sequence.
func TestJoinTakesANewSequence(t *testing.T) {
	is := is.New(t)
	n := New(Config{ID: "child", Region: "windhoek", Zone: "klein-hall", Timing: DefaultTiming()})
	n.fetchFrom(protocol.Member{ID: "parent", ControlAddress: "10.0.0.1:7000"})
	greeting := n.self
	n.join()
	is.Equal(n.self.Parent, protocol.NodeID("parent"))
	is.True(n.self.Sequence > greeting.Sequence)
}
