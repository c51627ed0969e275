package proxy

import (
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/springstack/springstack/internal/core/protocol"
)

// ownIncarnations are the incarnation numbers that this process has used. The node starts with the
// configured number and adopts a higher number if a peer remembers the node by it. Calls for any
// of these numbers are meant for this process; calls for another number are meant for an earlier
// process.
type ownIncarnations struct {
	numbers atomic.Pointer[[]protocol.Incarnation]
}

// add adds a number that the node uses. It must not be called concurrently.
func (i *ownIncarnations) add(incarnation protocol.Incarnation) {
	known := i.numbers.Load()
	if known == nil {
		i.numbers.Store(&[]protocol.Incarnation{incarnation})
		return
	}
	if slices.Contains(*known, incarnation) {
		return
	}
	extended := append(slices.Clone(*known), incarnation)
	i.numbers.Store(&extended)
}

// addFromMembers adds the number in the node's own member record.
func (i *ownIncarnations) addFromMembers(self protocol.NodeID, members []protocol.Member) {
	for _, member := range members {
		if member.ID == self {
			i.add(member.Incarnation)
		}
	}
}

// contains reports whether the incarnation number in a call's header is one of the numbers.
func (i *ownIncarnations) contains(header string) bool {
	incarnation, err := strconv.ParseUint(header, 10, 64)
	return err == nil && slices.Contains(*i.numbers.Load(), protocol.Incarnation(incarnation))
}
