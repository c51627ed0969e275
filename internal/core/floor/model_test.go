package floor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/protocol"
	_ "github.com/springstack/springstack/internal/fixedseed" // makes rapid draw the same values on every run
)

// model simulates the daemons and roots of one region with a list of accepted
// heads, over a network that reorders, duplicates and loses messages.
type model struct {
	// random draws the steps, so that the drawn number of steps can shrink.
	random *rand.Rand
	now    time.Duration
	// keeperSets holds the keeper set in the head at each version from 1 on.
	keeperSets []protocol.KeeperSet
	daemons    []*daemon
	roots      []*root
	inFlight   []message
	// delayed is the set of routes on which messages are delayed.
	delayed map[route]bool
	// released is the highest version that any root has released.
	released protocol.Version
	// floorsLearnt counts the floors that daemons have obtained.
	floorsLearnt int
}

// route is a kind of message to or from one daemon.
type route struct {
	kind   messageKind
	daemon int
}

// messageKind distinguishes floor requests from store requests.
type messageKind int

const (
	kindFloorRequest messageKind = iota
	kindStoreRequest
)

// message is a request or reply in flight.
type message struct {
	route   route
	deliver func()
}

// daemon is one daemon of the region. Its number is also its address.
type daemon struct {
	number      int
	member      protocol.Member
	incarnation protocol.Incarnation
	keeper      *Keeper
	learner     *Learner
	// releasedAtStart is the highest version released when the learner was
	// created: the highest that this daemon may have used before it restarted.
	releasedAtStart protocol.Version
	// freshHeadRequested is set once the learner has requested a fresh head.
	freshHeadRequested bool
}

// root is a daemon in the root role; several may be active at the same time.
type root struct {
	releaser *Releaser
	// seenVersion is the version of the newest head that it has read.
	seenVersion protocol.Version
}

func newModel(seed uint64, roots int) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, seed)), delayed: map[route]bool{}}
	daemons := 1 + m.random.IntN(10)
	for i := range daemons {
		d := &daemon{number: i, incarnation: 1, keeper: NewKeeper(daemonID(i), "region")}
		d.member = protocol.Member{ID: daemonID(i), Region: "region", Zone: fmt.Sprint(i % 3), ControlAddress: fmt.Sprint(i), State: protocol.MemberAlive}
		m.daemons = append(m.daemons, d)
	}
	first, _ := ChooseKeepers("region", protocol.KeeperSet{}, m.members(daemons), 0)
	first.Revision = 1
	m.keeperSets = []protocol.KeeperSet{first}
	for _, d := range m.daemons {
		d.keeper.Validate(1, first)
	}
	for range roots {
		m.roots = append(m.roots, &root{releaser: NewReleaser("root", "region"), seenVersion: 1})
	}
	return m
}

func daemonID(i int) protocol.NodeID { return protocol.NodeID(fmt.Sprintf("daemon-%d", i)) }

func (m *model) members(count int) []protocol.Member {
	var members []protocol.Member
	for _, d := range m.daemons[:count] {
		members = append(members, d.member)
	}
	return members
}

func (m *model) headVersion() protocol.Version { return protocol.Version(len(m.keeperSets)) }

func (m *model) keeperSetAt(version protocol.Version) protocol.KeeperSet {
	return m.keeperSets[version-1]
}

// restart restarts a daemon without any of its state.
func (m *model) restart(d *daemon) {
	d.incarnation++
	d.keeper = NewKeeper(d.member.ID, "region")
	d.releasedAtStart = m.released
	d.freshHeadRequested = false
	d.learner = NewLearner(LearnerConfig{
		ID:         d.member.ID,
		Region:     "region",
		Seeds:      []string{"0", "1", "2", "3"},
		RandomSeed: uint64(d.incarnation)*100 + uint64(d.number),
	})
}

// accept appends a head. A keeper set derived from an older set is dropped, as
// update-if-version would do.
func (m *model) accept(proposed *protocol.KeeperSet) {
	set := m.keeperSetAt(m.headVersion())
	if proposed != nil {
		if proposed.Revision != set.Revision {
			return
		}
		set = *proposed
		set.Revision = m.headVersion() + 1
	}
	m.keeperSets = append(m.keeperSets, set)
}

func (m *model) carryOut(t *rapid.T, d *daemon, r *root, outputs []Output) {
	for _, output := range outputs {
		switch output := output.(type) {
		case SendFloorRequest:
			m.sendFloorRequest(t, d, output)
		case SendStoreRequest:
			m.sendStoreRequest(t, r, output)
		case ReadHead:
			d.freshHeadRequested = true
		}
	}
}

func (m *model) daemonAt(address string) *daemon {
	for _, d := range m.daemons {
		if d.member.ControlAddress == address {
			return d
		}
	}
	return nil
}

func (m *model) sendFloorRequest(t *rapid.T, from *daemon, request SendFloorRequest) {
	learner := from.learner
	to := m.daemonAt(request.Address)
	if to == nil {
		return
	}
	path := route{kind: kindFloorRequest, daemon: to.number}
	m.send(path, func() {
		reply := to.keeper.HandleFloorRequest(request.Request)
		reply.From = to.member.ID
		m.send(path, func() {
			if from.learner != learner {
				return
			}
			m.carryOut(t, from, nil, learner.HandleReply(m.now, request.Token, reply))
			m.checkFloor(t, from)
		})
	})
}

func (m *model) sendStoreRequest(t *rapid.T, r *root, request SendStoreRequest) {
	releaser := r.releaser
	to := m.daemonAt(request.Address)
	path := route{kind: kindStoreRequest, daemon: to.number}
	m.send(path, func() {
		reply := to.keeper.HandleStoreRequest(request.Request)
		reply.From = to.member.ID
		reply.Incarnation = to.incarnation
		m.send(path, func() {
			if r.releaser != releaser {
				return
			}
			m.carryOut(t, nil, r, releaser.HandleReply(m.now, request.Token, reply))
			m.released = max(m.released, releaser.Released())
		})
	})
}

func (m *model) send(path route, deliver func()) {
	m.inFlight = append(m.inFlight, message{route: path, deliver: deliver})
}

// checkFloor checks a daemon's floor once it is known: it must not be below any
// version released before the daemon restarted.
func (m *model) checkFloor(t *rapid.T, d *daemon) {
	if d.learner == nil {
		return
	}
	floor, known := d.learner.Floor()
	if !known {
		return
	}
	if floor < d.releasedAtStart {
		t.Fatalf("%s has floor %d but may have used version %d before its restart", d.member.ID, floor, d.releasedAtStart)
	}
	d.keeper.Validate(floor, d.learner.Keepers())
	d.learner = nil
	m.floorsLearnt++
}

// checkQuorums checks that no learner could conclude a floor that is too low,
// even if none is learning now: no recent keeper set has a read quorum of valid
// keepers that know neither the released version nor a newer set.
func (m *model) checkQuorums(t *rapid.T) {
	for _, set := range m.recentSets() {
		if set.Revision > m.released {
			continue
		}
		lacksVersion := func(id protocol.NodeID) bool {
			for _, d := range m.daemons {
				if d.member.ID == id {
					return d.keeper.IsValid() && d.keeper.Stored() < m.released && d.keeper.KeeperSet().Revision <= set.Revision
				}
			}
			return false
		}
		if HasReadQuorum(set, lacksVersion) {
			t.Fatalf("version %d is released, but a read quorum of set %d may not have stored it", m.released, set.Revision)
		}
	}
}

// recentSets returns the last six distinct keeper sets of the heads.
func (m *model) recentSets() []protocol.KeeperSet {
	sets := lo.UniqBy(m.keeperSets, func(set protocol.KeeperSet) protocol.Version { return set.Revision })
	return sets[max(0, len(sets)-6):]
}

// step draws and runs one action. The more messages are in flight, the more
// likely it delivers one, so that exchanges complete.
func (m *model) step(t *rapid.T) {
	if m.random.IntN(len(m.inFlight)+6) >= 4 && m.deliver() {
		return
	}
	d := m.daemons[m.random.IntN(len(m.daemons))]
	r := m.roots[m.random.IntN(len(m.roots))]
	switch action := m.random.IntN(100); {
	case action < 10:
		m.delayed[route{kind: messageKind(m.random.IntN(2)), daemon: d.number}] = m.random.IntN(2) == 0
	case action < 13:
		m.delayed = map[route]bool{}
	case action < 17:
		if d.keeper.IsValid() { // learns the keeper set of some head from a peer
			d.keeper.Validate(0, m.keeperSetAt(1+protocol.Version(m.random.IntN(len(m.keeperSets)))))
		}
	case action < 30:
		m.tick(t)
	case action < 38:
		m.restart(d)
	case action < 62:
		m.accept(nil)
	case action < 74:
		live := max(1+m.random.IntN(len(m.daemons)), 1+m.random.IntN(len(m.daemons)))
		if next, changed := ChooseKeepers("region", m.keeperSetAt(r.seenVersion), m.members(live), r.releaser.Released()); changed {
			m.accept(&next)
		}
	case action < 94:
		r.seenVersion = m.headVersion()
		m.carryOut(t, nil, r, r.releaser.SetTarget(m.now, 1, r.seenVersion, m.keeperSetAt(r.seenVersion)))
	case action < 96:
		*r = root{releaser: NewReleaser("root", "region"), seenVersion: r.seenVersion}
	case action < 99:
		if d.learner != nil && d.freshHeadRequested {
			d.learner.HandleHead(m.now, m.headVersion(), []protocol.KeeperSet{m.keeperSetAt(m.headVersion())})
			m.checkFloor(t, d)
		}
	default:
		m.inFlight = nil
	}
}

// deliver delivers a message that is not delayed, often one of the oldest, and
// sometimes duplicates or loses it. It reports whether there was one.
func (m *model) deliver() bool {
	i := m.random.IntN(max(1, len(m.inFlight)))
	if m.random.IntN(2) == 0 {
		i = m.random.IntN(min(4, max(1, len(m.inFlight))))
	}
	for i < len(m.inFlight) && m.delayed[m.inFlight[i].route] {
		i++
	}
	if i >= len(m.inFlight) {
		return false
	}
	next := m.inFlight[i]
	if m.random.IntN(20) > 0 {
		m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
	}
	if m.random.IntN(20) > 0 {
		next.deliver()
	}
	return true
}

func (m *model) tick(t *rapid.T) {
	m.now += 300 * time.Millisecond
	for _, r := range m.roots {
		m.carryOut(t, nil, r, r.releaser.Tick(m.now))
	}
	for _, d := range m.daemons {
		if d.learner != nil {
			m.carryOut(t, d, nil, d.learner.Tick(m.now))
		}
	}
}

// recover ends all faults and expects that within 40 rounds every daemon obtains
// its floor and the newest version is released.
func (m *model) recover(t *rapid.T) {
	m.delayed = map[route]bool{}
	for range 40 {
		m.tick(t)
		for _, r := range m.roots {
			r.seenVersion = m.headVersion()
			m.carryOut(t, nil, r, r.releaser.SetTarget(m.now, 1, r.seenVersion, m.keeperSetAt(r.seenVersion)))
		}
		for _, d := range m.daemons {
			if d.learner != nil && d.freshHeadRequested {
				d.learner.HandleHead(m.now, m.headVersion(), []protocol.KeeperSet{m.keeperSetAt(m.headVersion())})
				m.checkFloor(t, d)
			}
		}
		for len(m.inFlight) > 0 {
			next := m.inFlight[0]
			m.inFlight = m.inFlight[1:]
			next.deliver()
		}
		m.checkQuorums(t)
	}
	for _, d := range m.daemons {
		if !d.keeper.IsValid() {
			t.Fatalf("%s does not know its floor after the faults ended", d.member.ID)
		}
	}
	if m.released != m.headVersion() {
		t.Fatalf("released version %d after the faults ended, want %d", m.released, m.headVersion())
	}
}

// maxModelSteps is the maximum number of steps in one run of the model.
const maxModelSteps = 1500

func TestFloorIsNeverBelowReleasedVersion(t *testing.T) {
	var floors, released int
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(xxhash.Sum64(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "seed")), 2)
		for range maxModelSteps - rapid.IntRange(0, maxModelSteps-1).Draw(t, "cut") {
			m.step(t)
			m.checkQuorums(t)
		}
		m.recover(t)
		floors += m.floorsLearnt
		released += int(m.released)
	})
	t.Logf("floors learnt: %d, versions released: %d", floors, released)
	if floors == 0 || released == 0 {
		t.Fatal("the runs learnt no floor or released no version")
	}
}
