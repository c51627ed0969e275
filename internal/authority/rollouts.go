package authority

import (
	"context"
	"time"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
)

// RolloutOrder is an operator's order to move a service's traffic to a software version,
// with what was last written of it.
type RolloutOrder struct {
	Service  resource.ServiceRef
	Target   string
	Duration time.Duration
	// At is the position of the object's newest change as it was read; a status is written only
	// over it.
	At Position
	// Status is what was written last; its stage is 0 when nothing was.
	Status RolloutStatus
	// Fault says why an order can't be carried out; nil when it can.
	Fault error
}

// RolloutStatus is what a daemon writes of an order.
type RolloutStatus struct {
	Stage  rollout.Stage
	Target string
	// Generation is the position of the object at which the order was found.
	Generation Position
}

// Rollouts reads orders and writes what became of them.
type Rollouts interface {
	// List returns all orders and the position after them.
	List(ctx context.Context) ([]RolloutOrder, Position, error)
	// Watch returns the orders that have changed after a position, or none when wait has
	// passed.
	Watch(ctx context.Context, from Position, wait time.Duration) ([]RolloutOrder, Position, error)
	// Write replaces the status of an order unless the object has changed since it was
	// read (PlatformConflict). It returns the order as it now is.
	Write(ctx context.Context, order RolloutOrder, status RolloutStatus) (RolloutOrder, error)
}
