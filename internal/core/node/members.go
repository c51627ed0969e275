package node

import (
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/distribution"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// changeSelf changes this daemon's own record under the next sequence.
func (n *Node) changeSelf(change func(self *protocol.Member)) {
	change(&n.self)
	n.self.Sequence++
	n.roster.Merge(n.now, n.self, membership.SourceSubtree)
}

// heardMember merges a record heard from elsewhere.
func (n *Node) heardMember(member protocol.Member, source membership.Source) {
	if member.ID == n.self.ID {
		n.heardOfSelf(member)
		return
	}
	if !n.roster.Merge(n.now, member, source) {
		return
	}
	if member.Parent != n.self.ID || !membership.Live(member) {
		n.childMoved(member)
	}
}

// heardOfSelf refutes what others say of this daemon: a sequence above the one
// heard wins over suspicion and death, and an incarnation above a remembered
// one over an earlier life.
func (n *Node) heardOfSelf(member protocol.Member) {
	if member.Incarnation > n.self.Incarnation {
		n.raiseIncarnation(member.Incarnation)
		return
	}
	if member.Incarnation < n.self.Incarnation || !membership.Newer(member, n.self) {
		return
	}
	n.self.Sequence = max(n.self.Sequence, member.Sequence)
	n.changeSelf(func(*protocol.Member) {})
}

// raiseIncarnation starts a life above one that a peer remembers, for example
// because the wall clock stood back when this daemon started.
func (n *Node) raiseIncarnation(remembered protocol.Incarnation) {
	if remembered < n.self.Incarnation {
		return
	}
	n.changeSelf(func(self *protocol.Member) { self.Incarnation = remembered + 1 })
	n.downstream.acksChanged = true
}

func (n *Node) handleBackendReport(state protocol.EndpointState) {
	if n.self.Endpoint == state {
		return
	}
	n.changeSelf(func(self *protocol.Member) { self.Endpoint = state })
}

// handleLeave starts the drain. A draining member is still counted.
func (n *Node) handleLeave() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.changeSelf(func(self *protocol.Member) { self.State = protocol.MemberDraining })
	n.applyReader(n.readerSide.reader.Resign(n.now))
}

// handleStopped reports that this daemon serves no more.
func (n *Node) handleStopped() {
	n.leaving = true
	n.changeSelf(func(self *protocol.Member) { self.State = protocol.MemberLeft })
}

// publishMembers gives the data path the newest records.
func (n *Node) publishMembers() {
	if n.published == n.roster.Cursor() || (n.published > 0 && n.now-n.publishedAt < publishInterval) {
		return
	}
	n.published = n.roster.Cursor()
	n.publishedAt = n.now
	n.emit(PublishMembers{Members: n.roster.All()})
}

// suspectAfter is how long a child may be silent before it is suspect. The
// data path then prefers others; it is still counted.
func (n *Node) suspectAfter() time.Duration {
	return n.config.Timing.FetchWait + n.config.Timing.ServingLease/2
}

// sweepMembers marks silent members that this daemon answers for.
func (n *Node) sweepMembers() {
	if _, known := n.floor(); !known {
		return
	}
	n.roster.Each(func(member protocol.Member) {
		if member.ID != n.self.ID && membership.Live(member) && n.answersFor(member) {
			n.judge(member)
		}
	})
}

// answersFor reports whether this daemon watches a member: its parent does,
// and the root does for members whose parent is gone or who have none.
//
// A wrong death does no harm to what is called in force: the member is still
// counted below its parent, the sums then differ from the roster, and in force
// is withheld until the member has refuted its death.
func (n *Node) answersFor(member protocol.Member) bool {
	if member.Parent == n.self.ID {
		return true
	}
	if !n.root.active || member.Region != n.config.Region {
		return false
	}
	parent, found := n.roster.Get(member.Parent)
	return !found || !membership.Live(parent)
}

func (n *Node) judge(member protocol.Member) {
	silent := n.now - n.lastHeard(member.ID)
	switch {
	case silent > n.config.Timing.DeadAfter:
		member.State = protocol.MemberDead
		n.roster.Merge(n.now, member, membership.SourceSubtree)
		n.childMoved(member)
		n.log("member_dead", LogField{Key: "member", Value: string(member.ID)})
	case silent > n.suspectAfter() && member.State == protocol.MemberAlive && member.Parent == n.self.ID:
		member.State = protocol.MemberSuspect
		n.roster.MergeKeepingChangedAt(n.now, member, membership.SourceSubtree)
		n.log("member_suspect", LogField{Key: "member", Value: string(member.ID)})
	}
}

// lastHeard returns when a member was last heard by this daemon: its last
// fetch if it is a child, else the last change of its record, or this daemon's
// own start.
func (n *Node) lastHeard(id protocol.NodeID) time.Duration {
	heard := max(n.roster.ChangedAt(id), n.start.readyAt)
	if n.root.active {
		heard = max(heard, n.root.since)
	}
	if child, found := n.downstream.children[id]; found {
		heard = max(heard, child.heardAt)
	}
	return heard
}

// visitors are daemons that start and have not joined yet. They are told to
// others that start, but not counted.
type visitors struct {
	list []visitor
}

type visitor struct {
	member  protocol.Member
	heardAt time.Duration
}

// The bounds of the visitors remembered.
const (
	maxVisitors   = 256
	visitorExpiry = 20 * time.Second
)

func (v *visitors) heard(now time.Duration, member protocol.Member) {
	if member.ID == "" {
		return
	}
	for i := range v.list {
		if v.list[i].member.ID == member.ID {
			v.list[i] = visitor{member: member, heardAt: now}
			return
		}
	}
	if len(v.list) == maxVisitors {
		v.list = slices.Delete(v.list, 0, 1)
	}
	v.list = append(v.list, visitor{member: member, heardAt: now})
}

// first returns the visitors that rank first as readers of a region. They are
// all that others need to know: who does not rank before them does not turn to
// the platform.
func (v *visitors) first(region string) []protocol.Member {
	var members []protocol.Member
	for _, one := range v.list {
		if one.member.Region == region {
			members = append(members, one.member)
		}
	}
	ranked := membership.Rank(readerPurpose(region), members)
	return ranked[:min(len(ranked), maxCandidates)]
}

func (v *visitors) expire(now time.Duration) {
	kept := v.list[:0]
	for _, one := range v.list {
		if now-one.heardAt <= visitorExpiry {
			kept = append(kept, one)
		}
	}
	v.list = kept
}

// marginOf returns a time with the margin for clocks of different rates.
func marginOf(lease time.Duration) time.Duration { return distribution.LeaseWithMargin(lease) }
