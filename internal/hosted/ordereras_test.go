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

// deafOrders is a store of orders whose watches tell nothing until they are given up.
type silentRolloutStore struct {
	orderStore
	// watching takes the position of each watch.
	watchedFrom chan authority.Position
}

func (d *silentRolloutStore) blockWatch(ctx context.Context, from authority.Position) error {
	d.watchedFrom <- from
	<-ctx.Done()
	return result.New(result.PlatformUnknown, "given up")
}

func (d *silentRolloutStore) Watch(ctx context.Context, from authority.Position, _ time.Duration) ([]authority.RolloutOrder, authority.Position, error) {
	return nil, authority.Position{}, d.blockWatch(ctx, from)
}

// deafZones is the same for orders to empty zones.
type silentEvacuationStore struct{ silentRolloutStore }

func (d *silentEvacuationStore) List(context.Context) (evacuation.Orders, map[string]error, error) {
	return evacuation.Orders{}, nil, nil
}

func (d *silentEvacuationStore) Watch(ctx context.Context, from authority.Position, _ time.Duration) (bool, authority.Position, error) {
	return false, authority.Position{}, d.blockWatch(ctx, from)
}

// eraMesh is a mesh whose watches are made again when the store's era rises.
func newEraMesh(t *testing.T) *mesh {
	made := newTestMesh("z")
	made.context = t.Context()
	made.storeCalls = &storeCalls{}
	made.connections = &connectionRenewer{clock: made.clock, context: t.Context(), running: &sync.WaitGroup{}, eras: made.eras}
	made.connections.start()
	made.eras.onRise = []func(uint64){func(uint64) { made.connections.restartWatches() }}
	made.eras.observe(1, "store")
	return made
}

// A watch of orders that waits while the store comes back from an older copy is not made again from a
// revision of before, which would be told nothing: the orders are listed anew.
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
			watching := map[string]chan authority.Position{"rollouts": rollouts.watchedFrom, "evacuations": zones.watchedFrom}[name]
			check.Equal(<-watching, from)
			mesh.eras.observe(2, "peer")
			select {
			case err := <-ended:
				check.Equal(codeOf(err), result.PlatformCompacted)
			case again := <-watching:
				t.Fatalf("watched again from %s", again)
			}
		})
	}
}
