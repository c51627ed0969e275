package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/quarantine"
)

// laggingHeldStore is a store of held requests that returns nothing to lagging lists.
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

// fakeHarmfulRequests is a data path with fixed quarantine states of requests. It records which
// requests are released.
type fakeHarmfulRequests struct {
	harmfulRequests
	states   map[quarantine.Signature]quarantine.State
	released []quarantine.Signature
}

func (f *fakeHarmfulRequests) HarmfulState(signature quarantine.Signature) quarantine.State {
	return f.states[signature]
}

func (f *fakeHarmfulRequests) ReleaseHarmful(signature quarantine.Signature) {
	f.released = append(f.released, signature)
}

// A daemon compares the store with its quarantine states. It releases a request that a linearizable
// list does not contain, which an operator has removed, and removes the entry of a request that is
// trusted again. A lagging list alone releases nothing.
func TestHeldRequestsAreReconciledWithStore(t *testing.T) {
	check := is.New(t)
	held, cleared, removed, expired := testSignature("held"), testSignature("cleared"), testSignature("removed"), testSignature("lapsed")
	store := laggingHeldStore{held: true, cleared: true}
	harmful := &fakeHarmfulRequests{states: map[quarantine.Signature]quarantine.State{
		held: quarantine.Held, removed: quarantine.Suspected,
	}}
	mesh := &mesh{
		clock: func() time.Duration { return 0 }, context: t.Context(), storeCalls: &storeCalls{}, heldStore: store, harmful: harmful,
		reads: testReads(), eras: &eraTracker{},
		storedHeld: map[quarantine.Signature]storedRequest{held: {}, cleared: {}, removed: {}, expired: {}},
	}
	mesh.reconcileHeldRequests()
	check.Equal(store, laggingHeldStore{held: true})
	check.Equal(harmful.released, []quarantine.Signature{removed})
	check.Equal(mesh.storedSignatures(), []quarantine.Signature{held})
}

func testSignature(target string) quarantine.Signature {
	return quarantine.Signature{Head: quarantine.Head{Target: target}.Sum()}
}
