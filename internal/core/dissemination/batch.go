package dissemination

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// Batch collects the IDs of daemons whose records are to be broadcast. After an idle
// period the first broadcast is due at once; later ones are at least minInterval apart
// and carry all IDs added in the meantime. It is not safe for concurrent use.
type Batch struct {
	minInterval time.Duration
	pending     map[protocol.NodeID]bool
	// due is the earliest time of the next broadcast.
	due time.Duration
	// scheduled is set while a broadcast is scheduled.
	scheduled bool
}

// NewBatch returns an empty batch. minInterval is the minimum time between two broadcasts.
func NewBatch(minInterval time.Duration) *Batch {
	return &Batch{minInterval: minInterval, pending: map[protocol.NodeID]bool{}}
}

// Add adds the IDs of daemons whose records changed. If schedule is true, the caller
// must schedule a broadcast after wait. Otherwise one is already scheduled or there is
// nothing to send.
func (b *Batch) Add(now time.Duration, ids ...protocol.NodeID) (wait time.Duration, schedule bool) {
	for _, id := range ids {
		b.pending[id] = true
	}
	if len(b.pending) == 0 || b.scheduled {
		return 0, false
	}
	b.scheduled = true
	return max(0, b.due-now), true
}

// Take empties the batch, restarts minInterval and returns the IDs to broadcast now, in
// ascending order.
func (b *Batch) Take(now time.Duration) []protocol.NodeID {
	ids := make([]protocol.NodeID, 0, len(b.pending))
	for id := range b.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	clear(b.pending)
	b.scheduled = false
	b.due = now + b.minInterval
	return ids
}
