package hosted

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/result"
)

// silentRolloutStore is a store of roll-out orders whose watches return nothing until they are
// cancelled.
type silentRolloutStore struct {
	orderStore
	// watchedFrom receives the position of each watch.
	watchedFrom chan authority.Position
}

func (s *silentRolloutStore) blockWatch(ctx context.Context, from authority.Position) error {
	s.watchedFrom <- from
	<-ctx.Done()
	return result.New(result.PlatformUnknown, "given up")
}

func (s *silentRolloutStore) Watch(ctx context.Context, from authority.Position, _ time.Duration) ([]authority.RolloutOrder, authority.Position, error) {
	return nil, authority.Position{}, s.blockWatch(ctx, from)
}

// silentEvacuationStore is a store of evacuation orders whose watches also return nothing until they
// are cancelled.
type silentEvacuationStore struct{ silentRolloutStore }

func (s *silentEvacuationStore) List(context.Context) (evacuation.Orders, map[string]error, error) {
	return evacuation.Orders{}, nil, nil
}

func (s *silentEvacuationStore) Watch(ctx context.Context, from authority.Position, _ time.Duration) (bool, authority.Position, error) {
	return false, authority.Position{}, s.blockWatch(ctx, from)
}

// newEraMesh returns a mesh whose watches are restarted when the store's era rises.
func newEraMesh(t *testing.T) *mesh {
	mesh := newTestMesh("z")
	mesh.context = t.Context()
	mesh.storeCalls = &storeCalls{}
	mesh.connections = &connectionRenewer{clock: mesh.clock, context: t.Context(), running: &sync.WaitGroup{}, eras: mesh.eras}
	mesh.connections.start()
	mesh.eras.onRise = []func(uint64){func(uint64) { mesh.connections.restartWatches() }}
	mesh.eras.observe(1, "store")
	return mesh
}

// A watch of orders may be waiting while the store returns to an older copy. It must not be restarted
// from a revision of the old era, from which it would receive no changes; the orders must be listed
// again.
func TestOrderWatchesEndWhenEraRises(t *testing.T) {
	from := authority.Position{Era: 1, Revision: 900}
	rollouts := &silentRolloutStore{watchedFrom: make(chan authority.Position, 9)}
	zones := &silentEvacuationStore{silentRolloutStore{watchedFrom: make(chan authority.Position, 9)}}
	for name, watch := range map[string]func(*mesh) (authority.Position, error){
		"rollouts": func(m *mesh) (authority.Position, error) { return newRolloutDecider(m, rollouts).watch(from) },
		"evacuations": func(m *mesh) (authority.Position, error) {
			return newEvacuationReader(m, zones, time.Second).watchAndRead(from)
		},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			mesh := newEraMesh(t)
			ended := make(chan error, 1)
			go func() {
				_, err := watch(mesh)
				ended <- err
			}()
			watchedFrom := map[string]chan authority.Position{"rollouts": rollouts.watchedFrom, "evacuations": zones.watchedFrom}[name]
			check.Equal(<-watchedFrom, from)
			mesh.eras.observe(2, "peer")
			select {
			case err := <-ended:
				check.Equal(codeOf(err), result.PlatformCompacted)
			case restartedFrom := <-watchedFrom:
				t.Fatalf("watched again from %s", restartedFrom)
			}
		})
	}
}
