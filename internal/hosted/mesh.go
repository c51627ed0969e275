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
	"github.com/springstack/springstack/internal/core/verification"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/proxy"
)

const (
	// controlTimeout limits the time of one call to a peer.
	controlTimeout = 500 * time.Millisecond
	// comparisonInterval is the mean time between two comparisons of records with peers of the own
	// zone. urgentComparisonInterval is the same until the daemon has joined the mesh, and while
	// the store does not answer.
	comparisonInterval       = time.Second
	urgentComparisonInterval = 300 * time.Millisecond
	// otherZoneRounds is the interval, in rounds of comparisons, between two rounds that may include
	// a peer of another zone.
	otherZoneRounds = 2
	// maxJoinWait is how long a starting daemon waits for the records of a peer before it joins
	// without them.
	maxJoinWait = 1500 * time.Millisecond
	// registryLag is the maximum age of the contents of a list of the registry (seed_lag_s of the
	// sites). A daemon that has registered lists again after this time, so that daemons that start
	// together find each other.
	registryLag = 3 * time.Second
	// leftPeerRetention is how long a daemon that has left is still kept as a peer.
	leftPeerRetention = time.Minute
	// isolatedAfter is the time without contact to any peer after which a daemon lists the registry
	// again.
	isolatedAfter = 5 * time.Second
)

// mesh holds the records of all daemons and their back ends, and exchanges them with peers: by
// broadcasts when a record changes, and by periodic comparisons of checksums.
type mesh struct {
	events     eventLog
	clock      func() time.Duration
	registry   authority.Registry
	storeCalls *storeCalls
	contacts   *contactTimes
	// reads makes the calls to the store that are answered at once. connections restarts watches,
	// which wait for a change, when connections are renewed.
	reads       *hedgedReads
	connections *connectionRenewer
	eras        *eraTracker
	client      *control.Client
	messages    peerMessages
	// publishState passes the records of all daemons and the orders to the data path.
	publishState func(proxy.MeshState)
	harmful      harmfulRequests
	// heldStore reads and writes the held requests in the store, where they are kept for a start at
	// which no peer has them.
	heldStore authority.HeldRequests
	// storedHeld are the held requests that this daemon has written to the store or read there;
	// guarded by mutex.
	storedHeld map[quarantine.Signature]storedRequest
	// absentHeld are the requests that are no longer in the store, kept while a delayed call to the
	// store may still write or remove them; guarded by mutex.
	absentHeld map[quarantine.Signature]absentRequest
	// rollouts are the known roll-out orders; guarded by mutex.
	rollouts *rolloutTable
	// evacuations are the orders to evacuate zones; guarded by mutex. onZoneChange is called with the
	// lock held when they change; it must not call the mesh.
	evacuations  evacuation.Table
	onZoneChange func()
	// evacuationTiming holds the time within which evacuation orders take effect; with the zero
	// value they are ignored.
	evacuationTiming evacuation.Timing
	version          func() protocol.Version
	// documentFor returns the configuration in force, packed for a peer that has an older version.
	documentFor        func(have protocol.Version) protocol.DocumentReply
	onPeerVersion      func(protocol.NodeID, protocol.Version)
	isStoreUnavailable func() bool
	// readEvidence returns the gate's counts of the back end's answers, and how many calls run or
	// wait there. setCounting starts or ends the counting.
	readEvidence func() (rollout.Evidence, int)
	setCounting  func(bool)
	// listRolloutOrders reads the roll-out orders once, and reports whether the store answered; nil
	// if roll-out orders are not followed.
	listRolloutOrders func() bool
	// pollStore reads the configuration from the store once, and reports whether the store
	// answered.
	pollStore func() bool
	// pollRequested wakes pollLoop. The three fields after it are guarded by mutex: until when this
	// daemon polls as a substitute, whether its last poll failed, and when that poll ended.
	pollRequested    chan struct{}
	substituteUntil  time.Duration
	lastPollFailed   bool
	lastPollAt       time.Duration
	maxDocumentBytes int
	context          context.Context
	running          sync.WaitGroup

	hasJoined atomic.Bool
	// registering is true while a registration that the store has lost is written again.
	registering atomic.Bool
	mutex       sync.Mutex
	self        protocol.Member
	roster      *membership.Roster
	// registrations are the daemons on the latest list of the registry.
	registrations []authority.Registration
	// quotas limits the calls of tenants.
	quotas *quotas
	// directoryCache holds the directory of the other daemons; see peerDirectory.
	directoryCache cachedDirectory
	// batch collects the records that this daemon broadcasts as the relay of its zone.
	batch *dissemination.Batch[protocol.NodeID]
	// harmfulBatch collects the keys of the records of harmful requests that this daemon broadcasts
	// as the relay of its zone; see quarantine.Signature.Key.
	harmfulBatch *dissemination.Batch[uint64]
	// publishing is true while a publication is scheduled; publishedAt is the time of the last one.
	publishing  bool
	publishedAt time.Duration
	// lostPeers are the peers that did not answer the last call to them.
	lostPeers map[protocol.NodeID]bool
	// verifying are the daemons whose reachability is being verified, each with a channel that
	// receives a value when the daemon has started again.
	verifying map[protocol.NodeID]chan struct{}
	// pacer bounds the verifications; guarded by mutex.
	pacer verification.Pacer
	// restoreDraining restores from a peer's record that an instance of this daemon's back end was
	// draining; it must not call the mesh.
	restoreDraining func(protocol.BackendStart)
	// restoreCallRate restores from a peer's record the calls per second that an instance of this daemon's
	// back end stated to accept; it must not call the mesh.
	restoreCallRate func(start protocol.BackendStart, perSecond float64)
	reachability    reachability
	// roundTrips estimates how long peers take to answer.
	roundTrips *roundtrip.Estimator
	// lastPeerContact is when a peer last answered or called.
	lastPeerContact time.Duration
	// comparisonTurn counts the comparisons with peers of the own zone, and selects the next peer.
	comparisonTurn int
}

// reachability is the part of the data path that acts on daemons that do not answer.
type reachability interface {
	// SetReachable records whether a daemon answers its peers; new calls avoid one that does not.
	SetReachable(protocol.NodeID, bool)
	// HedgeCalls makes further attempts elsewhere for the calls that run at a daemon.
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

// isJoined reports whether the daemon has the records of its peers, or has waited maxJoinWait for
// them.
func (m *mesh) isJoined() bool { return m.hasJoined.Load() }

func (m *mesh) awaitJoin() {
	if !pause.For(m.context, maxJoinWait) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.markJoined()
}

// markJoined lets the daemon report itself ready; the lock is held. The records of its peers are
// published first. A scheduled publication may still be pending, and calls to a daemon that
// reports itself ready would find no back end until then.
func (m *mesh) markJoined() {
	if m.isJoined() {
		return
	}
	m.publishAll()
	m.hasJoined.Store(true)
}

// announceBackend updates the back end's state in the own record and broadcasts the record.
func (m *mesh) announceBackend(view backend.View) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.self.Backend = view.Start.Instance
	m.self.Born = view.Start.Born
	m.self.Slots = view.Slots
	m.self.Software = view.Software
	m.self.Endpoint = view.State
	m.self.CallRate = view.CallRate
	m.announceSelf()
}

// announceStop announces to peers that this daemon accepts no more calls.
func (m *mesh) announceStop() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.self.State = protocol.MemberDraining
	m.announceSelf()
}

// announceSelf increases the sequence number of the own record, publishes it to the data path and
// broadcasts it; the lock is held.
func (m *mesh) announceSelf() {
	m.self.Sequence++
	m.roster.Merge(m.clock(), m.self, membership.SourceSubtree)
	m.publishAll()
	m.broadcastOwnRecord()
}

// samplePeers returns up to count different peers, chosen at random.
func samplePeers(peers []dissemination.Peer, count int) []dissemination.Peer {
	shuffled := slices.Clone(peers)
	for index := range min(count, len(shuffled)) {
		other := index + int(randomNumber()%uint64(len(shuffled)-index))
		shuffled[index], shuffled[other] = shuffled[other], shuffled[index]
	}
	return shuffled[:min(count, len(shuffled))]
}

// push sends records to the targets that are not lost, without waiting for answers; the lock is
// held.
func (m *mesh) push(targets []dissemination.Peer, records ...protocol.Member) {
	for _, target := range targets {
		if !m.isLost(target.ID) {
			m.sendToFirstReachable([]dissemination.Peer{target}, m.newPushRequest(records), false)
		}
	}
}

// callPeer sends one request to a peer and applies the contents of the reply except for its member
// records. It returns nil if there was no valid answer.
func (m *mesh) callPeer(target dissemination.Peer, request *protocol.ExchangeRequest) *protocol.ExchangeReply {
	ctx, cancel := context.WithTimeout(m.context, controlTimeout)
	defer cancel()
	sentAt := m.clock()
	body, err := m.sendRequest(ctx, target.Address, request)
	if m.context.Err() != nil {
		return nil
	}
	if err == nil {
		m.roundTrips.Observe(m.clock() - sentAt)
	}
	reply, _ := body.(*protocol.ExchangeReply)
	m.recordPeerAnswer(target, err == nil && reply != nil)
	if err != nil || reply == nil {
		return nil
	}
	m.eras.observe(reply.Era, string(target.ID))
	m.onPeerVersion(target.ID, reply.Version)
	m.handlePeerRollouts(reply.Rollouts)
	m.handleEvacuations(sentAt, string(target.ID), reply.Evacuations)
	m.mergeHarmful(string(target.ID), reply.Harmful)
	return reply
}

// recordPeerAnswer records whether a peer answered, and logs when the peer is lost or regained.
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

// mergeMembers merges records that a peer has sent, and returns those that were new; the lock is
// held.
func (m *mesh) mergeMembers(members []protocol.Member) []protocol.Member {
	var newRecords []protocol.Member
	for _, member := range members {
		if member.ID == m.self.ID {
			m.resumeBackendState(member)
			m.refute(member)
			continue
		}
		previous, known := m.roster.Get(member.ID)
		if !m.roster.Merge(m.clock(), member, membership.SourceSubtree) {
			continue
		}
		newRecords = append(newRecords, member)
		if known && member.Incarnation > previous.Incarnation {
			m.reportRestart(member.ID)
		}
		if known && isUnawareOfDrain(previous, member) {
			m.sendEarlierRecord(previous, member)
		}
	}
	if len(newRecords) > 0 {
		m.schedulePublish()
		m.logChanges(newRecords)
	}
	return newRecords
}

// maxLoggedRecords is the number of new records of one message that get a log line each. More, as at a
// start of the whole mesh, are summed in one line.
const maxLoggedRecords = 64

// logChanges logs new records.
func (m *mesh) logChanges(newRecords []protocol.Member) {
	if len(newRecords) > maxLoggedRecords {
		m.events.event("endpoints_news", field("records", formatCount(uint64(len(newRecords)))))
		return
	}
	for _, member := range newRecords {
		m.events.event("endpoint_news", field("peer", string(member.ID)), field("instance", member.Backend), startTimeField(member.Born),
			field("state", member.Endpoint.String()), field("member", member.State.String()))
	}
}

// lostPeerCount returns the number of peers that did not answer the last call to them.
func (m *mesh) lostPeerCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.lostPeers)
}

// daemonCount returns the number of known daemons, including this one.
func (m *mesh) daemonCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.peerDirectory().All()) + 1
}

// awaitStopped waits until all goroutines of the mesh have ended; the context must have ended.
func (m *mesh) awaitStopped() { m.running.Wait() }
