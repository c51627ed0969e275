package floor

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// region is a set of keepers whose replies the test delivers explicitly.
type region struct {
	daemons  map[string]*daemon
	releaser *Releaser
	set      protocol.KeeperSet
	pending  []SendStoreRequest
}

// newRegion returns a region of MaxKeepers keepers that store version 1.
func newRegion() *region {
	m := newModel(3, 1)
	for len(m.daemons) != MaxKeepers {
		m = newModel(m.random.Uint64(), 1)
	}
	g := &region{daemons: map[string]*daemon{}, releaser: m.roots[0].releaser, set: m.keeperSets[0]}
	for _, d := range m.daemons {
		g.daemons[d.member.ControlAddress] = d
	}
	return g
}

// setTarget makes a version the target of the releaser.
func (g *region) setTarget(version protocol.Version) {
	g.collect(g.releaser.SetTarget(0, 1, version, g.set))
}

func (g *region) collect(outputs []Output) {
	for _, output := range outputs {
		g.pending = append(g.pending, output.(SendStoreRequest))
	}
}

// deliver lets the keepers at the addresses answer the requests sent so far.
func (g *region) deliver(addresses ...string) {
	sent := g.pending
	g.pending = nil
	for _, request := range sent {
		if !lo.Contains(addresses, request.Address) {
			g.pending = append(g.pending, request)
			continue
		}
		d := g.daemons[request.Address]
		reply := d.keeper.HandleStoreRequest(request.Request)
		reply.From, reply.Incarnation = d.member.ID, d.incarnation
		g.collect(g.releaser.HandleReply(0, request.Token, reply))
	}
}

// restart restarts a keeper without its state and lets it obtain its floor from
// the daemons at the given addresses.
func (g *region) restart(address string, from ...string) {
	d := g.daemons[address]
	d.incarnation++
	d.keeper = NewKeeper(d.member.ID, "region")
	learner := NewLearner(LearnerConfig{ID: d.member.ID, Region: "region", Seeds: from})
	for _, output := range append(learner.Tick(0), learner.Tick(time.Minute)...) {
		if request, is := output.(SendFloorRequest); is && lo.Contains(from, request.Address) {
			other := g.daemons[request.Address]
			reply := other.keeper.HandleFloorRequest(request.Request)
			reply.From = other.member.ID
			learner.HandleReply(0, request.Token, reply)
		}
	}
	if floor, known := learner.Floor(); known {
		d.keeper.Validate(floor, learner.Keepers())
	}
}

func TestReleaseNeedsSimultaneousQuorum(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	g.setTarget(2)
	g.deliver("0", "1", "2", "3", "4")
	g.restart("0", "5", "6", "7") // none of them holds version 2
	is.True(g.daemons["0"].keeper.IsValid())
	is.Equal(g.daemons["0"].keeper.Stored(), protocol.Version(1))
	g.deliver("5") // the sixth reply, but 0, 6 and 7 do not hold version 2
	is.Equal(g.releaser.Released(), protocol.Version(0))
	g.deliver("0") // stores again; its new incarnation starts another round
	g.deliver("1", "2", "3", "4")
	is.Equal(g.releaser.Released(), protocol.Version(0))
	g.deliver("0", "1", "2", "3", "4", "5")
	is.Equal(g.releaser.Released(), protocol.Version(2))
}

func TestKeeperWithoutAFloorDoesNotCount(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	g.restart("0")
	g.setTarget(2)
	for range 3 {
		g.deliver("0", "1", "2", "3", "4", "5")
	}
	is.Equal(g.releaser.Released(), protocol.Version(0)) // five valid replies, six needed
	g.daemons["0"].keeper.Validate(1, g.set)
	g.collect(g.releaser.Tick(time.Second))
	g.deliver("0")
	g.deliver("0", "1", "2", "3", "4", "5")
	is.Equal(g.releaser.Released(), protocol.Version(2))
}

func TestOnlyRequestsOfTheRoundConfirm(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	g.setTarget(2)
	g.collect(g.releaser.Tick(time.Second)) // each keeper gets a second request
	late := g.pending[MaxKeepers:]
	g.pending = g.pending[:MaxKeepers]
	g.deliver("0", "1", "2", "3", "4", "5")
	for _, request := range late { // answered before the confirmation round, received after its start
		d := g.daemons[request.Address]
		reply := &protocol.StoreReply{Code: result.OK, From: d.member.ID, Incarnation: d.incarnation, Stored: 2}
		g.collect(g.releaser.HandleReply(0, request.Token, reply))
	}
	is.Equal(g.releaser.Released(), protocol.Version(0))
}

// allAddresses are the addresses of the keepers of newRegion.
var allAddresses = []string{"0", "1", "2", "3", "4", "5", "6", "7"}

func TestRollingRestartKeepsFloorWithoutThePlatform(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	g.setTarget(2)
	g.deliver(allAddresses[:6]...)
	g.deliver(allAddresses[:6]...)
	is.Equal(g.releaser.Released(), protocol.Version(2))
	for _, address := range allAddresses {
		g.restart(address, lo.Without(allAddresses, address)...)
		is.Equal(g.daemons[address].keeper.Stored(), protocol.Version(2))
	}
}

func TestZoneLossBlocksNeitherReleasesNorStarts(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	remaining := allAddresses[2:]
	g.setTarget(2)
	g.deliver(remaining...)
	g.deliver(remaining...)
	is.Equal(g.releaser.Released(), protocol.Version(2))
	g.restart("2", remaining[1:]...)
	is.Equal(g.daemons["2"].keeper.Stored(), protocol.Version(2))
}

func TestMassRestartWaitsForThePlatform(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	for _, address := range allAddresses[:6] {
		g.restart(address)
	}
	for _, address := range allAddresses[:6] {
		g.restart(address, "6", "7") // two replies are no read quorum
		is.True(!g.daemons[address].keeper.IsValid())
	}
}

func TestKeeperKeepsNewestVersionAndSet(t *testing.T) {
	is := is.New(t)
	older, newer := keeperSet(3, "a", "b", "c"), keeperSet(9, "d", "e", "f")
	keeper := NewKeeper("a", "region")
	request := &protocol.FloorRequest{Region: "region"}
	is.Equal(keeper.HandleStoreRequest(&protocol.StoreRequest{Version: 10, Keepers: newer}).Code, result.NotReadyYet)
	is.Equal(keeper.HandleFloorRequest(request).Code, result.NotReadyYet)
	keeper.Validate(4, older)
	is.Equal(keeper.HandleStoreRequest(&protocol.StoreRequest{Version: 5, Keepers: older}), &protocol.StoreReply{Code: result.OK, Stored: 10})
	is.Equal(keeper.HandleFloorRequest(request), &protocol.FloorReply{Code: result.NotKeeper, Floor: 10, Keepers: newer})
	is.Equal(keeper.HandleFloorRequest(&protocol.FloorRequest{Region: "other"}), &protocol.FloorReply{Code: result.NotKeeper})
	is.Equal(keeper.HandleStoreRequest(&protocol.StoreRequest{Version: 99, Keepers: protocol.KeeperSet{Region: "other"}}).Code, result.NotKeeper)
	is.Equal(keeper.Stored(), protocol.Version(10))
}

func TestNewerTargetWaitsUnlessTheSetHasChanged(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	g.setTarget(2)
	g.setTarget(3)
	is.Equal(len(g.pending), MaxKeepers)
	g.set.Revision = 4
	g.setTarget(4)
	is.Equal(g.pending[len(g.pending)-1].Request.Version, protocol.Version(4))
	for range 2 {
		g.deliver("0", "1", "2", "3", "4", "5")
	}
	is.Equal(g.releaser.Released(), protocol.Version(4))
}

// floorReply returns the reply of a valid keeper.
func floorReply(from protocol.NodeID, floor protocol.Version, set protocol.KeeperSet) *protocol.FloorReply {
	return &protocol.FloorReply{Code: result.OK, From: from, Floor: floor, Keepers: set}
}

func keeperSet(revision protocol.Version, ids ...protocol.NodeID) protocol.KeeperSet {
	set := protocol.KeeperSet{Region: "region", Revision: revision}
	for _, id := range ids {
		set.Members = append(set.Members, protocol.KeeperMember{ID: id, ControlAddress: string(id)})
	}
	set.Write, set.Read = QuorumSizes(len(ids))
	return set
}

func TestLearnerFollowsNewerSets(t *testing.T) {
	older, newer := keeperSet(3, "a", "b", "c"), keeperSet(9, "d", "e", "f")
	joint := newer
	joint.Previous = &older
	cases := []struct {
		name    string
		replies []*protocol.FloorReply
		floor   protocol.Version
		known   bool
	}{
		{"one reply of two", []*protocol.FloorReply{floorReply("a", 7, older)}, 0, false},
		{"the same keeper twice", []*protocol.FloorReply{floorReply("a", 7, older), floorReply("a", 7, older)}, 0, false},
		{"a read quorum", []*protocol.FloorReply{floorReply("a", 5, older), floorReply("c", 7, older)}, 7, true},
		{"a reply with a newer set", []*protocol.FloorReply{floorReply("a", 5, older), floorReply("c", 10, newer)}, 0, false},
		{"a quorum of the newer set that knows only the older set", []*protocol.FloorReply{floorReply("a", 5, newer), floorReply("d", 5, older), floorReply("e", 5, older)}, 9, true},
		{"only the newer set during the change", []*protocol.FloorReply{floorReply("d", 5, joint), floorReply("e", 5, joint)}, 0, false},
		{"both sets during the change", []*protocol.FloorReply{floorReply("d", 5, joint), floorReply("e", 5, joint), floorReply("a", 12, older), floorReply("b", 5, older)}, 12, true},
		{"keepers that are not ready", []*protocol.FloorReply{{Code: result.NotReadyYet, From: "a", Keepers: older}, {Code: result.NotReadyYet, From: "b", Keepers: older}}, 0, false},
		{"a fresh head", []*protocol.FloorReply{{Code: result.OK, FromHead: true, Floor: 11, Keepers: newer}}, 11, true},
		{"no head on the platform", []*protocol.FloorReply{{Code: result.OK, FromHead: true}}, 0, true},
		{"a reader that could not read the head", []*protocol.FloorReply{{Code: result.NoReader, FromHead: true, Floor: 11}}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			learner := NewLearner(LearnerConfig{ID: "self", Region: "region", Seeds: []string{"seed"}})
			learner.Tick(0)
			for _, reply := range c.replies {
				learner.pending[99] = true
				learner.HandleReply(0, 99, reply)
			}
			floor, known := learner.Floor()
			is.Equal(floor, c.floor)
			is.Equal(known, c.known)
		})
	}
}

func TestQuorumsOverlap(t *testing.T) {
	is := is.New(t)
	for size := 1; size <= MaxKeepers; size++ {
		write, read := QuorumSizes(size)
		is.True(write+read > size && 2*write > size && write <= size && read >= 1)
	}
	write, read := QuorumSizes(MaxKeepers + 1)
	is.Equal(write+read, 0)
}

// aliveMembers returns members in state alive. The first letter of a name is
// the zone.
func aliveMembers(names ...string) []protocol.Member {
	return lo.Map(names, func(name string, _ int) protocol.Member {
		return protocol.Member{ID: protocol.NodeID(name), Region: "region", Zone: name[:1], ControlAddress: name, State: protocol.MemberAlive}
	})
}

func TestKeepersAreSpreadOverZonesAndStable(t *testing.T) {
	is := is.New(t)
	members := aliveMembers("a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1", "c2", "c3", "d1", "d2", "d3")
	first, changed := ChooseKeepers("region", protocol.KeeperSet{}, members, 0)
	is.True(changed)
	is.Equal(keepersByZone(first), map[string]int{"a": 2, "b": 2, "c": 2, "d": 2})
	is.Equal(first.Write, 6)
	is.True(first.Previous == nil)
	first.Revision = 1
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	_, changed = ChooseKeepers("region", first, reversed, 0)
	is.True(!changed)

	lostKeeper := string(first.Members[0].ID)
	remaining := lo.Reject(members, func(member protocol.Member, _ int) bool { return string(member.ID) == lostKeeper })
	second, changed := ChooseKeepers("region", first, remaining, 0)
	is.True(changed)
	is.Equal(second.Previous.Members, first.Members)
	is.Equal(len(lo.Intersect(ids(first), ids(second))), MaxKeepers-1) // only the lost one is replaced
	is.Equal(keepersByZone(second), keepersByZone(first))

	second.Revision = 5
	_, changed = ChooseKeepers("region", second, remaining, 4)
	is.True(!changed) // not released with both sets in the head yet
	changedAgain, changed := ChooseKeepers("region", second, remaining[1:], 4)
	is.Equal(changed, lo.Contains(ids(second), remaining[0].ID))
	is.Equal(changedAgain.Previous.Members, first.Members) // the older set stays until the change is complete
	third, changed := ChooseKeepers("region", second, remaining, 5)
	is.True(changed)
	is.True(third.Previous == nil)
	is.Equal(third.Members, second.Members)
}

func keepersByZone(set protocol.KeeperSet) map[string]int {
	return lo.CountValuesBy(set.Members, func(member protocol.KeeperMember) string { return string(member.ID)[:1] })
}

func ids(set protocol.KeeperSet) []protocol.NodeID {
	return lo.Map(set.Members, func(member protocol.KeeperMember, _ int) protocol.NodeID { return member.ID })
}
