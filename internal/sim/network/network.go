// Package network is the simulator's faulty network: it delays, reorders,
// duplicates and loses messages, and cuts regions, zones and single daemons
// off, in one direction or both.
package network

import (
	"time"

	"github.com/springstack/springstack/internal/sim/timeline"
)

// Place is where an end of a call stands.
type Place struct {
	Region string
	Zone   string
	// Node is the daemon's slot; -1 for operators, callers and the platform.
	Node int
}

// Faults are the random faults of each message.
type Faults struct {
	// Loss and Duplicate are probabilities for one message.
	Loss      float64
	Duplicate float64
	// ExtraDelay is the most that a message is delayed beyond its latency.
	// Messages overtake each other by it.
	ExtraDelay time.Duration
}

// Latencies within a zone, between zones of a region and between regions.
const (
	zoneLatency   = 200 * time.Microsecond
	regionLatency = 1500 * time.Microsecond
	worldLatency  = 40 * time.Millisecond
)

// cut blocks messages from one group of places to another; an empty zone and
// a node of -1 match all.
type cut struct {
	from, to Place
}

// Network carries messages between places.
type Network struct {
	timeline *timeline.Timeline
	faults   Faults
	cuts     []cut
	// exact holds the cuts between two single daemons.
	exact  map[cut]bool
	counts Counts
}

// Counts tells what the network did.
type Counts struct {
	Sent       int
	Lost       int
	Duplicated int
	Blocked    int
}

// New returns a network without faults.
func New(line *timeline.Timeline) *Network {
	return &Network{timeline: line, exact: map[cut]bool{}}
}

// SetFaults replaces the random faults.
func (n *Network) SetFaults(faults Faults) { n.faults = faults }

// Cut blocks messages from one group of places to another. In a group an
// empty Region or Zone and a Node of -1 match all.
func (n *Network) Cut(from, to Place) {
	if from.Node >= 0 && to.Node >= 0 {
		n.exact[cut{from: from, to: to}] = true
		return
	}
	n.cuts = append(n.cuts, cut{from: from, to: to})
}

// Heal removes all cuts.
func (n *Network) Heal() {
	n.cuts = nil
	clear(n.exact)
}

// Counts returns what the network did so far.
func (n *Network) Counts() Counts { return n.counts }

// Send carries one message. It calls deliver after the delay, not at all, or
// twice. It reports whether at least one copy is on its way; only the
// simulator's own book-keeping may look at that.
func (n *Network) Send(from, to Place, deliver func()) bool {
	if !n.SendOnce(from, to, deliver) {
		return false
	}
	if n.timeline.Chance(n.faults.Duplicate) {
		n.counts.Duplicated++
		n.timeline.After(n.delay(from, to), deliver)
	}
	return true
}

// SendOnce carries one message of a protocol that never delivers twice, such
// as HTTP over TCP.
func (n *Network) SendOnce(from, to Place, deliver func()) bool {
	n.counts.Sent++
	if n.Blocked(from, to) {
		n.counts.Blocked++
		return false
	}
	if n.timeline.Chance(n.faults.Loss) {
		n.counts.Lost++
		return false
	}
	n.timeline.After(n.delay(from, to), deliver)
	return true
}

// Blocked reports whether a cut lies between two places.
func (n *Network) Blocked(from, to Place) bool {
	if len(n.exact) > 0 && n.exact[cut{from: from, to: to}] {
		return true
	}
	for _, cut := range n.cuts {
		if covers(cut.from, from) && covers(cut.to, to) && from != to {
			return true
		}
	}
	return false
}

func (n *Network) delay(from, to Place) time.Duration {
	base := Latency(from, to)
	return base + n.timeline.Between(0, base/4) + n.timeline.Between(0, n.faults.ExtraDelay)
}

// Latency returns the one-way latency between two places without faults.
func Latency(from, to Place) time.Duration {
	switch {
	case from.Region != to.Region:
		return worldLatency
	case from.Zone != to.Zone:
		return regionLatency
	default:
		return zoneLatency
	}
}

// covers reports whether a group of places includes one place.
func covers(group, place Place) bool {
	if group.Region != "" && group.Region != place.Region {
		return false
	}
	if group.Zone != "" && group.Zone != place.Zone {
		return false
	}
	return group.Node < 0 || group.Node == place.Node
}
