// Package bytebudget limits the bytes that many holders keep in memory together.
package bytebudget

import "sync/atomic"

// Budget counts the bytes in use and limits them. It may be used from several goroutines.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns an unused budget with a limit in bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// IsExhausted reports whether the reserved bytes have reached the limit.
func (b *Budget) IsExhausted() bool { return b.used.Load() >= b.limit }

// TryReserve reserves bytes if the limit allows it.
func (b *Budget) TryReserve(count int64) bool { return b.tryReserveWithin(count, b.limit) }

// TryReserveShare reserves bytes if all reserved bytes are then at most the given share of the limit.
// The rest of the limit is thus left to calls of TryReserve.
func (b *Budget) TryReserveShare(count int64, share float64) bool {
	return b.tryReserveWithin(count, int64(share*float64(b.limit)))
}

func (b *Budget) tryReserveWithin(count, limit int64) bool {
	if b.used.Add(count) <= limit {
		return true
	}
	b.Release(count)
	return false
}

// Reserve reserves bytes that are in memory already, even above the limit.
func (b *Budget) Reserve(count int64) { b.used.Add(count) }

// Release returns reserved bytes.
func (b *Budget) Release(count int64) { b.used.Add(-count) }
