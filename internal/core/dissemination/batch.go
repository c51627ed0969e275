package dissemination

import (
	"cmp"
	"slices"
	"time"
)

// Batch collects the keys of records that are to be broadcast, such as the IDs of daemons. After an
// idle period the first broadcast is due at once; later ones are at least minInterval apart
// and carry all keys added in the meantime. It is not safe for concurrent use.
type Batch[Key cmp.Ordered] struct {
	minInterval time.Duration
	pending     map[Key]bool
	// due is the earliest time of the next broadcast.
	due time.Duration
	// scheduled is set while a broadcast is scheduled.
	scheduled bool
}

// NewBatch returns an empty batch. minInterval is the minimum time between two broadcasts.
func NewBatch[Key cmp.Ordered](minInterval time.Duration) *Batch[Key] {
	return &Batch[Key]{minInterval: minInterval, pending: map[Key]bool{}}
}

// Add adds the keys of records that changed. If schedule is true, the caller
// must schedule a broadcast after wait. Otherwise one is already scheduled or there is
// nothing to send.
func (b *Batch[Key]) Add(now time.Duration, keys ...Key) (wait time.Duration, schedule bool) {
	for _, key := range keys {
		b.pending[key] = true
	}
	if len(b.pending) == 0 || b.scheduled {
		return 0, false
	}
	b.scheduled = true
	return max(0, b.due-now), true
}

// Take empties the batch, restarts minInterval and returns the keys to broadcast now, in
// ascending order.
func (b *Batch[Key]) Take(now time.Duration) []Key {
	keys := make([]Key, 0, len(b.pending))
	for key := range b.pending {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	clear(b.pending)
	b.scheduled = false
	b.due = now + b.minInterval
	return keys
}
