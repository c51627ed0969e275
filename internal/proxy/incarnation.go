package proxy

import (
	"slices"
	"strconv"
	"sync/atomic"

	"github.com/springstack/springstack/internal/core/protocol"
)

// incarnations are the numbers that this process has gone by. The node starts
// with the one of its configuration and takes a higher one when a peer
// remembers it; calls chosen by either are meant for this process, and those
// for any other number are meant for an earlier one.
type ownIncarnations struct {
	known atomic.Pointer[[]protocol.Incarnation]
}

// add notes a number that the node goes by. One goroutine adds at a time.
func (i *ownIncarnations) add(incarnation protocol.Incarnation) {
	known := i.known.Load()
	if known == nil {
		i.known.Store(&[]protocol.Incarnation{incarnation})
		return
	}
	if slices.Contains(*known, incarnation) {
		return
	}
	longer := append(slices.Clone(*known), incarnation)
	i.known.Store(&longer)
}

// learn notes the number in the node's own member record.
func (i *ownIncarnations) addFromMembers(self protocol.NodeID, members []protocol.Member) {
	for _, member := range members {
		if member.ID == self {
			i.add(member.Incarnation)
		}
	}
}

// include reports whether a call's header names one of them.
func (i *ownIncarnations) contains(header string) bool {
	incarnation, err := strconv.ParseUint(header, 10, 64)
	return err == nil && slices.Contains(*i.known.Load(), protocol.Incarnation(incarnation))
}
