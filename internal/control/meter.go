package control

import (
	"sync"
	"sync/atomic"
)

// Traffic counts bytes and frames of one kind.
type Traffic struct {
	BytesIn   uint64
	BytesOut  uint64
	FramesIn  uint64
	FramesOut uint64
}

// counters is the atomic form of Traffic.
type counters struct {
	bytesIn   atomic.Uint64
	bytesOut  atomic.Uint64
	framesIn  atomic.Uint64
	framesOut atomic.Uint64
}

func (c *counters) received(bytes int) {
	c.bytesIn.Add(uint64(bytes))
	c.framesIn.Add(1)
}

func (c *counters) sent(bytes int) {
	c.bytesOut.Add(uint64(bytes))
	c.framesOut.Add(1)
}

func (c *counters) traffic() Traffic {
	return Traffic{
		BytesIn:   c.bytesIn.Load(),
		BytesOut:  c.bytesOut.Load(),
		FramesIn:  c.framesIn.Load(),
		FramesOut: c.framesOut.Load(),
	}
}

// Meter counts the control bytes of one daemon: frames as they are written to
// and read from connections, compressed, frame headers included, TLS and TCP
// overhead excluded. It is safe for use by many goroutines.
type Meter struct {
	kinds sync.Map // Kind to *counters
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter { return &Meter{} }

// ByKind returns the traffic of each kind seen.
func (m *Meter) ByKind() map[Kind]Traffic {
	traffic := make(map[Kind]Traffic)
	m.kinds.Range(func(key, value any) bool {
		traffic[key.(Kind)] = value.(*counters).traffic()
		return true
	})
	return traffic
}

func (m *Meter) kind(kind Kind) *counters {
	found, ok := m.kinds.Load(kind)
	if !ok {
		found, _ = m.kinds.LoadOrStore(kind, &counters{})
	}
	return found.(*counters)
}

func (m *Meter) received(kind Kind, bytes int) { m.kind(kind).received(bytes) }

func (m *Meter) sent(kind Kind, bytes int) { m.kind(kind).sent(bytes) }
