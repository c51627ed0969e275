// Package following decides how a daemon follows an external configuration authority:
// when it reads and watches the store, when it fetches from other daemons, and which
// version it adopts. It is a pure state machine, stepped with events. The daemon carries
// out the returned actions, and their results are passed back as events. Invariant: after
// a version, only a higher one is adopted, or the same one with other content from a later
// era of the store, whatever the store, a peer or a late reply reports.
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
	// Pace is the minimum time between the starts of two watches, and between adopted
	// versions from peers. It bounds the number of calls, and of versions put in
	// force, during a burst of versions.
	Pace time.Duration
	// WatchWait is how long the store may hold a watch without changes.
	WatchWait time.Duration
	// PeerGrace is how long to wait for a peer's version to arrive from the store
	// before it is fetched from the peer.
	PeerGrace time.Duration
	// Retry is the delay after a failure.
	Retry Backoff
}

// applyTimeParts is the number of parts into which the apply time is divided. One part may
// pass before the next watch starts; the others are left for the store's lag, for
// propagation between peers, and for putting the version in force.
const applyTimeParts = 4

// DefaultApplyTime is the default time within which a version must be in force
// everywhere.
const DefaultApplyTime = 2 * time.Second

// DefaultConfig returns the configuration for DefaultApplyTime.
func DefaultConfig() Config { return ConfigForApplyTime(DefaultApplyTime) }

// ConfigForApplyTime returns the configuration with which a version is to be in force
// everywhere within the apply time.
func ConfigForApplyTime(apply time.Duration) Config {
	return Config{
		Pace:      apply / applyTimeParts,
		WatchWait: 10 * time.Second,
		PeerGrace: 150 * time.Millisecond,
		Retry:     DefaultBackoff(),
	}
}

// ActionKind selects the operation that the daemon is to carry out.
type ActionKind int

// The actions.
const (
	// Read reads the newest configuration from the store, with Action.Freshness.
	Read ActionKind = iota + 1
	// Watch waits for changes after Action.From.
	Watch
	// FetchFromPeer fetches the document of Action.Peer.
	FetchFromPeer
	// Adopt puts Action.Document in force if it can be decoded.
	Adopt
	// Rewatch restarts the watch with the number Action.Turn over a new connection if the
	// watch is still pending after Action.After.
	Rewatch
)

// Action is an action that the daemon is to carry out.
type Action struct {
	Kind ActionKind
	// After is the delay before the action.
	After time.Duration
	// From is the position from which to watch.
	From authority.Position
	// Turn is the number of the watch to start or restart.
	Turn uint64
	// Freshness states whether a Read may be answered by a lagging replica.
	Freshness authority.Freshness
	Peer      protocol.NodeID
	// Version is the version that the peer reported.
	Version  protocol.Version
	Document authority.Document
	// Source is the origin of the document, for logs.
	Source string
}

// The values of Action.Source, as logged.
const (
	SourceStore = "store"
	SourcePoll  = "poll"
	SourcePeer  = "peer"
)

// Follower is the state machine of one daemon. It is not safe for concurrent
// use.
type Follower struct {
	config Config
	// random returns a uniform random number, used for jitter.
	random func() uint64
	// position is the position from which the next watch starts: the newest one that
	// HandleReading has accepted.
	position authority.Position
	// era is the newest known era of the store; it may be later than that of position.
	era uint64
	// document is the newest document emitted for adoption, and documentEra the era in which
	// the store held it.
	document    authority.Document
	documentEra uint64
	// watchNumber is the number of the newest watch; watching is set while that watch is
	// pending.
	watchNumber uint64
	watching    bool
	// failures counts the consecutive reads and watches that failed or returned a position
	// of an earlier era.
	failures int
	// hasAnswered is set once a read or watch of the store has succeeded.
	hasAnswered bool
	// watchedAt is when the newest watch started or is due to start.
	watchedAt time.Duration
	// adoptedAt is when a document was last emitted for adoption; hasAdopted is set by the
	// first.
	adoptedAt  time.Duration
	hasAdopted bool
	// pendingFetches holds the peers whose document is being fetched.
	pendingFetches map[protocol.NodeID]bool
}

// New returns a follower that holds no document.
func New(config Config, random func() uint64) *Follower {
	return &Follower{config: config, random: random, pendingFetches: map[protocol.NodeID]bool{}}
}

// Version returns the newest version emitted for adoption.
func (f *Follower) Version() protocol.Version { return f.document.Version }

// IsStoreAvailable reports whether the store has answered a read or watch and since then has neither
// failed nor answered from an earlier era.
func (f *Follower) IsStoreAvailable() bool { return f.hasAnswered && f.failures == 0 }

// Start returns the first action: a read that may lag, since watches and peers supply
// later versions.
func (f *Follower) Start() []Action { return []Action{{Kind: Read, Freshness: authority.Lagging}} }

// ObserveEra records an era of the store, which is raised when the store is restored from an
// older copy. A watch from a position of an earlier era may miss changes: see IsStale.
func (f *Follower) ObserveEra(era uint64) { f.era = max(f.era, era) }

// IsStale reports whether a position is of an earlier era: its revision may be issued again, or
// may be unknown to the store.
func (f *Follower) IsStale(from authority.Position) bool { return from.Era < f.era }

// HandleReading handles the result of Read or Watch. A watch may be answered by a replica
// that lags behind an earlier read; the next watch then starts from the earlier read.
func (f *Follower) HandleReading(now time.Duration, reading authority.Reading) []Action {
	wasWatching := f.watching
	f.watching = false
	switch {
	case reading.Code == result.PlatformCompacted:
		return []Action{f.readAgain()}
	case reading.Code != result.OK:
		f.failures++
		return []Action{{Kind: Read, Freshness: authority.Lagging, After: f.backoff()}}
	case f.IsStale(reading.At):
		// The replica has not reached the era yet, or the answer is late.
		f.failures++
		return []Action{{Kind: Read, Freshness: authority.Linearizable, After: f.backoff()}}
	}
	f.failures = 0
	f.hasAnswered = true
	f.era = reading.At.Era
	actions := f.adoptFromStore(now, reading, SourceStore)
	if wasWatching && f.IsStale(f.position) {
		// The watch did not report the changes between the start of the new era and this answer.
		return append(actions, f.readAgain())
	}
	delay := max(0, f.watchedAt+f.config.Pace-now)
	f.watchedAt = now + delay
	f.position = position.Max(f.position, reading.At)
	f.watchNumber++
	f.watching = true
	return append(actions, Action{Kind: Watch, From: f.position, Turn: f.watchNumber, After: delay})
}

// HandlePoll handles the result of a read made in addition to the watch: a watch may miss a
// change, while a linearizable read does not.
func (f *Follower) HandlePoll(now time.Duration, reading authority.Reading) []Action {
	if reading.Code != result.OK || f.IsStale(reading.At) {
		return nil
	}
	f.era = reading.At.Era
	return f.thenRewatch(f.adoptFromStore(now, reading, SourcePoll))
}

// IsWatchPending reports whether the watch with the number has not been answered yet.
func (f *Follower) IsWatchPending(number uint64) bool { return f.watching && f.watchNumber == number }

// readAgain returns the read that is needed when a watch can no longer report all changes. After a
// change of era, all daemons read at the same time, so the read is delayed by a jitter. It may be
// answered by a lagging replica, which is recent enough for most daemons.
func (f *Follower) readAgain() Action {
	if f.IsStale(f.position) {
		return Action{Kind: Read, Freshness: authority.Lagging, After: f.jitter()}
	}
	return Action{Kind: Read, Freshness: authority.Linearizable}
}

// jitter returns a random delay that spreads the reads of all daemons.
func (f *Follower) jitter() time.Duration {
	return time.Duration(f.random() % uint64(f.config.Pace/2))
}

// thenRewatch appends a Rewatch to the adoption of a document that did not arrive by the watch. If
// the watch does not report the document within Pace, it is dead or lags.
func (f *Follower) thenRewatch(actions []Action) []Action {
	if len(actions) == 0 || !f.watching {
		return actions
	}
	return append(actions, Action{Kind: Rewatch, Turn: f.watchNumber, After: f.config.Pace})
}

// IsNewer reports whether a version is newer than every version emitted for adoption.
func (f *Follower) IsNewer(version protocol.Version) bool { return version > f.Version() }

// adoptFromStore adopts a document of the store if it is newer than the one held. It also adopts
// a document of the same version with other content from a later era: the restored store had lost the
// version, and another document was then written under its number.
func (f *Follower) adoptFromStore(now time.Duration, reading authority.Reading, source string) []Action {
	document := reading.Document
	reissued := document.Version != 0 && document.Version == f.Version() && f.documentEra < reading.At.Era
	if reissued && !bytes.Equal(document.Body, f.document.Body) {
		f.documentEra = reading.At.Era
		return f.adopt(now, document, source)
	}
	actions := f.adoptIfNewer(now, document, source)
	if len(actions) > 0 || reissued {
		f.documentEra = reading.At.Era
	}
	return actions
}

// adoptIfNewer adopts a document if its version is newer than the one held.
func (f *Follower) adoptIfNewer(now time.Duration, document authority.Document, source string) []Action {
	if document.Version <= f.Version() {
		return nil
	}
	return f.adopt(now, document, source)
}

// adopt emits the action that puts a document in force.
func (f *Follower) adopt(now time.Duration, document authority.Document, source string) []Action {
	f.document = document
	f.adoptedAt = now
	f.hasAdopted = true
	return []Action{{Kind: Adopt, Document: document, Source: source}}
}

// HandlePeerVersion handles the version that a peer reports to have in force.
func (f *Follower) HandlePeerVersion(now time.Duration, peer protocol.NodeID, version protocol.Version) []Action {
	if version <= f.Version() || f.pendingFetches[peer] {
		return nil
	}
	f.pendingFetches[peer] = true
	grace := f.config.PeerGrace
	if !f.IsStoreAvailable() {
		grace = 0
	}
	if f.hasAdopted {
		grace = max(grace, f.adoptedAt+f.config.Pace-now)
	}
	return []Action{{Kind: FetchFromPeer, Peer: peer, Version: version, After: grace}}
}

// HandlePeerDocument handles a peer's document; version 0 means that the peer sent none.
func (f *Follower) HandlePeerDocument(now time.Duration, peer protocol.NodeID, document authority.Document) []Action {
	delete(f.pendingFetches, peer)
	return f.thenRewatch(f.adoptIfNewer(now, document, SourcePeer))
}

// backoff returns the delay after the current failure.
func (f *Follower) backoff() time.Duration { return f.config.Retry.Delay(f.failures, f.random()) }
