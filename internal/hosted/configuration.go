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
	// storeReadTimeout bounds one read call to the store.
	storeReadTimeout = 1500 * time.Millisecond
	// watchTimeoutMargin is the time by which the timeout of a watch exceeds the wait
	// requested of the store.
	watchTimeoutMargin = time.Second
)

// configurationFollower reads and watches the configuration in the store, or fetches it from
// peers, and puts new versions in force.
type configurationFollower struct {
	source        authority.Source
	events        eventLog
	clock         func() time.Duration
	applySnapshot func(*snapshot.Snapshot)
	applyLimits   func(authority.RequestLimits)
	// announceVersion sends the version in force to peers, whose watches may have missed it
	// too. polled is set if a poll read the version from the store. It must not block.
	announceVersion func(polled bool)
	fetchFromPeer   func(context.Context, protocol.NodeID, protocol.Version) authority.Document
	context         context.Context
	inForce         atomic.Pointer[authority.Document]
	// packMutex guards packedReply, the compressed document that was last sent to peers.
	packMutex       sync.Mutex
	packedReply     protocol.DocumentReply
	currentSnapshot atomic.Pointer[snapshot.Snapshot]
	running         sync.WaitGroup
	// mutex guards follower, adoptedAt, adoptedFrom, watchStartedAt and storeUnavailable.
	mutex    sync.Mutex
	follower *following.Follower
	// calls counts the calls to the store. reads makes the read calls and hedges them over new
	// connections; connections restarts watches when connections are renewed.
	calls       *storeCalls
	reads       *hedgedReads
	connections *connectionRenewer
	eras        *eraTracker
	// adoptedAt is when the version in force was adopted, and adoptedFrom its source.
	adoptedAt   time.Duration
	adoptedFrom string
	// watchStartedAt is when the pending watch started; 0 while none is pending.
	watchStartedAt time.Duration
	// contacts holds the time of the last contact with the store and with any peer.
	contacts *contactTimes
	// storeUnavailable is set if the last read or watch of the store failed, polls excluded.
	storeUnavailable bool
}

func (c *configurationFollower) start() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runActions(c.follower.Start())
}

// version returns the version in force, or 0 if there is none.
func (c *configurationFollower) version() protocol.Version {
	if document := c.inForce.Load(); document != nil {
		return document.Version
	}
	return 0
}

// packedDocument returns the document in force for a peer that has the given version, or a
// reply with version 0 if the peer's version is not older. The document is compressed once
// for all peers.
func (c *configurationFollower) packedDocument(have protocol.Version) protocol.DocumentReply {
	document := c.inForce.Load()
	if document == nil || document.Version <= have {
		return protocol.DocumentReply{}
	}
	c.packMutex.Lock()
	defer c.packMutex.Unlock()
	if c.packedReply.Version != document.Version {
		c.packedReply = packDocument(*document)
	}
	return c.packedReply
}

// healthPath returns the path at which the back ends of a service answer probes; empty while
// no version is in force.
func (c *configurationFollower) healthPath(service resource.ServiceRef) string {
	current := c.currentSnapshot.Load()
	if current == nil {
		return ""
	}
	return current.Services[service].HealthPath
}

// versionAge returns the time since the version in force was adopted, or 0 if there is none.
func (c *configurationFollower) versionAge() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.version() == 0 {
		return 0
	}
	return c.clock() - c.adoptedAt
}

// isStoreUnavailable reports whether the last read or watch of the store failed, polls excluded.
func (c *configurationFollower) isStoreUnavailable() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.storeUnavailable
}

// observeEra records a later era of the store, which begins when the store is restored from an
// older copy.
func (c *configurationFollower) observeEra(era uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.follower.ObserveEra(era)
}

// handlePeerVersion handles the version that a peer reports to have in force.
func (c *configurationFollower) handlePeerVersion(peer protocol.NodeID, version protocol.Version) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.runActions(c.follower.HandlePeerVersion(c.clock(), peer, version))
}

// runActions runs the actions that the follower returned. Each action other than Adopt runs on
// a goroutine of its own, and its result, if any, is passed back to the follower. The lock is held.
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

// runAction runs an action other than Adopt after its delay.
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
	c.runActions(c.follower.HandleReading(c.clock(), reading))
}

// renewPendingWatch restarts the watch with the given number over a new connection, unless it has
// been answered.
func (c *configurationFollower) renewPendingWatch(watchNumber uint64) {
	c.mutex.Lock()
	pending, waited := c.follower.IsWatchPending(watchNumber), c.clock()-c.watchStartedAt
	c.mutex.Unlock()
	if pending {
		c.connections.renewAfterMissedChange(waited)
	}
}

// fetchIfNewer fetches the document of a peer, unless its version has been received from another
// source in the meantime.
func (c *configurationFollower) fetchIfNewer(action following.Action) authority.Document {
	c.mutex.Lock()
	newer := c.follower.IsNewer(action.Version)
	c.mutex.Unlock()
	if !newer {
		return authority.Document{}
	}
	return c.fetchFromPeer(c.context, action.Peer, c.version())
}

// pollStore reads the store in addition to the watch and reports whether the read succeeded.
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

// readOrWatch runs a Read or Watch action.
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

// watch waits until the configuration changes after a position, or watchWait has passed.
func (c *configurationFollower) watch(from authority.Position) authority.Reading {
	reading, err := watchAcrossRenewals(c.connections, c.context, from, watchWait+watchTimeoutMargin, func(ctx context.Context) (authority.Reading, error) {
		c.setWatchStart(c.clock())
		defer c.setWatchStart(0)
		reading := c.source.Watch(ctx, from, watchWait)
		c.calls.record(purposeWatch, reading.Code)
		reading.At = c.eras.withEra(reading.At)
		return reading, nil // reading.Code holds the failure
	})
	if err != nil {
		return authority.Reading{Code: codeOf(err), Detail: err.Error()}
	}
	return reading
}

// readCurrent reads the configuration from the store without waiting for a change.
func (c *configurationFollower) readCurrent(purpose storePurpose, freshness authority.Freshness) authority.Reading {
	reading, _ := readStore(c.reads, c.context, purpose, storeReadTimeout, func(ctx context.Context) (authority.Reading, error) {
		reading := c.source.Read(ctx, freshness)
		reading.At = c.eras.withEra(reading.At)
		return reading, reading.Err()
	})
	return reading
}

// setWatchStart sets the start time of the pending watch; 0 if it has ended.
func (c *configurationFollower) setWatchStart(startedAt time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watchStartedAt = startedAt
}

// freshnessFields returns log fields for decisions that depend on the version in force: its source
// and age, and the time since the last contact with each source of newer versions.
func (c *configurationFollower) freshnessFields() []proxy.EventField {
	c.mutex.Lock()
	source, age, watchStart := c.adoptedFrom, c.clock()-c.adoptedAt, c.watchStartedAt
	c.mutex.Unlock()
	fields := []proxy.EventField{{Key: "version_age_ms", Value: formatMillis(age)}, {Key: "version_source", Value: source}}
	if watchStart != 0 {
		fields = append(fields, proxy.EventField{Key: "watch_waits_ms", Value: formatMillis(c.clock() - watchStart)})
	}
	return append(fields, c.contacts.ageFields()...)
}

// updateStoreAvailability records whether the store is available, and logs each change. It is also
// available if it answers that it no longer has the history from the position of a watch
// (PlatformCompacted). The lock is held.
func (c *configurationFollower) updateStoreAvailability(reading authority.Reading) {
	unavailable := reading.Code != result.OK && reading.Code != result.PlatformCompacted
	if unavailable == c.storeUnavailable {
		return
	}
	c.storeUnavailable = unavailable
	if unavailable {
		c.events.event("store_lost", field("code", formatCode(reading.Code)), field("detail", reading.Detail))
		return
	}
	c.events.event("store_regained")
}

// adopt puts a document in force as a whole, or keeps the present one if the document is
// invalid. The lock is held, so that versions are adopted in order.
func (c *configurationFollower) adopt(action following.Action) {
	document := action.Document
	decoded, err := c.source.Decode(document)
	if err == nil {
		var newSnapshot *snapshot.Snapshot
		if newSnapshot, err = snapshot.FromDecoded(decoded.Version, decoded.Services, decoded.Routes, decoded.Tenants); err == nil {
			c.applyLimits(decoded.Limits)
			c.applySnapshot(newSnapshot)
			c.currentSnapshot.Store(newSnapshot)
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

// logFaults logs the faults of an accepted version: the parts of it that daemons cannot apply.
func (c *configurationFollower) logFaults(version protocol.Version, faults []error) {
	for _, fault := range faults {
		c.events.event("configuration_fault", field("version", formatVersion(version)),
			field("code", formatCode(codeOf(fault))), field("error", fault.Error()))
	}
}

// wait waits until all running actions have ended; the context must have ended before.
func (c *configurationFollower) wait() { c.running.Wait() }

func formatVersion(version protocol.Version) string { return strconv.FormatUint(uint64(version), 10) }

func formatCode(code result.Code) string { return strconv.Itoa(int(code)) }
