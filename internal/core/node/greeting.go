package node

import (
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// heardPeer takes a member that was named by another. One that has not joined
// is not counted: it serves nothing yet, and it may never join.
func (n *Node) heardPeer(peer protocol.Member) {
	if peer.Parent != "" || peer.Root || !membership.Live(peer) {
		n.heardMember(peer, membership.SourceOutside)
	}
}

// greet asks a random seed or known root for others, and shows itself to it.
func (n *Node) greet() {
	addresses := lo.Reject(n.config.Seeds, func(address string, _ int) bool { return address == n.config.ControlAddress })
	if len(addresses) == 0 {
		return
	}
	n.greetAddress(addresses[n.random.IntN(len(addresses))], protocol.Member{})
}

// greetMember greets a daemon that is known, and tells what is known of it.
func (n *Node) greetMember(member protocol.Member) {
	known, found := n.roster.Get(member.ID)
	if !found {
		known = member
	}
	n.greetAddress(member.ControlAddress, known)
}

func (n *Node) greetAddress(address string, known protocol.Member) {
	request := &protocol.FloorRequest{
		Format: protocol.Format,
		Region: n.config.Region,
		From:   n.self.ID,
		Self:   n.self,
		Known:  known,
	}
	n.call(address, request, greetTimeout, func(body any) {
		reply, ok := body.(*protocol.FloorReply)
		if !ok || reply == nil {
			return
		}
		n.start.answered = true
		n.heardPeers(reply)
		for _, peer := range reply.Peers {
			n.heardGreeted(reply.From, peer, known.ID == "")
		}
	})
}

// heardGreeted takes a member named in the answer to a greeting. A better root
// that answers for itself takes over. Another root that is named in the answer
// to a greeting at random is greeted too.
func (n *Node) heardGreeted(from protocol.NodeID, peer protocol.Member, follow bool) {
	if !n.root.active {
		if _, known := n.floor(); known {
			n.heardPeer(peer)
		}
		return
	}
	if peer.Region != n.config.Region || !peer.Root || peer.ID == n.self.ID {
		return
	}
	if peer.ID != from {
		if follow {
			n.greetMember(peer)
		}
		return
	}
	n.heardMember(peer, membership.SourceSubtree)
	if n.isBetterRoot(peer) {
		n.stepDown(peer)
	}
}

// heardRoot takes the record of another root that shows itself, so that this
// daemon's tree leads to it.
func (n *Node) heardRoot(member protocol.Member) {
	if member.Root && member.ID != n.self.ID && member.Region == n.config.Region {
		n.heardMember(member, membership.SourceSubtree)
	}
}

// isBetterRoot reports whether a root comes before this daemon in the order of
// candidates.
func (n *Node) isBetterRoot(other protocol.Member) bool {
	for _, candidate := range n.tree().RootCandidates() {
		switch candidate.ID {
		case n.self.ID:
			return false
		case other.ID:
			return true
		}
	}
	return false
}
