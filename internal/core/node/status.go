package node

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// zoneStatuses returns the progress of the zones of this region as the root observes
// it, in ascending order of zone.
func (n *Node) zoneStatuses() []protocol.ZoneStatus {
	zones := map[string]*protocol.ZoneStatus{}
	for _, member := range n.liveInRegion(n.config.Region) {
		zone, found := zones[member.Zone]
		if !found {
			zone = &protocol.ZoneStatus{Region: member.Region, Zone: member.Zone}
			zones[member.Zone] = zone
		}
		zone.Members++
		if member.State == protocol.MemberSuspect && len(zone.Silent) < protocol.MaxListedNodes {
			zone.Silent = append(zone.Silent, member.ID)
		}
	}
	newest := n.newestVersion()
	for _, ack := range n.acknowledgements() {
		zone, found := zones[ack.Zone]
		if !found {
			continue
		}
		zone.Minimum = ack.Minimum
		if ack.Minimum < newest {
			zone.Behind = ack.Behind
		}
	}
	n.countHolding(zones, newest)
	names := lo.Keys(zones)
	slices.Sort(names)
	return lo.Map(names, func(name string, _ int) protocol.ZoneStatus { return *zones[name] })
}

// countHolding counts, for each zone, the members that hold the newest version. An
// acknowledgement with an older minimum adds no members, since it does not show which
// of them hold a newer version. Children whose lease has expired are left out, as in
// acknowledgements.
func (n *Node) countHolding(zones map[string]*protocol.ZoneStatus, newest protocol.Version) {
	count := func(ack protocol.Acknowledgement) {
		zone, found := zones[ack.Zone]
		if found && ack.Minimum >= newest {
			zone.Holding = min(zone.Members, zone.Holding+ack.Count)
		}
	}
	for _, id := range n.downstream.sortedIDs {
		child := n.downstream.children[id]
		if n.hasLeaseExpired(child) {
			continue
		}
		for _, ack := range child.acks {
			count(ack)
		}
	}
	count(protocol.Acknowledgement{Zone: n.config.Zone, Minimum: n.currentVersion(), Count: 1})
}

// newestVersion returns the newest accepted version that this daemon knows.
func (n *Node) newestVersion() protocol.Version {
	newest := max(n.local.store.Version(), n.currentVersion())
	if n.readerSide.catalogue != nil {
		newest = max(newest, n.readerSide.catalogue.Version)
	}
	return newest
}

// status returns the status from this daemon's own state. The code is NoReader while
// the files are unknown because this daemon has not read the platform since its
// start.
func (n *Node) status(partner resource.Partner) *protocol.StatusReply {
	reply := &protocol.StatusReply{
		Code: result.OK,
		Summary: protocol.VersionProgress{
			Version:   n.newestVersion(),
			InForce:   n.local.inForce,
			InForceAt: n.regions.inForceAt,
		},
		Members: n.roster.All(),
	}
	if n.root.active {
		reply.Summary.Zones = n.zoneStatuses()
		for _, name := range n.otherRegions() {
			reply.Summary.Zones = append(reply.Summary.Zones, n.regions.peers[name].zones...)
		}
		reply.Summary.CutRegions = n.cutRegions()
	}
	if n.readerSide.catalogue == nil {
		reply.Code = result.NoReader
		return reply
	}
	reply.Summary.AcceptedAt = n.readerSide.catalogue.AcceptedAt
	reply.Files = n.fileStatuses(partner)
	return reply
}

func (n *Node) fileStatuses(partner resource.Partner) []protocol.FileStatus {
	files := lo.Filter(n.readerSide.catalogue.Files, func(file protocol.FileStatus, _ int) bool {
		return partner == "" || file.Partner == partner
	})
	return markInForce(files, n.local.inForce)
}

// markInForce sets on each file whether its revision is in force.
func markInForce(files []protocol.FileStatus, inForce protocol.Version) []protocol.FileStatus {
	return lo.Map(files, func(file protocol.FileStatus, _ int) protocol.FileStatus {
		file.InForce = !file.Held && file.Version > 0 && file.Version <= inForce
		return file
	})
}

// handlePeerStatus answers another daemon's status request.
func (n *Node) handlePeerStatus(token Token, request *protocol.StatusRequest) {
	switch {
	case !isKnownFormat(request.Format):
		n.answerPeer(token, &protocol.StatusReply{Code: result.UnknownFormat})
	case request.From != "":
		n.answerRegion(token, request)
	case !n.root.active:
		n.answerPeer(token, &protocol.StatusReply{Code: result.AskAnother, Members: n.hints("", "")})
	default:
		n.answerPeer(token, n.status(request.Partner))
	}
}

// statusTimeout is the timeout of a status request to a root.
const statusTimeout = 2 * time.Second

// handleOperatorStatus answers an operator's status request, from this daemon's own
// state if it is the root, or else by a request to the root. When no root answers, it
// returns this daemon's own state with the code NoReader.
func (n *Node) handleOperatorStatus(token Token, request *protocol.StatusRequest) {
	if n.root.active {
		n.emit(OperatorAnswer{Token: token, Body: n.status(request.Partner)})
		return
	}
	n.queryStatus(token, request, n.statusTargets(), nil)
}

// queryStatus queries the targets in turn. partial is the reply of a root that does
// not know the files; it is preferred over this daemon's own state.
func (n *Node) queryStatus(token Token, request *protocol.StatusRequest, targets []protocol.Member, partial *protocol.StatusReply) {
	if len(targets) == 0 && partial != nil {
		n.emit(OperatorAnswer{Token: token, Body: partial})
		return
	}
	if len(targets) == 0 {
		local := n.status(request.Partner)
		local.Code = result.NoReader
		n.emit(OperatorAnswer{Token: token, Body: local})
		return
	}
	n.callPeer(targets[0].ControlAddress, request, statusTimeout, func(body any) {
		reply, _ := body.(*protocol.StatusReply)
		if reply == nil || reply.Code != result.OK {
			if reply != nil && reply.Code == result.NoReader {
				partial = reply
			}
			n.queryStatus(token, request, targets[1:], partial)
			return
		}
		n.raiseInForce(reply.Summary.InForce)
		n.raiseReplyInForce(reply)
		n.emit(OperatorAnswer{Token: token, Body: reply})
	})
}

// raiseReplyInForce replaces the in-force version in a root's reply by the one that
// this daemon knows, if that is newer. A root that has just taken over may know an
// older one, and the in-force version never decreases (I9).
func (n *Node) raiseReplyInForce(reply *protocol.StatusReply) {
	if reply.Summary.InForce >= n.local.inForce {
		return
	}
	reply.Summary.InForce = n.local.inForce
	reply.Files = markInForce(reply.Files, n.local.inForce)
}

// statusTargets returns the likely roots of this region, best first.
func (n *Node) statusTargets() []protocol.Member {
	const limit = 3
	var targets []protocol.Member
	if n.upstream.joined && n.upstream.target.Root {
		targets = append(targets, n.upstream.target)
	}
	targets = append(targets, n.tree().RootCandidates()...)
	targets = lo.UniqBy(targets, func(member protocol.Member) protocol.NodeID { return member.ID })
	targets = lo.Reject(targets, func(member protocol.Member, _ int) bool { return member.ID == n.self.ID })
	slices.SortStableFunc(targets, func(a, b protocol.Member) int { return lo.Ternary(a.Root == b.Root, 0, lo.Ternary(a.Root, -1, 1)) })
	return targets[:min(len(targets), limit)]
}
