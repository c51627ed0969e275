package control

import (
	"sync"
	"sync/atomic"
)

// maxMeteredPeers bounds the per-peer counters; bytes of later peers are
// counted in the totals and by kind only.
const maxMeteredPeers = 4096

// Traffic counts bytes and frames of one peer or kind.
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
	total  counters
	kinds  sync.Map // Kind to *counters
	peers  sync.Map // string to *counters
	tracks atomic.Int64
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter { return &Meter{} }

// Total returns all traffic.
func (m *Meter) Total() Traffic { return m.total.traffic() }

// ByKind returns the traffic of each kind seen.
func (m *Meter) ByKind() map[Kind]Traffic {
	traffic := make(map[Kind]Traffic)
	m.kinds.Range(func(key, value any) bool {
		traffic[key.(Kind)] = value.(*counters).traffic()
		return true
	})
	return traffic
}

// ByPeer returns the traffic with each peer: by dialled address for calls made
// and by remote IP for calls taken.
func (m *Meter) ByPeer() map[string]Traffic {
	traffic := make(map[string]Traffic)
	m.peers.Range(func(key, value any) bool {
		traffic[key.(string)] = value.(*counters).traffic()
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

// peer returns the counters of a peer, or nil when too many are tracked.
func (m *Meter) peer(name string) *counters {
	found, ok := m.peers.Load(name)
	if ok {
		return found.(*counters)
	}
	if m.tracks.Add(1) > maxMeteredPeers {
		m.tracks.Add(-1)
		return nil
	}
	found, loaded := m.peers.LoadOrStore(name, &counters{})
	if loaded {
		m.tracks.Add(-1)
	}
	return found.(*counters)
}

func (m *Meter) received(peer *counters, kind Kind, bytes int) {
	m.total.received(bytes)
	m.kind(kind).received(bytes)
	if peer != nil {
		peer.received(bytes)
	}
}

func (m *Meter) sent(peer *counters, kind Kind, bytes int) {
	m.total.sent(bytes)
	m.kind(kind).sent(bytes)
	if peer != nil {
		peer.sent(bytes)
	}
}
