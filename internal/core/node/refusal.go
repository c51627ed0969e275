package node

import (
	"slices"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// refuseFetch refuses a fetch and lists daemons that may accept the sender.
func (n *Node) refuseFetch(token Token, request *protocol.FetchRequest, code result.Code) {
	reply := newRefusal(code, 0)
	reply.Incarnation = n.self.Incarnation
	if code == result.NotReadyYet {
		reply.RetryAfter = notReadyRetryAfter
	}
	reply.Members = n.hints(request.From, request.Self.Zone)
	n.answerPeer(token, reply)
}

// hints returns daemons that may accept the sender of a refused request: this daemon,
// its parent, the best root candidates, and randomly chosen relays, first those of
// the sender's zone. The random choice spreads senders over the relays.
func (n *Node) hints(sender protocol.NodeID, zone string) []protocol.Member {
	list := []protocol.Member{n.self}
	if n.upstream.joined {
		if parent, found := n.roster.Get(n.upstream.target.ID); found {
			list = append(list, parent)
		}
	}
	rootCandidates := n.tree().RootCandidates()
	list = append(list, rootCandidates[:min(len(rootCandidates), 2)]...)
	list = append(list, n.shuffled(n.tree().Relays(zone), maxHints/2)...)
	list = append(list, n.shuffled(n.tree().AllRelays(), maxHints)...)
	var hints []protocol.Member
	for _, member := range list {
		listed := slices.ContainsFunc(hints, func(hint protocol.Member) bool { return hint.ID == member.ID })
		if !listed && member.ID != sender && len(hints) < maxHints {
			hints = append(hints, member)
		}
	}
	return hints
}

// shuffled returns at most limit of the members, in random order.
func (n *Node) shuffled(members []protocol.Member, limit int) []protocol.Member {
	drawn := slices.Clone(members)
	n.random.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(len(drawn), limit)]
}

// leavingReply returns the fetch reply by which a leaving daemon redirects a child
// to other parents. It includes this daemon's own record, which shows the child that
// this parent is leaving.
func (n *Node) leavingReply(receiver *child) *protocol.FetchReply {
	reply := newRefusal(result.AskAnother, n.config.Timing.DeadAfter)
	reply.Incarnation = n.self.Incarnation
	zone := ""
	if member, found := n.roster.Get(receiver.id); found {
		zone = member.Zone
	}
	reply.Members = n.hints(receiver.id, zone)
	return reply
}
