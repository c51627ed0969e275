package authority

import (
	"context"
	"time"

	"github.com/springstack/springstack/internal/core/evacuation"
)

// Evacuations reads the operator's orders to empty zones.
type Evacuations interface {
	// List returns all orders as the store holds them now, with the position, and what of
	// them can't be read, by the name of its object. An order that names a zone binds even
	// when the rest of it can't be read.
	List(ctx context.Context) (evacuation.Orders, map[string]error, error)
	// Watch returns once orders have changed after a position, or when wait has passed. It
	// tells which, and the position from which to go on.
	Watch(ctx context.Context, from Position, wait time.Duration) (changed bool, at Position, err error)
}
