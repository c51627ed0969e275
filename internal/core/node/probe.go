package node

import (
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
)

// mergePeer merges the record of a member that another daemon listed. A member
// that has not joined is ignored: it serves nothing yet and may never join.
func (n *Node) mergePeer(peer protocol.Member) {
	if peer.Parent != "" || peer.Root || !membership.Live(peer) {
		n.mergeMember(peer, membership.SourceOutside)
	}
}

// probeSeed requests a list of other daemons from a random seed. The request carries
// this daemon's own record.
func (n *Node) probeSeed() {
	addresses := lo.Reject(n.config.Seeds, func(address string, _ int) bool { return address == n.config.ControlAddress })
	if len(addresses) == 0 {
		return
	}
	n.sendProbe(addresses[n.random.IntN(len(addresses))], protocol.Member{})
}

// probeMember probes a known daemon. The probe carries the record of that daemon in this
// roster, so that the daemon can refute an outdated record.
func (n *Node) probeMember(member protocol.Member) {
	known, found := n.roster.Get(member.ID)
	if !found {
		known = member
	}
	n.sendProbe(member.ControlAddress, known)
}

func (n *Node) sendProbe(address string, known protocol.Member) {
	request := &protocol.FloorRequest{
		Format: protocol.Format,
		Region: n.config.Region,
		From:   n.self.ID,
		Self:   n.self,
		Known:  known,
	}
	n.callPeer(address, request, probeTimeout, func(body any) {
		reply, ok := body.(*protocol.FloorReply)
		if !ok || reply == nil {
			return
		}
		n.start.peerAnswered = true
		n.recordStartingPeers(reply)
		for _, peer := range reply.Peers {
			n.handleProbedPeer(reply.From, peer, known.ID == "")
		}
	})
}

// handleProbedPeer handles a member listed in the reply to a probe. A daemon that is not
// root merges the member's record. A root steps down when the sender of the reply lists
// itself as a root and isBetterRoot prefers it. With follow set, a root probes the other roots
// that the reply lists too.
func (n *Node) handleProbedPeer(from protocol.NodeID, peer protocol.Member, follow bool) {
	if !n.root.active {
		if _, known := n.floor(); known {
			n.mergePeer(peer)
		}
		return
	}
	if peer.Region != n.config.Region || !peer.Root || peer.ID == n.self.ID {
		return
	}
	if peer.ID != from {
		if follow {
			n.probeMember(peer)
		}
		return
	}
	n.mergeMember(peer, membership.SourceSubtree)
	if n.isBetterRoot(peer) {
		n.stepDown(peer)
	}
}

// mergeOtherRoot merges the record of another root of this region that sent a
// request, so that this daemon's tree includes it.
func (n *Node) mergeOtherRoot(member protocol.Member) {
	if member.Root && member.ID != n.self.ID && member.Region == n.config.Region {
		n.mergeMember(member, membership.SourceSubtree)
	}
}

// isBetterRoot reports whether another root precedes this daemon in the order of
// the root candidates.
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
