package hosted

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/rollout"
	"github.com/springstack/springstack/internal/core/roundtrip"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/proxy"
)

const (
	// controlTimeout bounds one call to a peer.
	controlTimeout = 500 * time.Millisecond
	// exchangePeriod is the time between two comparisons with peers of the own
	// zone, exchangeUrgent the same while the store does not answer.
	comparisonInterval       = time.Second
	urgentComparisonInterval = 300 * time.Millisecond
	// farEvery is how many comparisons pass between two with other zones.
	otherZoneRounds = 2
	// joinWait is how long a start waits to hear from a peer before the daemon
	// calls itself ready without.
	maxJoinWait = 1500 * time.Millisecond
	// registryLag is how old the registry's list may be (seed_lag_s of the sites):
	// who has registered lists again after that, so that daemons that started
	// together find each other.
	registryLag = 3 * time.Second
	// returnWait is how long a daemon that has left is still asked.
	leftPeerRetention = time.Minute
	// isolatedAfter is when a daemon that no peer has answered lists the
	// registry again.
	isolatedAfter = 5 * time.Second
)

// mesh knows the other daemons and the back ends beside them. Records spread by
// broadcasts when they change and by comparisons of sums ever after.
type mesh struct {
	events     eventLog
	clock      func() time.Duration
	registry   authority.Registry
	storeCalls *storeCalls
	contacts   *contactTimes
	// reads makes calls to the store that are answered at once, connections those that wait.
	reads       *hedgedReads
	connections *connectionRenewer
	eras        *eraTracker
	client      *control.Client
	// publish gives the data path what is known of the others.
	publishState func(proxy.MeshState)
	harmful      harmfulRequests
	// held keeps requests that are held, for a start at which nobody remembers them.
	heldStore authority.HeldRequests
	// kept are the held requests that this daemon has written to the store or read there;
	// guarded by mutex.
	storedHeld map[quarantine.Signature]storedRequest
	// settled are those that stand there no more by the daemon's or an operator's doing, while
	// a late write may still change that; guarded by mutex.
	absentHeld map[quarantine.Signature]absentRequest
	// rollouts are the orders that the daemon knows; guarded by mutex.
	rollouts *rolloutTable
	// evacuations are the zones to be empty; guarded by mutex. zoneChanged is told when
	// that is news; it must not call back.
	evacuations  evacuation.Table
	onZoneChange func()
	// evacuationTiming says how soon orders are in force; the zero value heeds none.
	evacuationTiming evacuation.Timing
	version          func() protocol.Version
	// document is the configuration in force, packed for a peer that has an older
	// version.
	documentFor        func(have protocol.Version) protocol.DocumentReply
	onPeerVersion      func(protocol.NodeID, protocol.Version)
	isStoreUnavailable func() bool
	// counted is what the gate has counted of the back end's answers, and how many calls
	// run or wait there; countAnswers has it begin or end.
	readEvidence func() (rollout.Evidence, int)
	setCounting  func(bool)
	// listOrders reads the orders of roll-outs once, and tells whether the store answered;
	// nil where none are followed.
	listRolloutOrders func() bool
	// poll reads the store once, and tells whether it answered.
	pollStore func() bool
	// pollNow wakes the loop that polls. The others are guarded by mutex: until when this daemon
	// polls for another one, whether its last poll failed, and when that was.
	pollRequested    chan struct{}
	substituteUntil  time.Duration
	lastPollFailed   bool
	lastPollAt       time.Duration
	maxDocumentBytes int
	context          context.Context
	running          sync.WaitGroup

	hasJoined atomic.Bool
	// registering is set while the registration is written again.
	registering atomic.Bool
	mutex       sync.Mutex
	self        protocol.Member
	roster      *membership.Roster
	// registered are daemons that the registry names.
	registrations []authority.Registration
	// index holds the other daemons; see peers.
	directoryCache cachedDirectory
	// batch gathers the records that this daemon broadcasts as the relay of its
	// zone.
	batch *dissemination.Batch
	// publishing is set while a publication waits for its time; publishedAt is
	// when the last one was.
	publishing  bool
	publishedAt time.Duration
	// lost are the peers that did not answer last time.
	lostPeers map[protocol.NodeID]bool
	// verifying are the daemons that are being asked whether they are there.
	verifying map[protocol.NodeID]bool
	// rememberLeaving takes a peer's memory that a start of the back end beside this daemon
	// was leaving; it must not call back.
	restoreDraining func(protocol.BackendStart)
	reachability    reachability
	// roundTrips estimates how long peers take to answer.
	roundTrips *roundtrip.Estimator
	// heardAt is when a peer last answered.
	lastPeerContact time.Duration
	comparisonTurn  int
}

// reachability is what the data path is told of daemons that do not answer.
type reachability interface {
	// SetReachable keeps new calls from a daemon, or lets them go there again.
	SetReachable(protocol.NodeID, bool)
	// GiveUp has the calls at a daemon hedged by attempts elsewhere.
	HedgeCalls(protocol.NodeID)
}

func (m *mesh) start() {
	m.mutex.Lock()
	m.roster.Merge(m.clock(), m.self, membership.SourceSubtree)
	m.mutex.Unlock()
	for _, loop := range []func(){m.register, m.runComparisons, m.pollLoop, m.awaitJoin, m.syncHeldRequests} {
		m.running.Add(1)
		go func() {
			defer m.running.Done()
			loop()
		}()
	}
}

// joined tells whether the daemon has heard of its peers, or waited for them.
func (m *mesh) isJoined() bool { return m.hasJoined.Load() }

func (m *mesh) awaitJoin() {
	if !pause.For(m.context, maxJoinWait) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.markJoined()
}

// join lets the daemon call itself ready; the lock is held. What it has heard of its peers is
// put in force before: a publication may wait for its time, and calls that come to a daemon
// that says it is ready would find no back end meanwhile.
func (m *mesh) markJoined() {
	if m.isJoined() {
		return
	}
	m.publishAll()
	m.hasJoined.Store(true)
}

// announce changes what the own record says of the back end, and tells peers.
func (m *mesh) announceBackend(view backend.View) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.self.Backend = view.Start.Instance
	m.self.Born = view.Start.Born
	m.self.Slots = view.Slots
	m.self.Software = view.Software
	m.self.Endpoint = view.State
	m.announceSelf()
}

// announceStop tells peers that this daemon takes no more work.
func (m *mesh) announceStop() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.self.State = protocol.MemberDraining
	m.announceSelf()
}

// pushSelf raises the own record and tells peers; the lock is held.
func (m *mesh) announceSelf() {
	m.self.Sequence++
	m.roster.Merge(m.clock(), m.self, membership.SourceSubtree)
	m.publishAll()
	m.broadcastOwnRecord()
}

// drawn returns up to count peers at random.
func samplePeers(peers []dissemination.Peer, count int) []dissemination.Peer {
	shuffled := slices.Clone(peers)
	for index := range min(count, len(shuffled)) {
		other := index + int(randomNumber()%uint64(len(shuffled)-index))
		shuffled[index], shuffled[other] = shuffled[other], shuffled[index]
	}
	return shuffled[:min(count, len(shuffled))]
}

// push tells peers of records without waiting for them; the lock is held.
func (m *mesh) push(targets []dissemination.Peer, records ...protocol.Member) {
	for _, target := range targets {
		if !m.isLost(target.ID) {
			m.sendToFirstReachable([]dissemination.Peer{target}, m.newPushRequest(records), false)
		}
	}
}

// call sends one request to a peer; nil means that there was no answer.
func (m *mesh) callPeer(target dissemination.Peer, request *protocol.ExchangeRequest) *protocol.ExchangeReply {
	ctx, cancel := context.WithTimeout(m.context, controlTimeout)
	defer cancel()
	asked := m.clock()
	body, err := m.client.Call(ctx, target.Address, request)
	if m.context.Err() != nil {
		return nil
	}
	if err == nil {
		m.roundTrips.Observe(m.clock() - asked)
	}
	reply, _ := body.(*protocol.ExchangeReply)
	m.recordPeerAnswer(target, err == nil && reply != nil)
	if err != nil || reply == nil {
		return nil
	}
	m.eras.observe(reply.Era, string(target.ID))
	m.onPeerVersion(target.ID, reply.Version)
	m.handlePeerRollouts(reply.Rollouts)
	m.handleEvacuations(asked, string(target.ID), reply.Evacuations)
	m.mergeHarmful(string(target.ID), reply.Harmful, len(request.Harmful) > 0)
	return reply
}

// noteAnswer logs when a peer is lost and regained.
func (m *mesh) recordPeerAnswer(target dissemination.Peer, answered bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if answered {
		m.lastPeerContact = m.clock()
		m.contacts.record(contactPeer)
	}
	if m.lostPeers[target.ID] == !answered {
		return
	}
	if answered {
		delete(m.lostPeers, target.ID)
		m.events.event("peer_regained", field("peer", string(target.ID)))
		return
	}
	m.lostPeers[target.ID] = true
	m.events.event("peer_lost", field("peer", string(target.ID)))
	if member, known := m.roster.Get(target.ID); !known || member.State != protocol.MemberLeft {
		m.verifyReachableLocked(target)
	}
}

// take merges records that a daemon of a zone has sent, and returns those that were news; the
// lock is held.
func (m *mesh) mergeMembers(members []protocol.Member) []protocol.Member {
	var news []protocol.Member
	for _, member := range members {
		if member.ID == m.self.ID {
			m.resumeDrain(member)
			m.refute(member)
			continue
		}
		remembered, known := m.roster.Get(member.ID)
		if !m.roster.Merge(m.clock(), member, membership.SourceSubtree) {
			continue
		}
		news = append(news, member)
		if known && isUnawareOfDrain(remembered, member) {
			m.sendEarlierRecord(remembered, member)
		}
	}
	if len(news) > 0 {
		m.schedulePublish()
		m.logChanges(news)
	}
	return news
}

// logNews writes a line for each endpoint whose state is news.
func (m *mesh) logChanges(news []protocol.Member) {
	for _, member := range news {
		m.events.event("endpoint_news", field("peer", string(member.ID)), field("instance", member.Backend), bornField(member.Born),
			field("state", member.Endpoint.String()), field("member", member.State.String()))
	}
}

// lostCount is how many peers did not answer when they were last asked.
func (m *mesh) lostPeerCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.lostPeers)
}

// size is how many daemons are known, this one included.
func (m *mesh) daemonCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.peerDirectory().All()) + 1
}

// stop waits until nothing runs any more; the context must have ended.
func (m *mesh) awaitStopped() { m.running.Wait() }
