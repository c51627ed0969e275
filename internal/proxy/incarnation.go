package proxy

import (
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/springstack/springstack/internal/core/protocol"
)

// ownIncarnations are the incarnation numbers that this process has used. The node starts with the
// configured one and adopts a higher one when a peer remembers that one. Calls for either number
// are meant for this process; calls for any other number are meant for an earlier one.
type ownIncarnations struct {
	known atomic.Pointer[[]protocol.Incarnation]
}

// add adds a number that the node uses. It must not be called concurrently.
func (i *ownIncarnations) add(incarnation protocol.Incarnation) {
	known := i.known.Load()
	if known == nil {
		i.known.Store(&[]protocol.Incarnation{incarnation})
		return
	}
	if slices.Contains(*known, incarnation) {
		return
	}
	extended := append(slices.Clone(*known), incarnation)
	i.known.Store(&extended)
}

// addFromMembers adds the number in the node's own member record.
func (i *ownIncarnations) addFromMembers(self protocol.NodeID, members []protocol.Member) {
	for _, member := range members {
		if member.ID == self {
			i.add(member.Incarnation)
		}
	}
}

// contains reports whether a call's header names one of the numbers.
func (i *ownIncarnations) contains(header string) bool {
	incarnation, err := strconv.ParseUint(header, 10, 64)
	return err == nil && slices.Contains(*i.known.Load(), protocol.Incarnation(incarnation))
}
