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
type deafOrders struct {
	orderStore
	// watching takes the position of each watch.
	watching chan authority.Position
}

func (d *deafOrders) wait(ctx context.Context, from authority.Position) error {
	d.watching <- from
	<-ctx.Done()
	return result.New(result.PlatformUnknown, "given up")
}

func (d *deafOrders) Watch(ctx context.Context, from authority.Position, _ time.Duration) ([]authority.RolloutOrder, authority.Position, error) {
	return nil, authority.Position{}, d.wait(ctx, from)
}

// deafZones is the same for orders to empty zones.
type deafZones struct{ deafOrders }

func (d *deafZones) List(context.Context) (evacuation.Orders, map[string]error, error) {
	return evacuation.Orders{}, nil, nil
}

func (d *deafZones) Watch(ctx context.Context, from authority.Position, _ time.Duration) (bool, authority.Position, error) {
	return false, authority.Position{}, d.wait(ctx, from)
}

// eraMesh is a mesh whose watches are made again when the store's era rises.
func eraMesh(t *testing.T) *mesh {
	made := newTestMesh("z")
	made.context = t.Context()
	made.calls = &storeCalls{}
	made.connections = &connections{clock: made.clock, context: t.Context(), running: &sync.WaitGroup{}, eras: made.eras}
	made.connections.start()
	made.eras.risen = []func(uint64){func(uint64) { made.connections.rewatch() }}
	made.eras.heard(1, "store")
	return made
}

// A watch of orders that waits while the store comes back from an older copy is not made again from a
// revision of before, which would be told nothing: the orders are listed anew.
func TestWatchesOfOrdersEndWithTheirEra(t *testing.T) {
	from := authority.Position{Era: 1, Revision: 900}
	rollouts := &deafOrders{watching: make(chan authority.Position, 9)}
	zones := &deafZones{deafOrders{watching: make(chan authority.Position, 9)}}
	for name, watch := range map[string]func(*mesh) (authority.Position, error){
		"rollouts": func(m *mesh) (authority.Position, error) { return newRolloutDecider(m, rollouts).watch(from) },
		"evacuations": func(m *mesh) (authority.Position, error) {
			return newEvacuationReader(m, zones, time.Second).watch(from)
		},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			mesh := eraMesh(t)
			ended := make(chan error, 1)
			go func() {
				_, err := watch(mesh)
				ended <- err
			}()
			watching := map[string]chan authority.Position{"rollouts": rollouts.watching, "evacuations": zones.watching}[name]
			check.Equal(<-watching, from)
			mesh.eras.heard(2, "peer")
			select {
			case err := <-ended:
				check.Equal(codeOf(err), result.PlatformCompacted)
			case again := <-watching:
				t.Fatalf("watched again from %s", again)
			}
		})
	}
}
