package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/quarantine"
)

// heldInStore are held requests in a store, whose lagging lists miss everything.
type heldInStore map[quarantine.Signature]bool

func (h heldInStore) List(_ context.Context, freshness authority.Freshness) (found []authority.HeldRequest, err error) {
	if freshness == authority.Lagging {
		return nil, nil
	}
	for signature := range h {
		found = append(found, authority.HeldRequest{Record: quarantine.Record{Signature: signature}})
	}
	return found, nil
}

func (h heldInStore) Put(_ context.Context, held authority.HeldRequest) error {
	h[held.Record.Signature] = true
	return nil
}

func (h heldInStore) Remove(_ context.Context, signature quarantine.Signature) error {
	delete(h, signature)
	return nil
}

// believed is what a data path believes of requests.
type believed struct {
	harmfulRequests
	beliefs  map[quarantine.Signature]quarantine.State
	released []quarantine.Signature
}

func (b *believed) HarmfulBelief(signature quarantine.Signature) quarantine.State {
	return b.beliefs[signature]
}

func (b *believed) ReleaseHarmful(signature quarantine.Signature) {
	b.released = append(b.released, signature)
}

// What a daemon has written to the store is compared with what it believes: what is missing
// there was removed by an operator, unless the list lags; what was cleared goes.
func TestHeldRequestsFollowTheStore(t *testing.T) {
	check := is.New(t)
	held, cleared, removed, lapsed := signatureOf("held"), signatureOf("cleared"), signatureOf("removed"), signatureOf("lapsed")
	store := heldInStore{held: true, cleared: true}
	path := &believed{beliefs: map[quarantine.Signature]quarantine.State{
		held: quarantine.Held, removed: quarantine.Suspected,
	}}
	mesh := &mesh{
		clock: func() time.Duration { return 0 }, context: t.Context(), calls: &storeCalls{}, held: store, harmful: path,
		reads: testReads(), eras: &eras{},
		kept: map[quarantine.Signature]keptRequest{held: {}, cleared: {}, removed: {}, lapsed: {}},
	}
	mesh.compareHeld()
	check.Equal(store, heldInStore{held: true})
	check.Equal(path.released, []quarantine.Signature{removed})
	check.Equal(mesh.keeping(), []quarantine.Signature{held})
}

func signatureOf(target string) quarantine.Signature {
	return quarantine.Signature{Head: quarantine.Head{Target: target}.Sum()}
}
