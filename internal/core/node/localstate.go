package node

import (
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// localState holds the daemon's snapshots, the released resources that it relays,
// and its leases.
type localState struct {
	// store holds all released resources. Only a daemon that isRelaying fills it.
	store *snapshot.Store
	// currentSnapshot is the snapshot in force on this daemon; nil before the first.
	currentSnapshot *snapshot.Snapshot
	// stagedSnapshot is the snapshot that was passed to the shell and is not confirmed yet.
	stagedSnapshot *snapshot.Snapshot
	stagedAt       time.Duration
	// servingUntil is the end of the serving lease passed to the shell.
	servingUntil time.Duration
	// pendingLease becomes the serving lease once its version is in force here.
	pendingLease lease
	// grantUntil is the latest end of a lease that may be granted to children for
	// the store's version.
	grantUntil time.Duration
	// inForce is the newest version known to be in force in all regions.
	inForce protocol.Version
	keepers protocol.KeeperSet
	// needsFullSnapshot is set after a delta could not be applied.
	needsFullSnapshot bool
}

// lease is the right to serve a version or a later one until a time.
type lease struct {
	until   time.Duration
	version protocol.Version
}

func newLocalState() localState {
	return localState{store: snapshot.NewStore()}
}

// currentVersion returns the version in force on this daemon; 0 for none.
func (n *Node) currentVersion() protocol.Version {
	if n.local.currentSnapshot == nil {
		return 0
	}
	return n.local.currentSnapshot.Version
}

// stage passes a snapshot to the shell to be swapped in.
//
// Invariant (I1): the version of a staged snapshot is at least the floor and higher
// than every version that is or may be in force here. Only one snapshot is staged
// at a time, so that the shell's confirmation is unambiguous.
func (n *Node) stage(next *snapshot.Snapshot) {
	floorVersion, known := n.floor()
	if !known || next.Version < floorVersion || n.local.stagedSnapshot != nil || next.Version <= n.currentVersion() {
		return
	}
	n.local.stagedSnapshot = next
	n.local.stagedAt = n.now
	n.emit(SwapSnapshot{Snapshot: next})
}

// handleSnapshotInForce handles the shell's confirmation of a swap. Only now is the
// version acknowledged to the parent.
func (n *Node) handleSnapshotInForce(version protocol.Version) {
	staged := n.local.stagedSnapshot
	if staged == nil || staged.Version != version {
		return
	}
	n.local.currentSnapshot = staged
	n.local.stagedSnapshot = nil
	n.downstream.acksChanged = true
	n.log("snapshot_in_force", LogField{Key: "version", Value: strconv.FormatUint(uint64(version), 10)})
	n.extendServingLease(n.local.pendingLease)
	n.stageFromStore()
	n.upstream.nextFetchAt = n.now
	n.fetchIfDue()
}

// stageFromStore stages the newest released version, restricted to this daemon's
// own scope.
func (n *Node) stageFromStore() {
	newest := n.local.store.Newest()
	if newest == nil || newest.Version <= n.currentVersion() || n.local.stagedSnapshot != nil {
		return
	}
	selected := n.local.store.Select(n.config.Scope)
	current := n.local.currentSnapshot
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

// extendServingLease extends the serving lease.
//
// Invariant: a lease granted with a released version takes effect only once that
// version is in force here. A daemon that cannot apply the version thus stops
// serving when its older lease expires.
func (n *Node) extendServingLease(granted lease) {
	if granted.until <= n.local.servingUntil {
		return
	}
	floorVersion, known := n.floor()
	if !known || n.currentVersion() == 0 || n.currentVersion() < granted.version || n.currentVersion() < floorVersion {
		if granted.until > n.local.pendingLease.until {
			n.local.pendingLease = granted
		}
		return
	}
	n.local.servingUntil = granted.until
	n.emit(ExtendServingLease{Until: granted.until})
}

// isRelaying reports whether this daemon holds the whole configuration in order to
// be a parent: it is a root, a reader, a relay of its zone, or still has children.
func (n *Node) isRelaying() bool {
	if n.root.active || n.readerSide.reader.IsReader() || len(n.downstream.children) > 0 {
		return true
	}
	return n.now >= n.upstream.joinAsLeafUntil && n.tree().IsRelay(n.self)
}

// fetchScope returns the scope that this daemon requests from its parent.
func (n *Node) fetchScope() protocol.Scope {
	if n.isRelaying() {
		return protocol.Scope{Relay: true}
	}
	return n.config.Scope
}
