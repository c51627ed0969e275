package hosted

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/following"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/result"
)

const (
	// readTimeout bounds one reading call to the store.
	storeReadTimeout = 1500 * time.Millisecond
	// watchMargin is how much later than it promised a watch may be answered
	// before its connection is given up.
	watchTimeoutMargin = time.Second
)

// configuration follows the authority and puts versions in force.
type configurationFollower struct {
	source        authority.Source
	events        eventLog
	clock         func() time.Duration
	applySnapshot func(*snapshot.Snapshot)
	applyLimits   func(authority.RequestLimits)
	// announce tells peers of the version in force, which their watches may have
	// missed too; polled says that the store itself was read. It must not wait.
	announceVersion func(polled bool)
	fetchFromPeer   func(context.Context, protocol.NodeID, protocol.Version) authority.Document
	context         context.Context
	inForce         atomic.Pointer[authority.Document]
	// packing guards packed, the document that peers were last given.
	packMutex       sync.Mutex
	packedReply     protocol.DocumentReply
	currentSnapshot atomic.Pointer[snapshot.Snapshot]
	running         sync.WaitGroup
	mutex           sync.Mutex
	follower        *following.Follower
	// calls counts the calls to the store; reads makes those that are answered at once, connections
	// those that wait.
	calls       *storeCalls
	reads       *hedgedReads
	connections *connectionRenewer
	eras        *eraTracker
	// changedAt is when the version in force came, and changedBy its source.
	adoptedAt   time.Duration
	adoptedFrom string
	// watchedAt is when the watch that waits began; 0 while none waits.
	watchStartedAt time.Duration
	// contact keeps when the store and peers were last heard.
	contacts *contactTimes
	// storeLost is set while the store does not answer.
	storeUnavailable bool
}

func (c *configurationFollower) start() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runActions(c.follower.Start())
}

// version is the version in force; 0 for none.
func (c *configurationFollower) version() protocol.Version {
	if held := c.inForce.Load(); held != nil {
		return held.Version
	}
	return 0
}

// packedDocument is what is in force for a peer that has an older version; one
// without a version means that there is nothing newer. It is packed once for all
// peers.
func (c *configurationFollower) packedDocument(have protocol.Version) protocol.DocumentReply {
	held := c.inForce.Load()
	if held == nil || held.Version <= have {
		return protocol.DocumentReply{}
	}
	c.packMutex.Lock()
	defer c.packMutex.Unlock()
	if c.packedReply.Version != held.Version {
		c.packedReply = packDocument(*held)
	}
	return c.packedReply
}

// healthPath is where the back ends of a service answer probes; empty while
// that is not known.
func (c *configurationFollower) healthPath(service resource.ServiceRef) string {
	built := c.currentSnapshot.Load()
	if built == nil {
		return ""
	}
	return built.Services[service].HealthPath
}

// age is how long ago the version in force came; 0 without one.
func (c *configurationFollower) versionAge() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.version() == 0 {
		return 0
	}
	return c.clock() - c.adoptedAt
}

// storeFails tells whether the store's last answer was a failure.
func (c *configurationFollower) isStoreUnavailable() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.storeUnavailable
}

// newEra takes that the store has come back from an older copy.
func (c *configurationFollower) observeEra(era uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.follower.ObserveEra(era)
}

// heardOf takes a peer's word of the version that it has in force.
func (c *configurationFollower) handlePeerVersion(peer protocol.NodeID, version protocol.Version) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runActions(c.follower.HandlePeerVersion(c.clock(), peer, version))
}

// carryOut does what the follower has decided; the lock is held. Reads and
// watches run on goroutines of their own and come back with their results.
func (c *configurationFollower) runActions(actions []following.Action) {
	for _, action := range actions {
		if action.Kind == following.Adopt {
			c.adopt(action)
			continue
		}
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			c.runAction(action)
		}()
	}
}

// ask carries out an action that waits for an answer.
func (c *configurationFollower) runAction(action following.Action) {
	if !pause.For(c.context, action.After) {
		return
	}
	if action.Kind == following.Rewatch {
		c.renewPendingWatch(action.Turn)
		return
	}
	if action.Kind == following.FetchFromPeer {
		document := c.fetchIfNewer(action)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.runActions(c.follower.HandlePeerDocument(c.clock(), action.Peer, document))
		return
	}
	reading := c.readOrWatch(action)
	if c.context.Err() != nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.updateStoreAvailability(reading)
	c.runActions(c.follower.HandleStoreRead(c.clock(), reading))
}

// rewatch makes a watch again over a new connection, unless it has been answered.
func (c *configurationFollower) renewPendingWatch(turn uint64) {
	c.mutex.Lock()
	waits, waited := c.follower.IsWatchPending(turn), c.clock()-c.watchStartedAt
	c.mutex.Unlock()
	if waits {
		c.connections.renewAfterMissedChange(waited)
	}
}

// askIfLacking asks a peer for its document, unless its version has come from
// elsewhere meanwhile.
func (c *configurationFollower) fetchIfNewer(action following.Action) authority.Document {
	c.mutex.Lock()
	lacking := c.follower.IsNewer(action.Version)
	c.mutex.Unlock()
	if !lacking {
		return authority.Document{}
	}
	return c.fetchFromPeer(c.context, action.Peer, c.version())
}

// poll reads the store besides the watch, and tells whether it answered.
func (c *configurationFollower) pollStore() bool {
	reading := c.readCurrent(purposePoll, authority.Linearizable)
	if c.context.Err() != nil {
		return false
	}
	if reading.Code == result.OK {
		c.contacts.record(contactPoll)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runActions(c.follower.HandlePoll(c.clock(), reading))
	return reading.Code == result.OK
}

// read makes one call to the store.
func (c *configurationFollower) readOrWatch(action following.Action) authority.Reading {
	var reading authority.Reading
	if action.Kind == following.Watch {
		reading = c.watch(action.From)
	} else {
		reading = c.readCurrent(purposeRead, action.Freshness)
	}
	if reading.Code == result.OK || reading.Code == result.PlatformCompacted {
		c.contacts.record(contactWatch)
	}
	return reading
}

// watch waits for a change after a position.
func (c *configurationFollower) watch(from authority.Position) authority.Reading {
	reading, err := watchAcrossRenewals(c.connections, c.context, from, watchWait+watchTimeoutMargin, func(ctx context.Context) (authority.Reading, error) {
		c.setWatchStart(c.clock())
		defer c.setWatchStart(0)
		reading := c.source.Watch(ctx, from, watchWait)
		c.calls.record(purposeWatch, reading.Code)
		reading.At = c.eras.withEra(reading.At)
		return reading, nil // its code tells
	})
	if err != nil {
		return authority.Reading{Code: codeOf(err), Detail: err.Error()}
	}
	return reading
}

// readNow reads what the store holds now.
func (c *configurationFollower) readCurrent(purpose storePurpose, freshness authority.Freshness) authority.Reading {
	reading, _ := readStore(c.reads, c.context, purpose, storeReadTimeout, func(ctx context.Context) (authority.Reading, error) {
		reading := c.source.Read(ctx, freshness)
		reading.At = c.eras.withEra(reading.At)
		return reading, reading.Err()
	})
	return reading
}

// noteWatch notes when the watch that waits began; 0 says that it has ended.
func (c *configurationFollower) setWatchStart(began time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watchStartedAt = began
}

// freshness tells, for the log of a decision by the version in force, how that came and when
// each source of newer ones was last heard.
func (c *configurationFollower) freshnessFields() []proxy.EventField {
	c.mutex.Lock()
	source, age, watched := c.adoptedFrom, c.clock()-c.adoptedAt, c.watchStartedAt
	c.mutex.Unlock()
	fields := []proxy.EventField{{Key: "version_age_ms", Value: formatMillis(age)}, {Key: "version_source", Value: source}}
	if watched != 0 {
		fields = append(fields, proxy.EventField{Key: "watch_waits_ms", Value: formatMillis(c.clock() - watched)})
	}
	return append(fields, c.contacts.ageFields()...)
}

// noteStore logs when the store is lost and regained; the lock is held.
func (c *configurationFollower) updateStoreAvailability(reading authority.Reading) {
	lost := reading.Code != result.OK && reading.Code != result.PlatformCompacted
	if lost == c.storeUnavailable {
		return
	}
	c.storeUnavailable = lost
	if lost {
		c.events.event("store_lost", field("code", formatCode(reading.Code)), field("detail", reading.Detail))
		return
	}
	c.events.event("store_regained")
}

// adopt puts a document in force whole, or leaves what is in force; the lock
// is held, so versions come in order.
func (c *configurationFollower) adopt(action following.Action) {
	document := action.Document
	decoded, err := c.source.Decode(document)
	if err == nil {
		var built *snapshot.Snapshot
		if built, err = snapshot.FromDecoded(decoded.Version, decoded.Services, decoded.Routes); err == nil {
			c.applyLimits(decoded.Limits)
			c.applySnapshot(built)
			c.currentSnapshot.Store(built)
			c.inForce.Store(&document)
			c.adoptedAt = c.clock()
			c.adoptedFrom = action.Source
		}
	}
	if err != nil {
		c.events.event("configuration_refused", field("version", formatVersion(document.Version)),
			field("source", action.Source), field("error", err.Error()))
		return
	}
	c.logFaults(document.Version, decoded.Faults)
	if action.Source != following.SourceStore {
		c.announceVersion(action.Source == following.SourcePoll)
	}
	c.events.event("configuration_in_force", field("version", formatVersion(document.Version)),
		field("source", action.Source), field("routes", strconv.Itoa(len(decoded.Routes))))
}

// logFaults writes a line for each part of a version that can't be carried out.
func (c *configurationFollower) logFaults(version protocol.Version, faults []error) {
	for _, fault := range faults {
		c.events.event("configuration_fault", field("version", formatVersion(version)),
			field("code", formatCode(codeOf(fault))), field("error", fault.Error()))
	}
}

// stop waits until nothing runs any more; the context must have ended.
func (c *configurationFollower) wait() { c.running.Wait() }

func formatVersion(version protocol.Version) string { return strconv.FormatUint(uint64(version), 10) }

func formatCode(code result.Code) string { return strconv.Itoa(int(code)) }
