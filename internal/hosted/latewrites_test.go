package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quarantine"
)

// lateRegistry is a registry that carries out a call of an earlier start of the daemon after
// some calls of the present one.
type lateRegistry struct {
	held map[protocol.NodeID]authority.Registration
	// after is how many calls come before the late one.
	after int
	late  func(map[protocol.NodeID]authority.Registration)
}

// called counts a call, and carries out the late one when its time has come.
func (r *lateRegistry) called() {
	if r.after == 0 {
		r.late(r.held)
	}
	r.after--
}

func (r *lateRegistry) List(context.Context, authority.Freshness) (found []authority.Registration, err error) {
	r.called()
	for _, one := range r.held {
		found = append(found, one)
	}
	return found, nil
}

func (r *lateRegistry) Put(_ context.Context, one authority.Registration) error {
	r.called()
	r.held[one.ID] = one
	return nil
}

func (r *lateRegistry) Remove(_ context.Context, id protocol.NodeID) error {
	r.called()
	delete(r.held, id)
	return nil
}

// Whenever the call of an earlier start is carried out: once no such call can come any more
// the daemon is registered as it is.
func TestALateCallOfAnEarlierStartUndoesNoRegistration(t *testing.T) {
	made := newTestMesh("z1")
	made.context, made.calls = t.Context(), &storeCalls{}
	mine := made.registration()
	elsewhere := mine
	elsewhere.Address = "10.0.0.9:1"
	lateCalls := map[string]func(map[protocol.NodeID]authority.Registration){
		"remove": func(held map[protocol.NodeID]authority.Registration) { delete(held, mine.ID) },
		"create": func(held map[protocol.NodeID]authority.Registration) {
			if _, exists := held[mine.ID]; !exists {
				held[mine.ID] = elsewhere
			}
		},
		"replace": func(held map[protocol.NodeID]authority.Registration) { held[mine.ID] = elsewhere },
	}
	before := map[string][]authority.Registration{"nothing": nil, "the same": {mine}, "another": {elsewhere}}
	for name, late := range lateCalls {
		for stood, registrations := range before {
			for after := range 5 { // a start makes four calls at most before its last look
				registry := &lateRegistry{held: map[protocol.NodeID]authority.Registration{}, after: after, late: late}
				for _, one := range registrations {
					registry.held[one.ID] = one
				}
				made.registry = registry
				made.readRegistry()
				if !made.isRegistered() {
					made.putRegistration()
					made.readRegistry()
				}
				if registry.after >= 0 { // the latest moment at which it may come
					registry.after = 0
					registry.called()
				}
				made.ensureRegistered()
				if registry.held[mine.ID] != mine {
					t.Errorf("late %s after %d calls over %s: %v", name, after, stood, registry.held)
				}
			}
		}
	}
}

// A daemon that ends within 15 s of its start, and has taken its registration away, does not
// write it again.
func TestADaemonThatLeavesIsNotRegisteredAgain(t *testing.T) {
	made := newTestMesh("z1")
	made.context, made.calls = t.Context(), &storeCalls{}
	registry := &lateRegistry{held: map[protocol.NodeID]authority.Registration{}, after: -1}
	made.registry = registry
	made.self.State = protocol.MemberLeft
	is.New(t).True(made.ensureRegistered())
	is.New(t).Equal(len(registry.held), 0)
}

// lateHeldStore is a store of held requests whose lists never lag.
type lateHeldStore map[quarantine.Signature]bool

func (h lateHeldStore) List(context.Context, authority.Freshness) (found []authority.HeldRequest, err error) {
	for signature := range h {
		found = append(found, authority.HeldRequest{Record: quarantine.Record{Signature: signature}})
	}
	return found, nil
}

func (h lateHeldStore) Put(_ context.Context, held authority.HeldRequest) error {
	h[held.Record.Signature] = true
	return nil
}

func (h lateHeldStore) Remove(_ context.Context, signature quarantine.Signature) error {
	delete(h, signature)
	return nil
}

// heldMesh is a mesh that has written a held request, whose store and data path the test moves.
func heldMesh(t *testing.T, now *time.Duration) (*mesh, lateHeldStore, *believed, quarantine.Signature) {
	signature := signatureOf("one")
	store := lateHeldStore{signature: true}
	path := &believed{beliefs: map[quarantine.Signature]quarantine.State{signature: quarantine.Held}}
	made := &mesh{
		clock: func() time.Duration { return *now }, context: t.Context(), calls: &storeCalls{}, held: store, harmful: path,
		reads: testReads(), eras: &eras{},
		kept: map[quarantine.Signature]keptRequest{signature: {}},
	}
	return made, store, path, signature
}

// An operator has removed a request, and then a first try to write it is carried out: a
// daemon that starts must not find it.
func TestALateWriteDoesNotHoldAReleasedRequestAgain(t *testing.T) {
	for looks := 1; looks <= 3; looks++ { // before it comes
		check := is.New(t)
		now := time.Duration(0)
		made, store, path, signature := heldMesh(t, &now)
		delete(store, signature)
		for range looks {
			made.compareHeld()
			path.beliefs[signature] = quarantine.Trusted
			now += heldPeriod
		}
		store[signature] = true
		made.compareHeld()
		check.Equal(len(store), 0)
		check.Equal(path.released, []quarantine.Signature{signature})
		now += lateWriteTime + 1
		check.Equal(len(made.watched()), 0)
	}
}

// A daemon has removed a request that was cleared; it is held again, and then the removal is
// carried out: no operator has released it.
func TestALateRemovalReleasesNothing(t *testing.T) {
	check := is.New(t)
	now := time.Duration(0)
	made, store, path, signature := heldMesh(t, &now)
	path.beliefs[signature] = quarantine.Trusted
	made.compareHeld() // it is removed
	check.Equal(len(store), 0)
	path.beliefs[signature] = quarantine.Held
	store[signature] = true
	made.keep(heldOf(signature))
	delete(store, signature) // late
	now += heldPeriod
	made.compareHeld()
	check.Equal(len(path.released), 0)
	store[signature] = true // written by another daemon
	made.keep(heldOf(signature))
	now += lateWriteTime + 1
	delete(store, signature) // by an operator
	made.compareHeld()
	check.Equal(path.released, []quarantine.Signature{signature})
}

// A request that is held again soon after an operator released it is not released while its
// write is under way.
func TestARequestHeldAnewIsNotReleasedBeforeItIsWritten(t *testing.T) {
	check := is.New(t)
	now := time.Duration(0)
	made, store, path, signature := heldMesh(t, &now)
	delete(store, signature) // by an operator
	made.compareHeld()
	check.Equal(len(path.released), 1)
	path.beliefs[signature] = quarantine.Held // anew
	made.compareHeld()
	check.Equal(len(path.released), 1)
}

// heldOf is a held request of a signature as it stands in the store.
func heldOf(signature quarantine.Signature) authority.HeldRequest {
	return authority.HeldRequest{Record: quarantine.Record{Signature: signature}}
}
