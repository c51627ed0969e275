package ledger_test

import (
	"bytes"
	"testing"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/protocol"
)

// FuzzDecode checks that decoding never panics, and that a decoded head encodes
// to bytes that decode and encode to the same bytes again.
func FuzzDecode(f *testing.F) {
	c := newChain(f)
	f.Add(ledger.Encode(c.head))
	c.submit("a/f", service("s"))
	c.submit("a/r", route("r", "later"))
	f.Add(ledger.Encode(c.head))
	sets := []protocol.KeeperSet{{Region: "accra", Members: []protocol.KeeperMember{{ID: "n1", ControlAddress: "10.0.0.1:1"}}, Write: 1, Read: 1}}
	f.Add(ledger.Encode(ledger.SetKeepers(c.head, sets, c.now, 2)))
	f.Fuzz(func(t *testing.T, data []byte) {
		head, err := ledger.Decode(data)
		if err != nil {
			return
		}
		encoded := ledger.Encode(head)
		again, err := ledger.Decode(encoded)
		if err != nil || !bytes.Equal(ledger.Encode(again), encoded) {
			t.Fatalf("%v: got %q after another round trip, want %q", err, ledger.Encode(again), encoded)
		}
	})
}
