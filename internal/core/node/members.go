package node

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// updateSelf applies a change to this daemon's own record and increments its
// sequence.
func (n *Node) updateSelf(change func(self *protocol.Member)) {
	change(&n.self)
	n.self.Sequence++
	n.roster.Merge(n.now, n.self, membership.SourceSubtree)
}

// mergeMember merges a record received from another daemon.
func (n *Node) mergeMember(member protocol.Member, source membership.Source) {
	if member.ID == n.self.ID {
		n.refuteRecord(member)
		return
	}
	if !n.roster.Merge(n.now, member, source) {
		return
	}
	if member.Parent != n.self.ID || !membership.Live(member) {
		n.removeChild(member)
	}
}

// refuteRecord handles a record of this daemon received from another. It refutes a
// suspect or dead state by a higher sequence, and a record of an earlier run of this
// daemon by a higher incarnation.
func (n *Node) refuteRecord(member protocol.Member) {
	if member.Incarnation > n.self.Incarnation {
		n.raiseIncarnation(member.Incarnation)
		return
	}
	if member.Incarnation < n.self.Incarnation || !membership.Newer(member, n.self) {
		return
	}
	n.self.Sequence = max(n.self.Sequence, member.Sequence)
	n.updateSelf(func(*protocol.Member) {})
}

// raiseIncarnation raises this daemon's incarnation above the one that a peer
// remembers, which is needed, for example, when the wall clock was set back before
// this daemon started.
func (n *Node) raiseIncarnation(remembered protocol.Incarnation) {
	if remembered < n.self.Incarnation {
		return
	}
	n.updateSelf(func(self *protocol.Member) { self.Incarnation = remembered + 1 })
	n.downstream.acksChanged = true
}

func (n *Node) handleBackendReport(state protocol.EndpointState) {
	if n.self.Endpoint == state {
		return
	}
	n.updateSelf(func(self *protocol.Member) { self.Endpoint = state })
}

// handleLeave starts draining. A draining member still serves, so it is still counted
// in acknowledgements (see membership.Live).
func (n *Node) handleLeave() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.updateSelf(func(self *protocol.Member) { self.State = protocol.MemberDraining })
	n.applyReaderOutputs(n.readerSide.reader.Resign(n.now))
}

// handleStopped marks this daemon as having left, after it has stopped serving.
func (n *Node) handleStopped() {
	n.leaving = true
	n.updateSelf(func(self *protocol.Member) { self.State = protocol.MemberLeft })
}

// publishMembers passes the newest records to the data path, at most once per
// publishInterval.
func (n *Node) publishMembers() {
	if n.publishedCursor == n.roster.Cursor() || (n.publishedCursor > 0 && n.now-n.publishedAt < publishInterval) {
		return
	}
	n.publishedCursor = n.roster.Cursor()
	n.publishedAt = n.now
	n.emit(PublishMembers{Members: n.roster.All()})
}

// suspectAfter returns the time without a fetch after which a child is suspect.
// The data path then prefers other daemons; the child is still counted in
// acknowledgements.
func (n *Node) suspectAfter() time.Duration {
	return n.config.Timing.FetchWait + n.config.Timing.ServingLease/2
}

// updateSilentMembers marks the members that this daemon monitors as suspect or dead when
// they have been silent for too long.
func (n *Node) updateSilentMembers() {
	if _, known := n.floor(); !known {
		return
	}
	n.roster.Each(func(member protocol.Member) {
		if member.ID != n.self.ID && membership.Live(member) && n.monitors(member) {
			n.updateLiveness(member)
		}
	})
}

// monitors reports whether this daemon monitors a member: a parent monitors its
// children, and the root monitors members whose parent is unknown or not live.
//
// Marking a live member as dead does not make a wrong version in force: the member
// is still counted below its parent, so the aggregated counts differ from the
// roster, and no version is declared in force until the member refutes the state.
func (n *Node) monitors(member protocol.Member) bool {
	if member.Parent == n.self.ID {
		return true
	}
	if !n.root.active || member.Region != n.config.Region {
		return false
	}
	parent, found := n.roster.Get(member.Parent)
	return !found || !membership.Live(parent)
}

func (n *Node) updateLiveness(member protocol.Member) {
	silentFor := n.now - n.lastContact(member.ID)
	switch {
	case silentFor > n.config.Timing.DeadAfter:
		member.State = protocol.MemberDead
		n.roster.Merge(n.now, member, membership.SourceSubtree)
		n.removeChild(member)
		n.log("member_dead", LogField{Key: "member", Value: string(member.ID)})
	case silentFor > n.suspectAfter() && member.State == protocol.MemberAlive && member.Parent == n.self.ID:
		member.State = protocol.MemberSuspect
		n.roster.MergeKeepingChangedAt(n.now, member, membership.SourceSubtree)
		n.log("member_suspect", LogField{Key: "member", Value: string(member.ID)})
	}
}

// lastContact returns the latest of a member's last fetch, if it is a child, the
// last change of its record, and the time from which on this daemon could observe
// it.
func (n *Node) lastContact(id protocol.NodeID) time.Duration {
	contact := max(n.roster.ChangedAt(id), n.start.readyAt)
	if n.root.active {
		contact = max(contact, n.root.activeSince)
	}
	if child, found := n.downstream.children[id]; found {
		contact = max(contact, child.fetchedAt)
	}
	return contact
}

// startingPeers holds the senders of floor requests and the daemons listed in the
// replies, which may not have joined yet. They are listed to other starting daemons,
// but not counted as members.
type startingPeers struct {
	list []startingPeer
}

type startingPeer struct {
	member protocol.Member
	seenAt time.Duration
}

// The limits of startingPeers.
const (
	maxStartingPeers   = 256
	startingPeerExpiry = 20 * time.Second
)

func (p *startingPeers) record(now time.Duration, member protocol.Member) {
	if member.ID == "" {
		return
	}
	for i := range p.list {
		if p.list[i].member.ID == member.ID {
			p.list[i] = startingPeer{member: member, seenAt: now}
			return
		}
	}
	if len(p.list) == maxStartingPeers {
		p.list = slices.Delete(p.list, 0, 1)
	}
	p.list = append(p.list, startingPeer{member: member, seenAt: now})
}

// topRanked returns the recorded daemons that rank first as readers of a region.
// The others need not be listed: a daemon that ranks below these does not contact
// the platform.
func (p *startingPeers) topRanked(region string) []protocol.Member {
	var members []protocol.Member
	for _, peer := range p.list {
		if peer.member.Region == region {
			members = append(members, peer.member)
		}
	}
	ranked := membership.Rank(readerPurpose(region), members)
	return ranked[:min(len(ranked), maxCandidates)]
}

func (p *startingPeers) expire(now time.Duration) {
	kept := p.list[:0]
	for _, peer := range p.list {
		if now-peer.seenAt <= startingPeerExpiry {
			kept = append(kept, peer)
		}
	}
	p.list = kept
}

// withClockMargin returns a lease duration plus a margin for clocks that run at
// different rates.
func withClockMargin(lease time.Duration) time.Duration { return distribution.LeaseWithMargin(lease) }
