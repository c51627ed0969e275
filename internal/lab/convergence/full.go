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
// replaced by the whole snapshot of its version. It keeps what each version
// holds by applying the deltas itself.
type wholes struct {
	mutex    sync.Mutex
	versions map[protocol.Version]whole
}

// whole is one version: its resources, and the delta from nothing.
type whole struct {
	digest    resource.Digest
	resources []resource.Encoded
	delta     *protocol.Delta
}

func newWholes() *wholes {
	return &wholes{versions: make(map[protocol.Version]whole)}
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
	if known, found := w.versions[delta.To]; found && known.digest == delta.Digest {
		return known.delta, nil
	}
	resources, err := snapshot.Apply(w.versions[delta.From].resources, delta)
	if err != nil {
		return delta, nil // an older version was not seen; leave the delta
	}
	encoded, err := wholeDelta(delta.To, resources)
	if err != nil {
		return nil, err
	}
	w.versions[delta.To] = whole{digest: delta.Digest, resources: resources, delta: encoded}
	return encoded, nil
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
