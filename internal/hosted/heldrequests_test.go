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
type laggingHeldStore map[quarantine.Signature]bool

func (h laggingHeldStore) List(_ context.Context, freshness authority.Freshness) (found []authority.HeldRequest, err error) {
	if freshness == authority.Lagging {
		return nil, nil
	}
	for signature := range h {
		found = append(found, authority.HeldRequest{Record: quarantine.Record{Signature: signature}})
	}
	return found, nil
}

func (h laggingHeldStore) Put(_ context.Context, held authority.HeldRequest) error {
	h[held.Record.Signature] = true
	return nil
}

func (h laggingHeldStore) Remove(_ context.Context, signature quarantine.Signature) error {
	delete(h, signature)
	return nil
}

// believed is what a data path believes of requests.
type fakeHarmfulRequests struct {
	harmfulRequests
	states   map[quarantine.Signature]quarantine.State
	released []quarantine.Signature
}

func (b *fakeHarmfulRequests) HarmfulState(signature quarantine.Signature) quarantine.State {
	return b.states[signature]
}

func (b *fakeHarmfulRequests) ReleaseHarmful(signature quarantine.Signature) {
	b.released = append(b.released, signature)
}

// What a daemon has written to the store is compared with what it believes: what is missing
// there was removed by an operator, unless the list lags; what was cleared goes.
func TestHeldRequestsAreReconciledWithStore(t *testing.T) {
	check := is.New(t)
	held, cleared, removed, lapsed := testSignature("held"), testSignature("cleared"), testSignature("removed"), testSignature("lapsed")
	store := laggingHeldStore{held: true, cleared: true}
	path := &fakeHarmfulRequests{states: map[quarantine.Signature]quarantine.State{
		held: quarantine.Held, removed: quarantine.Suspected,
	}}
	mesh := &mesh{
		clock: func() time.Duration { return 0 }, context: t.Context(), storeCalls: &storeCalls{}, heldStore: store, harmful: path,
		reads: testReads(), eras: &eraTracker{},
		storedHeld: map[quarantine.Signature]storedRequest{held: {}, cleared: {}, removed: {}, lapsed: {}},
	}
	mesh.reconcileHeldRequests()
	check.Equal(store, laggingHeldStore{held: true})
	check.Equal(path.released, []quarantine.Signature{removed})
	check.Equal(mesh.storedSignatures(), []quarantine.Signature{held})
}

func testSignature(target string) quarantine.Signature {
	return quarantine.Signature{Head: quarantine.Head{Target: target}.Sum()}
}
