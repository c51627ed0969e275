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
	registrations map[protocol.NodeID]authority.Registration
	// after is how many calls come before the late one.
	callsBeforeLate int
	lateCall        func(map[protocol.NodeID]authority.Registration)
}

// called counts a call, and carries out the late one when its time has come.
func (r *lateRegistry) countCall() {
	if r.callsBeforeLate == 0 {
		r.lateCall(r.registrations)
	}
	r.callsBeforeLate--
}

func (r *lateRegistry) List(context.Context, authority.Freshness) (found []authority.Registration, err error) {
	r.countCall()
	for _, one := range r.registrations {
		found = append(found, one)
	}
	return found, nil
}

func (r *lateRegistry) Put(_ context.Context, one authority.Registration) error {
	r.countCall()
	r.registrations[one.ID] = one
	return nil
}

func (r *lateRegistry) Remove(_ context.Context, id protocol.NodeID) error {
	r.countCall()
	delete(r.registrations, id)
	return nil
}

// Whenever the call of an earlier start is carried out: once no such call can come any more
// the daemon is registered as it is.
func TestLateCallOfEarlierStartIsCorrected(t *testing.T) {
	made := newTestMesh("z1")
	made.context, made.storeCalls = t.Context(), &storeCalls{}
	mine := made.ownRegistration()
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
				registry := &lateRegistry{registrations: map[protocol.NodeID]authority.Registration{}, callsBeforeLate: after, lateCall: late}
				for _, one := range registrations {
					registry.registrations[one.ID] = one
				}
				made.registry = registry
				made.readRegistry()
				if !made.isRegistered() {
					made.putRegistration()
					made.readRegistry()
				}
				if registry.callsBeforeLate >= 0 { // the latest moment at which it may come
					registry.callsBeforeLate = 0
					registry.countCall()
				}
				made.ensureRegistered()
				if registry.registrations[mine.ID] != mine {
					t.Errorf("late %s after %d calls over %s: %v", name, after, stood, registry.registrations)
				}
			}
		}
	}
}

// A daemon that ends within 15 s of its start, and has taken its registration away, does not
// write it again.
func TestLeavingDaemonIsNotRegisteredAgain(t *testing.T) {
	made := newTestMesh("z1")
	made.context, made.storeCalls = t.Context(), &storeCalls{}
	registry := &lateRegistry{registrations: map[protocol.NodeID]authority.Registration{}, callsBeforeLate: -1}
	made.registry = registry
	made.self.State = protocol.MemberLeft
	is.New(t).True(made.ensureRegistered())
	is.New(t).Equal(len(registry.registrations), 0)
}

// lateHeldStore is a store of held requests whose lists never lag.
type currentHeldStore map[quarantine.Signature]bool

func (h currentHeldStore) List(context.Context, authority.Freshness) (found []authority.HeldRequest, err error) {
	for signature := range h {
		found = append(found, authority.HeldRequest{Record: quarantine.Record{Signature: signature}})
	}
	return found, nil
}

func (h currentHeldStore) Put(_ context.Context, held authority.HeldRequest) error {
	h[held.Record.Signature] = true
	return nil
}

func (h currentHeldStore) Remove(_ context.Context, signature quarantine.Signature) error {
	delete(h, signature)
	return nil
}

// heldMesh is a mesh that has written a held request, whose store and data path the test moves.
func newHeldRequestMesh(t *testing.T, now *time.Duration) (*mesh, currentHeldStore, *fakeHarmfulRequests, quarantine.Signature) {
	signature := testSignature("one")
	store := currentHeldStore{signature: true}
	path := &fakeHarmfulRequests{states: map[quarantine.Signature]quarantine.State{signature: quarantine.Held}}
	made := &mesh{
		clock: func() time.Duration { return *now }, context: t.Context(), storeCalls: &storeCalls{}, heldStore: store, harmful: path,
		reads: testReads(), eras: &eraTracker{},
		storedHeld: map[quarantine.Signature]storedRequest{signature: {}},
	}
	return made, store, path, signature
}

// An operator has removed a request, and then a first try to write it is carried out: a
// daemon that starts must not find it.
func TestLateWriteDoesNotRestoreReleasedRequest(t *testing.T) {
	for looks := 1; looks <= 3; looks++ { // before it comes
		check := is.New(t)
		now := time.Duration(0)
		made, store, path, signature := newHeldRequestMesh(t, &now)
		delete(store, signature)
		for range looks {
			made.reconcileHeldRequests()
			path.states[signature] = quarantine.Trusted
			now += heldCheckInterval
		}
		store[signature] = true
		made.reconcileHeldRequests()
		check.Equal(len(store), 0)
		check.Equal(path.released, []quarantine.Signature{signature})
		now += maxLateWriteDelay + 1
		check.Equal(len(made.signaturesToCheck()), 0)
	}
}

// A daemon has removed a request that was cleared; it is held again, and then the removal is
// carried out: no operator has released it.
func TestLateRemovalIsNotTakenForRelease(t *testing.T) {
	check := is.New(t)
	now := time.Duration(0)
	made, store, path, signature := newHeldRequestMesh(t, &now)
	path.states[signature] = quarantine.Trusted
	made.reconcileHeldRequests() // it is removed
	check.Equal(len(store), 0)
	path.states[signature] = quarantine.Held
	store[signature] = true
	made.recordStored(heldRequest(signature))
	delete(store, signature) // late
	now += heldCheckInterval
	made.reconcileHeldRequests()
	check.Equal(len(path.released), 0)
	store[signature] = true // written by another daemon
	made.recordStored(heldRequest(signature))
	now += maxLateWriteDelay + 1
	delete(store, signature) // by an operator
	made.reconcileHeldRequests()
	check.Equal(path.released, []quarantine.Signature{signature})
}

// A request that is held again soon after an operator released it is not released while its
// write is under way.
func TestRequestHeldAgainIsNotReleasedBeforeItIsWritten(t *testing.T) {
	check := is.New(t)
	now := time.Duration(0)
	made, store, path, signature := newHeldRequestMesh(t, &now)
	delete(store, signature) // by an operator
	made.reconcileHeldRequests()
	check.Equal(len(path.released), 1)
	path.states[signature] = quarantine.Held // anew
	made.reconcileHeldRequests()
	check.Equal(len(path.released), 1)
}

// heldOf is a held request of a signature as it stands in the store.
func heldRequest(signature quarantine.Signature) authority.HeldRequest {
	return authority.HeldRequest{Record: quarantine.Record{Signature: signature}}
}
