package node

import (
	"slices"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// refuseFetch names daemons that may accept the sender.
func (n *Node) refuseFetch(token Token, request *protocol.FetchRequest, code result.Code) {
	reply := refusal(code, 0)
	reply.Incarnation = n.self.Incarnation
	if code == result.NotReadyYet {
		reply.RetryAfter = retryNotReady
	}
	reply.Members = n.hints(request.From, request.Self.Zone)
	n.answer(token, reply)
}

// hints returns some daemons that a newcomer may turn to: this one, its
// parent, the best candidates for root, and relays drawn at random, first of
// the newcomer's zone, so that newcomers spread over those that have places.
func (n *Node) hints(asker protocol.NodeID, zone string) []protocol.Member {
	list := []protocol.Member{n.self}
	if n.upstream.joined {
		if parent, found := n.roster.Get(n.upstream.target.ID); found {
			list = append(list, parent)
		}
	}
	roots := n.tree().RootCandidates()
	list = append(list, roots[:min(len(roots), 2)]...)
	list = append(list, n.shuffled(n.tree().Relays(zone), maxHints/2)...)
	list = append(list, n.shuffled(n.tree().AllRelays(), maxHints)...)
	var hints []protocol.Member
	for _, member := range list {
		known := slices.ContainsFunc(hints, func(one protocol.Member) bool { return one.ID == member.ID })
		if !known && member.ID != asker && len(hints) < maxHints {
			hints = append(hints, member)
		}
	}
	return hints
}

// shuffled returns some of the members in random order.
func (n *Node) shuffled(members []protocol.Member, most int) []protocol.Member {
	drawn := slices.Clone(members)
	n.random.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn[:min(len(drawn), most)]
}

// farewell turns a child elsewhere when this daemon leaves. It names this
// daemon's own record, by which the child knows not to wait for it.
func (n *Node) farewell(known *child) *protocol.FetchReply {
	reply := refusal(result.AskAnother, n.config.Timing.DeadAfter)
	reply.Incarnation = n.self.Incarnation
	zone := ""
	if member, found := n.roster.Get(known.id); found {
		zone = member.Zone
	}
	reply.Members = n.hints(known.id, zone)
	return reply
}
