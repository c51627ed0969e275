package convergence

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/lab/hollow"
)

// wholes is the baseline without deltas: each delta that a parent answers is
// replaced by the whole snapshot of its version, which all proxies hold alike.
type wholes struct {
	mutex    sync.Mutex
	versions map[protocol.Version]*whole
}

// whole is one version: what it holds, and the delta from nothing once it was
// asked for.
type whole struct {
	digest    resource.Digest
	resources []resource.Encoded
	delta     *protocol.Delta
}

func newWholes() *wholes {
	return &wholes{versions: make(map[protocol.Version]*whole)}
}

// see keeps what a version holds.
func (w *wholes) see(held *snapshot.Snapshot) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.keep(held.Version, held.Digest, held.Encoded)
}

func (w *wholes) keep(version protocol.Version, digest resource.Digest, resources []resource.Encoded) *whole {
	known, found := w.versions[version]
	if !found {
		known = &whole{digest: digest, resources: resources}
		w.versions[version] = known
	}
	return known
}

// wrap stands before a node's handler.
func (w *wholes) wrap(inner control.Handler) control.Handler {
	return fullHandler{inner: inner, wholes: w}
}

// fullHandler replaces the deltas of fetch replies.
type fullHandler struct {
	inner  control.Handler
	wholes *wholes
}

// HandlePeer answers as the node does, with whole snapshots.
func (h fullHandler) HandlePeer(ctx context.Context, peer control.Peer, body any) (any, error) {
	answer, err := h.inner.HandlePeer(ctx, peer, body)
	reply, ok := answer.(*protocol.FetchReply)
	if err != nil || !ok || reply.Delta == nil {
		return answer, err
	}
	replaced := *reply
	replaced.Delta, err = h.wholes.replace(reply.Delta)
	return &replaced, err
}

// replace returns the whole snapshot that a delta leads to. It is encoded once
// for all receivers.
func (w *wholes) replace(delta *protocol.Delta) (*protocol.Delta, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known, found := w.versions[delta.To]
	if !found {
		from, seen := w.versions[delta.From]
		if !seen {
			return delta, nil
		}
		resources, err := snapshot.Apply(from.resources, delta)
		if err != nil {
			return nil, errors.Trace(err)
		}
		known = w.keep(delta.To, delta.Digest, resources)
	}
	if known.digest != delta.Digest {
		return delta, nil // of another scope
	}
	if known.delta == nil {
		encoded, err := wholeDelta(delta.To, known.resources)
		if err != nil {
			return nil, err
		}
		known.delta = encoded
	}
	return known.delta, nil
}

// wholeDelta encodes resources as the delta from nothing.
func wholeDelta(version protocol.Version, resources []resource.Encoded) (*protocol.Delta, error) {
	store := snapshot.NewStore()
	if err := store.Add(version, resources); err != nil {
		return nil, errors.Trace(err)
	}
	return store.Delta(protocol.Scope{Relay: true}, 0, ""), nil
}

// snapshotBytes is the size of one whole snapshot of a cluster's files.
func snapshotBytes(cluster *hollow.Cluster) (int, error) {
	var resources []resource.Encoded
	for _, file := range cluster.Files {
		parsed, mistakes := resource.Parse(file.Name, file.Text(), resource.DefaultLimits())
		if len(mistakes) > 0 {
			return 0, errors.Trace(mistakes[0])
		}
		resources = append(resources, resource.Encode(parsed)...)
	}
	resource.SortEncoded(resources)
	delta, err := wholeDelta(1, resources)
	if err != nil {
		return 0, errors.Trace(err)
	}
	return len(delta.Payload), nil
}
