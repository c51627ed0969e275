package dissemination

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// Batch gathers the daemons whose records are to be broadcast. What comes after a
// quiet time is sent at once; after that, one broadcast a period carries all that
// came meanwhile. It is not safe for concurrent use.
type Batch struct {
	period  time.Duration
	pending map[protocol.NodeID]bool
	// due is when the next broadcast may be sent.
	due time.Duration
	// scheduled is set while a broadcast is waited for.
	scheduled bool
}

// NewBatch returns an empty batch with the least time between two broadcasts.
func NewBatch(period time.Duration) *Batch {
	return &Batch{period: period, pending: map[protocol.NodeID]bool{}}
}

// Add notes daemons whose records are news. It answers true when a broadcast has
// to be scheduled, and how long it must wait; otherwise one is scheduled already
// or there is nothing to send.
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

// Take returns what is to be broadcast now, in ascending order of id, and begins
// a new period.
func (b *Batch) Take(now time.Duration) []protocol.NodeID {
	ids := make([]protocol.NodeID, 0, len(b.pending))
	for id := range b.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	clear(b.pending)
	b.scheduled = false
	b.due = now + b.period
	return ids
}
