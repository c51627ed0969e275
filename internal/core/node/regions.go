package node

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// regions holds the state of the other regions as reported by their roots.
type regions struct {
	// peers holds the other regions that hold configuration, by name.
	peers map[string]*regionPeer
	// complete is set once the list of all regions was received. Until then no
	// version is declared in force.
	complete bool
	// inForceAt is the wall-clock time at which this daemon recorded the newest version
	// in force.
	inForceAt time.Time
}

// regionPeer is the state of another region as last reported by its root. A version
// reported as in force there stays in force, since the in-force version never
// decreases (I9).
type regionPeer struct {
	region     string
	zones      []protocol.ZoneStatus
	inForce    protocol.Version
	repliedAt  time.Duration
	hasReplied bool
	// cursor is the position up to which the other root's change log has been read;
	// rootID and rootIncarnation identify that root.
	cursor          uint64
	rootID          protocol.NodeID
	rootIncarnation protocol.Incarnation
	requestedAt     time.Duration
	inFlight        bool
	failures        int
}

// The periods between roots of different regions.
const (
	// regionInterval is the poll interval of another region's root;
	// regionCatchUpInterval applies while that region is behind the version in force
	// in this one.
	regionInterval        = 2 * time.Second
	regionCatchUpInterval = 200 * time.Millisecond
	// regionTimeout is the time limit of one poll.
	regionTimeout = 1500 * time.Millisecond
	// regionCutAfter is the time without a reply after which status shows another
	// region as cut off.
	regionCutAfter = 6 * time.Second
)

func newRegions() regions {
	return regions{peers: map[string]*regionPeer{}}
}

// addRegionsOfLiveMembers adds the regions of all live members to the regions that the root polls.
func (n *Node) addRegionsOfLiveMembers() {
	if !n.root.active {
		return
	}
	n.roster.Each(func(member protocol.Member) { n.addRegion(member.Region, membership.Live(member)) })
}

// addRegions adds the complete list of the regions that had keepers at some version. In
// a region that is not listed, no version has been released yet, and the first version
// released there will be newer than that version.
func (n *Node) addRegions(names []string) {
	for _, name := range names {
		n.addRegion(name, true)
	}
	n.regions.complete = n.regions.complete || len(names) > 0
}

// allRegions returns the names of all regions; nil while the list is incomplete.
func (n *Node) allRegions() []string {
	if !n.regions.complete {
		return nil
	}
	names := append(n.otherRegions(), n.config.Region)
	slices.Sort(names)
	return names
}

func (n *Node) addRegion(region string, live bool) {
	if !live || region == n.config.Region || n.regions.peers[region] != nil {
		return
	}
	n.regions.peers[region] = &regionPeer{region: region}
}

// otherRegions returns the names of the known regions except this daemon's own, in
// ascending order.
func (n *Node) otherRegions() []string {
	names := lo.Keys(n.regions.peers)
	slices.Sort(names)
	return names
}

// pollRegions polls the other regions' roots for the versions in force there.
func (n *Node) pollRegions() {
	for _, name := range n.otherRegions() {
		peer := n.regions.peers[name]
		interval := regionInterval
		if peer.hasReplied && peer.inForce < n.root.regionInForce {
			interval = regionCatchUpInterval
		}
		if !peer.inFlight && n.now-peer.requestedAt >= interval {
			n.pollRegion(peer)
		}
	}
}

func (n *Node) pollRegion(peer *regionPeer) {
	address := n.regionAddress(peer)
	if address == "" {
		return
	}
	peer.inFlight = true
	peer.requestedAt = n.now
	request := &protocol.StatusRequest{
		Format:          protocol.Format,
		From:            n.self.ID,
		Self:            n.self,
		MemberCursor:    peer.cursor,
		Peer:            peer.rootID,
		PeerIncarnation: peer.rootIncarnation,
	}
	n.callPeer(address, request, regionTimeout, func(body any) {
		peer.inFlight = false
		reply, _ := body.(*protocol.StatusReply)
		n.handleRegionReply(peer, reply)
	})
}

// regionAddress returns the address to poll in another region: that of its root or
// a reader, if known, and after failed attempts that of any member or keeper, in
// turn.
func (n *Node) regionAddress(peer *regionPeer) string {
	inRegion := n.liveInRegion(peer.region)
	best := lo.Filter(inRegion, func(member protocol.Member, _ int) bool { return member.Root })
	rest := lo.Filter(inRegion, func(member protocol.Member, _ int) bool { return member.Reader && !member.Root })
	addresses := lo.Map(append(best, rest...), func(member protocol.Member, _ int) string { return member.ControlAddress })
	if peer.failures >= len(addresses) {
		addresses = append(addresses, lo.Map(inRegion, func(member protocol.Member, _ int) string { return member.ControlAddress })...)
		if n.readerSide.catalogue != nil {
			set, _ := findKeeperSet(n.readerSide.catalogue.Keepers, peer.region)
			addresses = append(addresses, lo.Map(set.Members, func(keeper protocol.KeeperMember, _ int) string { return keeper.ControlAddress })...)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[peer.failures%len(addresses)]
}

// handleRegionReply handles the reply from another region.
func (n *Node) handleRegionReply(peer *regionPeer, reply *protocol.StatusReply) {
	if reply == nil {
		peer.failures++
		return
	}
	for _, member := range reply.Members {
		if member.Region != n.config.Region {
			n.mergeMember(member, membership.SourceOutside)
		}
	}
	if reply.Code != result.OK {
		peer.failures++
		return
	}
	peer.failures = 0
	peer.hasReplied = true
	peer.repliedAt = n.now
	peer.cursor = reply.MemberCursor
	peer.rootID = reply.From
	peer.rootIncarnation = reply.Incarnation
	peer.inForce = max(peer.inForce, reply.Summary.InForce)
	peer.zones = reply.Summary.Zones
	if n.root.active {
		n.raiseInForce(n.globalInForce())
	}
}

// globalInForce returns the version in force in every region: the minimum over all
// of them, and 0 while some region has not replied.
func (n *Node) globalInForce() protocol.Version {
	if !n.regions.complete {
		return 0
	}
	minimum := n.root.regionInForce
	for _, peer := range n.regions.peers {
		minimum = min(minimum, peer.inForce)
	}
	return minimum
}

// answerRegion answers another region's root with the version in force in this
// region and the changed records of its members.
func (n *Node) answerRegion(token Token, request *protocol.StatusRequest) {
	if request.Self.Region != n.config.Region {
		n.mergeMember(request.Self, membership.SourceOutside)
	}
	reply := &protocol.StatusReply{Code: result.AskAnother, Incarnation: n.self.Incarnation}
	if !n.root.active {
		reply.Members = n.hints(request.From, "")
		n.answerPeer(token, reply)
		return
	}
	cursor := membership.Cursor(0)
	if request.Peer == n.self.ID && request.PeerIncarnation == n.self.Incarnation {
		cursor = request.MemberCursor
	}
	reply.Code = result.OK
	reply.From = n.self.ID
	reply.MemberCursor = n.roster.Cursor()
	reply.Members = lo.Filter(n.roster.Since(cursor), func(member protocol.Member, _ int) bool {
		return member.Region == n.config.Region
	})
	reply.Summary = protocol.VersionProgress{
		Version: n.local.store.Version(),
		InForce: n.root.regionInForce,
		Zones:   n.zoneStatuses(),
	}
	n.answerPeer(token, reply)
}

// cutRegions returns the regions whose root has not replied within regionCutAfter.
func (n *Node) cutRegions() []string {
	return lo.Filter(n.otherRegions(), func(name string, _ int) bool {
		peer := n.regions.peers[name]
		return !peer.hasReplied || n.now-peer.repliedAt > regionCutAfter
	})
}
