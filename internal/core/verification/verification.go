// Package verification paces the checks by which a daemon finds out whether peers that did not
// answer are reachable. Without a bound, a daemon that is itself overloaded takes many peers for lost,
// and checking them all keeps it overloaded; and a daemon that returns is checked by all others at
// once. The package does no input or output and reads no clock.
package verification

import "time"

const (
	// MaxChecks is the maximum number of peers that a daemon checks for the first time at once.
	MaxChecks = 16
	// minRecheckDelay is the shortest time between two checks of an unreachable peer.
	minRecheckDelay = 300 * time.Millisecond
	// delayPerDaemon is the part of that time for each daemon of the mesh, so that all daemons
	// together check one peer at most 200 times a second.
	delayPerDaemon = 5 * time.Millisecond
	// delayPerUnreachable is the part of that time for each unreachable peer, so that a daemon
	// checks at most 20 peers a second.
	delayPerUnreachable = 50 * time.Millisecond
	// jitterParts is the number of parts of the delay of which one is varied at random.
	jitterParts = 2
)

// Pacer bounds the checks of one daemon. It is not safe for concurrent use.
type Pacer struct {
	checks      int
	unreachable int
}

// TryBegin reports whether a first check may begin. If it returns true, EndCheck must be called at
// its end.
func (p *Pacer) TryBegin() bool {
	if p.checks >= MaxChecks {
		return false
	}
	p.checks++
	return true
}

// EndCheck ends a first check. If the peer is unreachable, it is checked again until Recovered is
// called.
func (p *Pacer) EndCheck(isReachable bool) {
	p.checks--
	if !isReachable {
		p.unreachable++
	}
}

// Recovered ends the checks of an unreachable peer.
func (p *Pacer) Recovered() { p.unreachable-- }

// RecheckDelay returns the time until the next check of an unreachable peer in a mesh of the given
// number of daemons. random is uniformly distributed.
func (p *Pacer) RecheckDelay(daemons int, random uint64) time.Duration {
	delay := max(minRecheckDelay, time.Duration(daemons)*delayPerDaemon, time.Duration(p.unreachable)*delayPerUnreachable)
	jitter := delay / jitterParts
	return delay - jitter/2 + time.Duration(random%uint64(jitter))
}
