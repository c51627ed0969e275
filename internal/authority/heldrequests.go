package authority

import (
	"context"
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
)

// HeldRequest is what is left in the store of a request that is kept from all back ends, for
// daemons that start when nobody else remembers it.
type HeldRequest struct {
	// Record is what was known as it was held, without its age.
	Record quarantine.Record
	// EndedAt is the time of day of the newest end under it.
	EndedAt time.Time
}

// HeldRequests keeps requests that are held.
type HeldRequests interface {
	// List returns all, as far as the freshness goes. What can't be read is left out.
	List(ctx context.Context, freshness Freshness) ([]HeldRequest, error)
	// Put writes one, in place of an earlier one.
	Put(ctx context.Context, held HeldRequest) error
	// Remove takes one away.
	Remove(ctx context.Context, signature quarantine.Signature) error
}
