// Package following decides how a daemon follows an external configuration
// authority: when it reads and watches the store, when it asks other daemons,
// and which version it takes. It is a pure state machine, stepped with events;
// the actions that it returns are carried out by the daemon, and their results
// come back as events. What must hold: a version is never followed by a lower
// one, whatever the store, a peer or an old answer says.
package following

import (
	"bytes"
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/position"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// Config holds the periods of a follower.
type Config struct {
	// Pace is the least time between the starts of two watches, and between the
	// versions taken from peers, so that a storm of versions costs a bounded number
	// of calls and of versions put in force.
	Pace time.Duration
	// WatchWait is how long the store may hold a watch without news.
	WatchWait time.Duration
	// PeerGrace is how long a version that a peer has may still come from the
	// store before the peer is asked for it.
	PeerGrace time.Duration
	// Retry is the pause after a failure.
	Retry Backoff
}

// paceParts divides the time in which a version has to be in force everywhere: one
// part may pass before a watch is made again, the others are for the store's lag, for
// peers that pass the version on, and for putting it in force.
const paceParts = 4

// DefaultApply is the time in which a version has to be in force everywhere where
// nothing else is stated.
const DefaultApplyTime = 2 * time.Second

// DefaultConfig is ConfigFor the default time.
func DefaultConfig() Config { return ConfigForApplyTime(DefaultApplyTime) }

// ConfigFor returns the periods where a version has to be in force everywhere within
// a time.
func ConfigForApplyTime(apply time.Duration) Config {
	return Config{
		Pace:      apply / paceParts,
		WatchWait: 10 * time.Second,
		PeerGrace: 150 * time.Millisecond,
		Retry:     DefaultBackoff(),
	}
}

// ActionKind tells the actions apart.
type ActionKind int

// The actions.
const (
	// Read reads the newest configuration from the store, as Action.Freshness says.
	Read ActionKind = iota + 1
	// Watch waits for changes after Action.From.
	Watch
	// AskPeer asks a peer for its document.
	FetchFromPeer
	// Adopt puts Action.Document in force, if it can be decoded.
	Adopt
	// Rewatch makes the watch of Action.Turn again over a new connection, if it still waits then.
	Rewatch
)

// Action is one thing to do.
type Action struct {
	Kind ActionKind
	// After is the pause before it.
	After time.Duration
	From  authority.Position
	// Turn tells the follower's watches apart.
	Turn uint64
	// Freshness is that of Read.
	Freshness authority.Freshness
	Peer      protocol.NodeID
	// Version is what the peer said it has.
	Version  protocol.Version
	Document authority.Document
	// Source names where the document came from, for logs.
	Source string
}

// The names of sources in logs.
const (
	SourceStore = "store"
	SourcePoll  = "poll"
	SourcePeer  = "peer"
)

// Follower is the state machine of one daemon. It is not safe for concurrent
// use.
type Follower struct {
	config Config
	// random returns a uniform number; it spreads retries.
	random func() uint64
	// position is the newest position of the store that was read.
	position authority.Position
	// era is the newest era of the store that is known; it may be later than that of position.
	era uint64
	// document is the newest one handed out, and documentEra the era in which the store held it.
	document    authority.Document
	documentEra uint64
	// turn is that of the newest watch; watching is set while it waits.
	turn     uint64
	watching bool
	// failures counts the store's failures in a row.
	failures int
	// answered is set once the store has answered at all.
	answered  bool
	watchedAt time.Duration
	// adoptedAt is when a version was last handed out; adopted is set by the first.
	adoptedAt time.Duration
	adopted   bool
	asking    map[protocol.NodeID]bool
}

// New returns a follower that has nothing yet.
func New(config Config, random func() uint64) *Follower {
	return &Follower{config: config, random: random, asking: map[protocol.NodeID]bool{}}
}

// Version is the newest version handed out to be adopted.
func (f *Follower) Version() protocol.Version { return f.document.Version }

// StoreAnswered tells whether the store's last answer was one.
func (f *Follower) IsStoreAvailable() bool { return f.answered && f.failures == 0 }

// Start begins with a read that may lag: watches and peers bring what it lacks.
func (f *Follower) Start() []Action { return []Action{{Kind: Read, Freshness: authority.Lagging}} }

// NewEra takes that the store has come back from an older copy. A watch from a position of an
// earlier era tells nothing more.
func (f *Follower) ObserveEra(era uint64) { f.era = max(f.era, era) }

// Lapsed tells whether a position is of an era that has ended: its revision may be given out again,
// or not be known to the store.
func (f *Follower) IsStale(from authority.Position) bool { return from.Era < f.era }

// StoreRead takes the result of Read or Watch. A watch may be answered by a replica
// that lags behind what was read before; it goes on from the latter.
func (f *Follower) HandleStoreRead(now time.Duration, reading authority.Reading) []Action {
	watched := f.watching
	f.watching = false
	switch {
	case reading.Code == result.PlatformCompacted:
		return []Action{f.readAgain()}
	case reading.Code != result.OK:
		f.failures++
		return []Action{{Kind: Read, Freshness: authority.Lagging, After: f.backoff()}}
	case f.IsStale(reading.At):
		// A replica that has not come to the era yet, or a late answer.
		f.failures++
		return []Action{{Kind: Read, Freshness: authority.Linearizable, After: f.backoff()}}
	}
	f.failures = 0
	f.answered = true
	f.era = reading.At.Era
	actions := f.offerOfStore(now, reading, SourceStore)
	if watched && f.IsStale(f.position) {
		// What was written in the era before the answer is not in it.
		return append(actions, f.readAgain())
	}
	pause := max(0, f.watchedAt+f.config.Pace-now)
	f.watchedAt = now + pause
	f.position = position.Max(f.position, reading.At)
	f.turn++
	f.watching = true
	return append(actions, Action{Kind: Watch, From: f.position, Turn: f.turn, After: pause})
}

// StorePolled takes the result of a read that was made besides the watch: a
// watch may be silent about a change, a linearizable read is not.
func (f *Follower) HandlePoll(now time.Duration, reading authority.Reading) []Action {
	if reading.Code != result.OK || f.IsStale(reading.At) {
		return nil
	}
	f.era = reading.At.Era
	return f.thenRewatch(f.offerOfStore(now, reading, SourcePoll))
}

// WatchWaits tells whether the watch of a turn has not been answered yet.
func (f *Follower) IsWatchPending(turn uint64) bool { return f.watching && f.turn == turn }

// readAgain reads what was missed of a history that is gone. Where that is one of an earlier era, so
// it is for all daemons at the same time; a reading that may lag is enough for most then.
func (f *Follower) readAgain() Action {
	if f.IsStale(f.position) {
		return Action{Kind: Read, Freshness: authority.Lagging, After: f.jitter()}
	}
	return Action{Kind: Read, Freshness: authority.Linearizable}
}

// jitter spreads the reads that all daemons make at the same time.
func (f *Follower) jitter() time.Duration {
	return time.Duration(f.random() % uint64(f.config.Pace/2))
}

// thenRewatch adds to the adoption of a document that did not come by the watch. One that the watch
// does not tell of within a pace shows that the watch hears nothing, or lags.
func (f *Follower) thenRewatch(actions []Action) []Action {
	if len(actions) == 0 || !f.watching {
		return actions
	}
	return append(actions, Action{Kind: Rewatch, Turn: f.turn, After: f.config.Pace})
}

// Lacks tells whether a version is newer than all that were handed out.
func (f *Follower) IsNewer(version protocol.Version) bool { return version > f.Version() }

// offerOfStore takes a document that the store holds. One of a version that was lost with an
// earlier era, and written again in this one with other content, replaces what is held.
func (f *Follower) offerOfStore(now time.Duration, reading authority.Reading, source string) []Action {
	document := reading.Document
	again := document.Version != 0 && document.Version == f.Version() && f.documentEra < reading.At.Era
	if again && !bytes.Equal(document.Body, f.document.Body) {
		f.documentEra = reading.At.Era
		return f.handOut(now, document, source)
	}
	actions := f.offer(now, document, source)
	if len(actions) > 0 || again {
		f.documentEra = reading.At.Era
	}
	return actions
}

// offer takes a document if it is newer than all before.
func (f *Follower) offer(now time.Duration, document authority.Document, source string) []Action {
	if document.Version <= f.Version() {
		return nil
	}
	return f.handOut(now, document, source)
}

// handOut has a document put in force.
func (f *Follower) handOut(now time.Duration, document authority.Document, source string) []Action {
	f.document = document
	f.adoptedAt = now
	f.adopted = true
	return []Action{{Kind: Adopt, Document: document, Source: source}}
}

// PeerVersion takes a peer's word of the version that it has in force.
func (f *Follower) HandlePeerVersion(now time.Duration, peer protocol.NodeID, version protocol.Version) []Action {
	if version <= f.Version() || f.asking[peer] {
		return nil
	}
	f.asking[peer] = true
	grace := f.config.PeerGrace
	if !f.IsStoreAvailable() {
		grace = 0
	}
	if f.adopted {
		grace = max(grace, f.adoptedAt+f.config.Pace-now)
	}
	return []Action{{Kind: FetchFromPeer, Peer: peer, Version: version, After: grace}}
}

// PeerAnswered takes a peer's document; one without a version is none.
func (f *Follower) HandlePeerDocument(now time.Duration, peer protocol.NodeID, document authority.Document) []Action {
	delete(f.asking, peer)
	return f.thenRewatch(f.offer(now, document, SourcePeer))
}

// backoff is the pause after the present failure.
func (f *Follower) backoff() time.Duration { return f.config.Retry.Delay(f.failures, f.random()) }
