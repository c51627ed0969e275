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
	readTimeout = 1500 * time.Millisecond
	// watchMargin is how much later than it promised a watch may be answered
	// before its connection is given up.
	watchMargin = time.Second
)

// configuration follows the authority and puts versions in force.
type configuration struct {
	source authority.Source
	events eventLog
	clock  func() time.Duration
	swap   func(*snapshot.Snapshot)
	limit  func(authority.RequestLimits)
	// announce tells peers of the version in force, which their watches may have
	// missed too; polled says that the store itself was read. It must not wait.
	announce func(polled bool)
	askPeer  func(context.Context, protocol.NodeID, protocol.Version) authority.Document
	context  context.Context
	inForce  atomic.Pointer[authority.Document]
	// packing guards packed, the document that peers were last given.
	packing  sync.Mutex
	packed   protocol.DocumentReply
	built    atomic.Pointer[snapshot.Snapshot]
	tickets  sync.WaitGroup
	mutex    sync.Mutex
	follower *following.Follower
	// calls counts the calls to the store; reads makes those that are answered at once, connections
	// those that wait.
	calls       *storeCalls
	reads       *storeReads
	connections *connections
	eras        *eras
	// changedAt is when the version in force came, and changedBy its source.
	changedAt time.Duration
	changedBy string
	// watchedAt is when the watch that waits began; 0 while none waits.
	watchedAt time.Duration
	// contact keeps when the store and peers were last heard.
	contact *contact
	// storeLost is set while the store does not answer.
	storeLost bool
}

func (c *configuration) start() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.carryOut(c.follower.Start())
}

// version is the version in force; 0 for none.
func (c *configuration) version() protocol.Version {
	if held := c.inForce.Load(); held != nil {
		return held.Version
	}
	return 0
}

// packedDocument is what is in force for a peer that has an older version; one
// without a version means that there is nothing newer. It is packed once for all
// peers.
func (c *configuration) packedDocument(have protocol.Version) protocol.DocumentReply {
	held := c.inForce.Load()
	if held == nil || held.Version <= have {
		return protocol.DocumentReply{}
	}
	c.packing.Lock()
	defer c.packing.Unlock()
	if c.packed.Version != held.Version {
		c.packed = packDocument(*held)
	}
	return c.packed
}

// healthPath is where the back ends of a service answer probes; empty while
// that is not known.
func (c *configuration) healthPath(service resource.ServiceRef) string {
	built := c.built.Load()
	if built == nil {
		return ""
	}
	return built.Services[service].HealthPath
}

// age is how long ago the version in force came; 0 without one.
func (c *configuration) age() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.version() == 0 {
		return 0
	}
	return c.clock() - c.changedAt
}

// storeFails tells whether the store's last answer was a failure.
func (c *configuration) storeFails() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.storeLost
}

// newEra takes that the store has come back from an older copy.
func (c *configuration) newEra(era uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.follower.ObserveEra(era)
}

// heardOf takes a peer's word of the version that it has in force.
func (c *configuration) heardOf(peer protocol.NodeID, version protocol.Version) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.carryOut(c.follower.HandlePeerVersion(c.clock(), peer, version))
}

// carryOut does what the follower has decided; the lock is held. Reads and
// watches run on goroutines of their own and come back with their results.
func (c *configuration) carryOut(actions []following.Action) {
	for _, action := range actions {
		if action.Kind == following.Adopt {
			c.adopt(action)
			continue
		}
		c.tickets.Add(1)
		go func() {
			defer c.tickets.Done()
			c.ask(action)
		}()
	}
}

// ask carries out an action that waits for an answer.
func (c *configuration) ask(action following.Action) {
	if !pause.For(c.context, action.After) {
		return
	}
	if action.Kind == following.Rewatch {
		c.rewatch(action.Turn)
		return
	}
	if action.Kind == following.FetchFromPeer {
		document := c.askIfLacking(action)
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.carryOut(c.follower.HandlePeerDocument(c.clock(), action.Peer, document))
		return
	}
	reading := c.read(action)
	if c.context.Err() != nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.noteStore(reading)
	c.carryOut(c.follower.HandleStoreRead(c.clock(), reading))
}

// rewatch makes a watch again over a new connection, unless it has been answered.
func (c *configuration) rewatch(turn uint64) {
	c.mutex.Lock()
	waits, waited := c.follower.IsWatchPending(turn), c.clock()-c.watchedAt
	c.mutex.Unlock()
	if waits {
		c.connections.watchMissed(waited)
	}
}

// askIfLacking asks a peer for its document, unless its version has come from
// elsewhere meanwhile.
func (c *configuration) askIfLacking(action following.Action) authority.Document {
	c.mutex.Lock()
	lacking := c.follower.IsNewer(action.Version)
	c.mutex.Unlock()
	if !lacking {
		return authority.Document{}
	}
	return c.askPeer(c.context, action.Peer, c.version())
}

// poll reads the store besides the watch, and tells whether it answered.
func (c *configuration) poll() bool {
	reading := c.readNow(purposePoll, authority.Linearizable)
	if c.context.Err() != nil {
		return false
	}
	if reading.Code == result.OK {
		c.contact.note(contactPoll)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.carryOut(c.follower.HandlePoll(c.clock(), reading))
	return reading.Code == result.OK
}

// read makes one call to the store.
func (c *configuration) read(action following.Action) authority.Reading {
	var reading authority.Reading
	if action.Kind == following.Watch {
		reading = c.watch(action.From)
	} else {
		reading = c.readNow(purposeRead, action.Freshness)
	}
	if reading.Code == result.OK || reading.Code == result.PlatformCompacted {
		c.contact.note(contactWatch)
	}
	return reading
}

// watch waits for a change after a position.
func (c *configuration) watch(from authority.Position) authority.Reading {
	reading, err := watched(c.connections, c.context, from, watchWait+watchMargin, func(ctx context.Context) (authority.Reading, error) {
		c.noteWatch(c.clock())
		defer c.noteWatch(0)
		reading := c.source.Watch(ctx, from, watchWait)
		c.calls.note(purposeWatch, reading.Code)
		reading.At = c.eras.place(reading.At)
		return reading, nil // its code tells
	})
	if err != nil {
		return authority.Reading{Code: codeOf(err), Detail: err.Error()}
	}
	return reading
}

// readNow reads what the store holds now.
func (c *configuration) readNow(purpose storePurpose, freshness authority.Freshness) authority.Reading {
	reading, _ := readStore(c.reads, c.context, purpose, readTimeout, func(ctx context.Context) (authority.Reading, error) {
		reading := c.source.Read(ctx, freshness)
		reading.At = c.eras.place(reading.At)
		return reading, reading.Err()
	})
	return reading
}

// noteWatch notes when the watch that waits began; 0 says that it has ended.
func (c *configuration) noteWatch(began time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watchedAt = began
}

// freshness tells, for the log of a decision by the version in force, how that came and when
// each source of newer ones was last heard.
func (c *configuration) freshness() []proxy.EventField {
	c.mutex.Lock()
	source, age, watched := c.changedBy, c.clock()-c.changedAt, c.watchedAt
	c.mutex.Unlock()
	fields := []proxy.EventField{{Key: "version_age_ms", Value: milliseconds(age)}, {Key: "version_source", Value: source}}
	if watched != 0 {
		fields = append(fields, proxy.EventField{Key: "watch_waits_ms", Value: milliseconds(c.clock() - watched)})
	}
	return append(fields, c.contact.fields()...)
}

// noteStore logs when the store is lost and regained; the lock is held.
func (c *configuration) noteStore(reading authority.Reading) {
	lost := reading.Code != result.OK && reading.Code != result.PlatformCompacted
	if lost == c.storeLost {
		return
	}
	c.storeLost = lost
	if lost {
		c.events.event("store_lost", field("code", codeText(reading.Code)), field("detail", reading.Detail))
		return
	}
	c.events.event("store_regained")
}

// adopt puts a document in force whole, or leaves what is in force; the lock
// is held, so versions come in order.
func (c *configuration) adopt(action following.Action) {
	document := action.Document
	decoded, err := c.source.Decode(document)
	if err == nil {
		var built *snapshot.Snapshot
		if built, err = snapshot.FromDecoded(decoded.Version, decoded.Services, decoded.Routes); err == nil {
			c.limit(decoded.Limits)
			c.swap(built)
			c.built.Store(built)
			c.inForce.Store(&document)
			c.changedAt = c.clock()
			c.changedBy = action.Source
		}
	}
	if err != nil {
		c.events.event("configuration_refused", field("version", versionText(document.Version)),
			field("source", action.Source), field("error", err.Error()))
		return
	}
	c.logFaults(document.Version, decoded.Faults)
	if action.Source != following.SourceStore {
		c.announce(action.Source == following.SourcePoll)
	}
	c.events.event("configuration_in_force", field("version", versionText(document.Version)),
		field("source", action.Source), field("routes", strconv.Itoa(len(decoded.Routes))))
}

// logFaults writes a line for each part of a version that can't be carried out.
func (c *configuration) logFaults(version protocol.Version, faults []error) {
	for _, fault := range faults {
		c.events.event("configuration_fault", field("version", versionText(version)),
			field("code", codeText(codeOf(fault))), field("error", fault.Error()))
	}
}

// stop waits until nothing runs any more; the context must have ended.
func (c *configuration) stop() { c.tickets.Wait() }

func versionText(version protocol.Version) string { return strconv.FormatUint(uint64(version), 10) }

func codeText(code result.Code) string { return strconv.Itoa(int(code)) }
