package node

import (
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// holding is what the daemon holds, relays and may serve.
type holding struct {
	// store holds everything that was released; used by relays and roots.
	store *snapshot.Store
	// current is in force on this daemon; nil before the first.
	current *snapshot.Snapshot
	// staged was given to the shell and is not confirmed yet.
	staged   *snapshot.Snapshot
	stagedAt time.Duration
	// servingUntil is the end of the serving lease given to the shell.
	servingUntil time.Duration
	// waitingLease becomes the serving lease once its version is in force.
	waitingLease lease
	// grantUntil bounds the leases that may be granted to children at the
	// store's version.
	grantUntil time.Duration
	// inForce is the newest version known to be in force everywhere.
	inForce protocol.Version
	keepers protocol.KeeperSet
	// wholeWanted is set after a delta could not be applied.
	wholeWanted bool
}

// lease is the right to serve at a version or a later one.
type lease struct {
	until   time.Duration
	version protocol.Version
}

func newHolding() holding {
	return holding{store: snapshot.NewStore()}
}

// held returns the version in force on this daemon; 0 for none.
func (n *Node) held() protocol.Version {
	if n.holding.current == nil {
		return 0
	}
	return n.holding.current.Version
}

// stage gives a snapshot to the shell.
//
// What must hold (I1): nothing is staged below the floor, nor at or below what
// is or may already be in force. One snapshot is staged at a time, so that
// confirmations cannot be mistaken for each other.
func (n *Node) stage(next *snapshot.Snapshot) {
	floorVersion, known := n.floor()
	if !known || next.Version < floorVersion || n.holding.staged != nil || next.Version <= n.held() {
		return
	}
	n.holding.staged = next
	n.holding.stagedAt = n.now
	n.emit(SwapSnapshot{Snapshot: next})
}

// handleSnapshotInForce learns that the shell has swapped. Only from here on
// is the version acknowledged.
func (n *Node) handleSnapshotInForce(version protocol.Version) {
	staged := n.holding.staged
	if staged == nil || staged.Version != version {
		return
	}
	n.holding.current = staged
	n.holding.staged = nil
	n.downstream.acksChanged = true
	n.log("snapshot_in_force", LogField{Key: "version", Value: strconv.FormatUint(uint64(version), 10)})
	n.extendServing(n.holding.waitingLease)
	n.adoptFromStore()
	n.upstream.nextAt = n.now
	n.fetchSoon()
}

// adoptFromStore stages this daemon's own scope of the newest released
// version.
func (n *Node) adoptFromStore() {
	newest := n.holding.store.Newest()
	if newest == nil || newest.Version <= n.held() || n.holding.staged != nil {
		return
	}
	selected := n.holding.store.Select(n.config.Scope)
	current := n.holding.current
	if current != nil && current.Digest == snapshot.DigestOf(selected) {
		n.stage(current.WithVersion(newest.Version))
		return
	}
	built, err := snapshot.Rebuild(newest, newest.Version, selected)
	if err != nil {
		n.log("snapshot_refused", LogField{Key: "error", Value: err.Error()})
		return
	}
	n.stage(built)
}

// extendServing extends the serving lease.
//
// What must hold: a lease that was granted with a released version only counts
// once that version is in force here, so that a daemon that cannot apply it
// stops serving by itself when its older lease ends.
func (n *Node) extendServing(granted lease) {
	if granted.until <= n.holding.servingUntil {
		return
	}
	floorVersion, known := n.floor()
	if !known || n.held() == 0 || n.held() < granted.version || n.held() < floorVersion {
		if granted.until > n.holding.waitingLease.until {
			n.holding.waitingLease = granted
		}
		return
	}
	n.holding.servingUntil = granted.until
	n.emit(ExtendServingLease{Until: granted.until})
}

// relaying reports whether this daemon holds everything, to be a parent: it is
// a relay of its zone, a reader, a root, or still has children.
func (n *Node) relaying() bool {
	if n.root.active || n.readerSide.reader.IsReader() || len(n.downstream.children) > 0 {
		return true
	}
	return n.now >= n.upstream.leafUntil && n.tree().IsRelay(n.self)
}

// scopeToFetch returns the scope that this daemon asks its parent for.
func (n *Node) scopeToFetch() protocol.Scope {
	if n.relaying() {
		return protocol.Scope{Relay: true}
	}
	return n.config.Scope
}
