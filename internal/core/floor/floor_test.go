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
	waiting  []SendStoreRequest
}

// newRegion returns a region of MaxKeepers keepers that store version 1.
func newRegion() *region {
	m := newModel(3, 1)
	for len(m.daemons) != MaxKeepers {
		m = newModel(m.random.Uint64(), 1)
	}
	g := &region{daemons: map[string]*daemon{}, releaser: m.roots[0].releaser, set: m.heads[0]}
	for _, d := range m.daemons {
		g.daemons[d.member.ControlAddress] = d
	}
	return g
}

// release makes a version the target of the releaser.
func (g *region) release(version protocol.Version) {
	g.take(g.releaser.SetTarget(0, 1, version, g.set))
}

func (g *region) take(outputs []Output) {
	for _, output := range outputs {
		g.waiting = append(g.waiting, output.(SendStoreRequest))
	}
}

// deliver lets the keepers at the addresses answer the requests sent so far.
func (g *region) deliver(addresses ...string) {
	sent := g.waiting
	g.waiting = nil
	for _, store := range sent {
		if !lo.Contains(addresses, store.Address) {
			g.waiting = append(g.waiting, store)
			continue
		}
		d := g.daemons[store.Address]
		reply := d.keeper.HandleStoreRequest(store.Request)
		reply.From, reply.Incarnation = d.member.ID, d.incarnation
		g.take(g.releaser.HandleReply(0, store.Token, reply))
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
		if ask, is := output.(SendFloorRequest); is && lo.Contains(from, ask.Address) {
			other := g.daemons[ask.Address]
			reply := other.keeper.HandleFloorRequest(ask.Request)
			reply.From = other.member.ID
			learner.HandleReply(0, ask.Token, reply)
		}
	}
	if floor, known := learner.Floor(); known {
		d.keeper.Validate(floor, learner.Keepers())
	}
}

func TestReleaseNeedsAMomentWhenAQuorumHoldsTheVersion(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	g.release(2)
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
	g.release(2)
	for range 3 {
		g.deliver("0", "1", "2", "3", "4", "5")
	}
	is.Equal(g.releaser.Released(), protocol.Version(0)) // five valid replies, six needed
	g.daemons["0"].keeper.Validate(1, g.set)
	g.take(g.releaser.Tick(time.Second))
	g.deliver("0")
	g.deliver("0", "1", "2", "3", "4", "5")
	is.Equal(g.releaser.Released(), protocol.Version(2))
}

func TestOnlyQuestionsOfTheRoundConfirm(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	g.release(2)
	g.take(g.releaser.Tick(time.Second)) // each keeper gets a second request
	late := g.waiting[MaxKeepers:]
	g.waiting = g.waiting[:MaxKeepers]
	g.deliver("0", "1", "2", "3", "4", "5")
	for _, store := range late { // answered before the confirmation round, received after its start
		d := g.daemons[store.Address]
		reply := &protocol.StoreReply{Code: result.OK, From: d.member.ID, Incarnation: d.incarnation, Stored: 2}
		g.take(g.releaser.HandleReply(0, store.Token, reply))
	}
	is.Equal(g.releaser.Released(), protocol.Version(0))
}

// all are the addresses of the keepers of newRegion.
var all = []string{"0", "1", "2", "3", "4", "5", "6", "7"}

func TestKeepersRestartInTurnWithoutThePlatform(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	g.release(2)
	g.deliver(all[:6]...)
	g.deliver(all[:6]...)
	is.Equal(g.releaser.Released(), protocol.Version(2))
	for _, address := range all {
		g.restart(address, lo.Without(all, address)...)
		is.Equal(g.daemons[address].keeper.Stored(), protocol.Version(2))
	}
}

func TestZoneLossStopsNeitherReleasesNorStarts(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	left := all[2:]
	g.release(2)
	g.deliver(left...)
	g.deliver(left...)
	is.Equal(g.releaser.Released(), protocol.Version(2))
	g.restart("2", left[1:]...)
	is.Equal(g.daemons["2"].keeper.Stored(), protocol.Version(2))
}

func TestHerdWaitsForThePlatform(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	for _, address := range all[:6] {
		g.restart(address)
	}
	for _, address := range all[:6] {
		g.restart(address, "6", "7") // two replies are no read quorum
		is.True(!g.daemons[address].keeper.IsValid())
	}
}

func TestKeeperRemembersTheNewest(t *testing.T) {
	is := is.New(t)
	older, newer := keeperSet(3, "a", "b", "c"), keeperSet(9, "d", "e", "f")
	keeper := NewKeeper("a", "region")
	ask := &protocol.FloorRequest{Region: "region"}
	is.Equal(keeper.HandleStoreRequest(&protocol.StoreRequest{Version: 10, Keepers: newer}).Code, result.NotReadyYet)
	is.Equal(keeper.HandleFloorRequest(ask).Code, result.NotReadyYet)
	keeper.Validate(4, older)
	is.Equal(keeper.HandleStoreRequest(&protocol.StoreRequest{Version: 5, Keepers: older}), &protocol.StoreReply{Code: result.OK, Stored: 10})
	is.Equal(keeper.HandleFloorRequest(ask), &protocol.FloorReply{Code: result.NotKeeper, Floor: 10, Keepers: newer})
	is.Equal(keeper.HandleFloorRequest(&protocol.FloorRequest{Region: "other"}), &protocol.FloorReply{Code: result.NotKeeper})
	is.Equal(keeper.HandleStoreRequest(&protocol.StoreRequest{Version: 99, Keepers: protocol.KeeperSet{Region: "other"}}).Code, result.NotKeeper)
	is.Equal(keeper.Stored(), protocol.Version(10))
}

func TestNewerTargetWaitsUnlessTheSetHasChanged(t *testing.T) {
	is := is.New(t)
	g := newRegion()
	g.release(2)
	g.release(3)
	is.Equal(len(g.waiting), MaxKeepers)
	g.set.Revision = 4
	g.release(4)
	is.Equal(g.waiting[len(g.waiting)-1].Request.Version, protocol.Version(4))
	for range 2 {
		g.deliver("0", "1", "2", "3", "4", "5")
	}
	is.Equal(g.releaser.Released(), protocol.Version(4))
}

// answer returns the reply of a valid keeper.
func answer(from protocol.NodeID, floor protocol.Version, set protocol.KeeperSet) *protocol.FloorReply {
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
		{"one reply of two", []*protocol.FloorReply{answer("a", 7, older)}, 0, false},
		{"the same keeper twice", []*protocol.FloorReply{answer("a", 7, older), answer("a", 7, older)}, 0, false},
		{"a read quorum", []*protocol.FloorReply{answer("a", 5, older), answer("c", 7, older)}, 7, true},
		{"a reply with a newer set", []*protocol.FloorReply{answer("a", 5, older), answer("c", 10, newer)}, 0, false},
		{"a quorum of the newer set that knows only the older set", []*protocol.FloorReply{answer("a", 5, newer), answer("d", 5, older), answer("e", 5, older)}, 9, true},
		{"only the newer set during the change", []*protocol.FloorReply{answer("d", 5, joint), answer("e", 5, joint)}, 0, false},
		{"both sets during the change", []*protocol.FloorReply{answer("d", 5, joint), answer("e", 5, joint), answer("a", 12, older), answer("b", 5, older)}, 12, true},
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

func TestQuorumsMeet(t *testing.T) {
	is := is.New(t)
	for size := 1; size <= MaxKeepers; size++ {
		write, read := QuorumSizes(size)
		is.True(write+read > size && 2*write > size && write <= size && read >= 1)
	}
	write, read := QuorumSizes(MaxKeepers + 1)
	is.Equal(write+read, 0)
}

// live returns members in state alive. The first letter of a name is the zone.
func live(names ...string) []protocol.Member {
	return lo.Map(names, func(name string, _ int) protocol.Member {
		return protocol.Member{ID: protocol.NodeID(name), Region: "region", Zone: name[:1], ControlAddress: name, State: protocol.MemberAlive}
	})
}

func TestKeepersAreSpreadOverZonesAndKept(t *testing.T) {
	is := is.New(t)
	members := live("a1", "a2", "a3", "a4", "b1", "b2", "b3", "c1", "c2", "c3", "d1", "d2", "d3")
	first, changed := ChooseKeepers("region", protocol.KeeperSet{}, members, 0)
	is.True(changed)
	is.Equal(zones(first), map[string]int{"a": 2, "b": 2, "c": 2, "d": 2})
	is.Equal(first.Write, 6)
	is.True(first.Previous == nil)
	first.Revision = 1
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	_, changed = ChooseKeepers("region", first, reversed, 0)
	is.True(!changed)

	gone := string(first.Members[0].ID)
	left := lo.Reject(members, func(member protocol.Member, _ int) bool { return string(member.ID) == gone })
	second, changed := ChooseKeepers("region", first, left, 0)
	is.True(changed)
	is.Equal(second.Previous.Members, first.Members)
	is.Equal(len(lo.Intersect(ids(first), ids(second))), MaxKeepers-1) // only the lost one is replaced
	is.Equal(zones(second), zones(first))

	second.Revision = 5
	_, changed = ChooseKeepers("region", second, left, 4)
	is.True(!changed) // not released with both sets in the head yet
	again, changed := ChooseKeepers("region", second, left[1:], 4)
	is.Equal(changed, lo.Contains(ids(second), left[0].ID))
	is.Equal(again.Previous.Members, first.Members) // the older set stays until the change is complete
	third, changed := ChooseKeepers("region", second, left, 5)
	is.True(changed)
	is.True(third.Previous == nil)
	is.Equal(third.Members, second.Members)
}

func zones(set protocol.KeeperSet) map[string]int {
	return lo.CountValuesBy(set.Members, func(member protocol.KeeperMember) string { return string(member.ID)[:1] })
}

func ids(set protocol.KeeperSet) []protocol.NodeID {
	return lo.Map(set.Members, func(member protocol.KeeperMember, _ int) protocol.NodeID { return member.ID })
}
