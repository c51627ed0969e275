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

// lateRegistry is a registry that executes a delayed call of an earlier start of the daemon after
// some calls of the current start.
type lateRegistry struct {
	registrations map[protocol.NodeID]authority.Registration
	// callsBeforeLate is the number of calls that are executed before the delayed one.
	callsBeforeLate int
	lateCall        func(map[protocol.NodeID]authority.Registration)
	lists           int
}

// countCall counts a call, and executes the delayed call first if it is due.
func (r *lateRegistry) countCall() {
	if r.callsBeforeLate == 0 {
		r.lateCall(r.registrations)
	}
	r.callsBeforeLate--
}

func (r *lateRegistry) List(context.Context, authority.Freshness) (found []authority.Registration, err error) {
	r.countCall()
	r.lists++
	for _, registration := range r.registrations {
		found = append(found, registration)
	}
	return found, nil
}

func (r *lateRegistry) Find(
	_ context.Context, id protocol.NodeID, _ authority.Freshness,
) (authority.Registration, bool, error) {
	r.countCall()
	found, isFound := r.registrations[id]
	return found, isFound, nil
}

func (r *lateRegistry) Put(_ context.Context, registration authority.Registration) error {
	r.countCall()
	r.registrations[registration.ID] = registration
	return nil
}

func (r *lateRegistry) Remove(_ context.Context, id protocol.NodeID) error {
	r.countCall()
	delete(r.registrations, id)
	return nil
}

// The registry may execute a write of an earlier start after the current start has registered. The
// check after maxLateWriteDelay must restore the registration, whenever that write is executed.
func TestLateCallOfEarlierStartIsCorrected(t *testing.T) {
	mesh := newTestMesh("z1")
	mesh.context, mesh.storeCalls = t.Context(), &storeCalls{}
	ownRegistration := mesh.ownRegistration()
	movedRegistration := ownRegistration
	movedRegistration.Address = "10.0.0.9:1"
	lateCalls := map[string]func(map[protocol.NodeID]authority.Registration){
		"remove": func(registrations map[protocol.NodeID]authority.Registration) {
			delete(registrations, ownRegistration.ID)
		},
		"create": func(registrations map[protocol.NodeID]authority.Registration) {
			if _, exists := registrations[ownRegistration.ID]; !exists {
				registrations[ownRegistration.ID] = movedRegistration
			}
		},
		"replace": func(registrations map[protocol.NodeID]authority.Registration) {
			registrations[ownRegistration.ID] = movedRegistration
		},
	}
	initialStates := map[string][]authority.Registration{"nothing": nil, "the same": {ownRegistration}, "another": {movedRegistration}}
	for lateCallName, lateCall := range lateCalls {
		for initialState, initialRegistrations := range initialStates {
			for callsBeforeLate := range 5 { // a start makes at most four calls before its last check
				registry := &lateRegistry{registrations: map[protocol.NodeID]authority.Registration{}, callsBeforeLate: callsBeforeLate, lateCall: lateCall}
				for _, registration := range initialRegistrations {
					registry.registrations[registration.ID] = registration
				}
				mesh.registry = registry
				mesh.refreshRegistryLagging()
				if !mesh.isRegistered() {
					mesh.putRegistration()
					mesh.refreshRegistryLagging()
				}
				if registry.callsBeforeLate >= 0 { // the latest time at which the delayed call may be executed
					registry.callsBeforeLate = 0
					registry.countCall()
				}
				listsBefore := registry.lists
				mesh.ensureRegistered()
				is.New(t).Equal(registry.lists, listsBefore) // lists of all daemons by all grow with the square of their number
				if registry.registrations[ownRegistration.ID] != ownRegistration {
					t.Errorf("delayed %s after %d calls, initially registered %s: got %v", lateCallName, callsBeforeLate, initialState, registry.registrations)
				}
			}
		}
	}
}

// A daemon that ends within maxLateWriteDelay of its start, and has removed its registration, must
// not write it again by its last check.
func TestLeavingDaemonIsNotRegisteredAgain(t *testing.T) {
	mesh := newTestMesh("z1")
	mesh.context, mesh.storeCalls = t.Context(), &storeCalls{}
	registry := &lateRegistry{registrations: map[protocol.NodeID]authority.Registration{}, callsBeforeLate: -1}
	mesh.registry = registry
	mesh.self.State = protocol.MemberLeft
	is.New(t).True(mesh.ensureRegistered())
	is.New(t).Equal(len(registry.registrations), 0)
}

// currentHeldStore is a store of held requests whose lists never lag.
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

// newHeldRequestMesh returns a mesh that has written a held request, the store and the data path of the
// mesh, which the test changes, and the request's signature.
func newHeldRequestMesh(t *testing.T, now *time.Duration) (*mesh, currentHeldStore, *fakeHarmfulRequests, quarantine.Signature) {
	signature := testSignature("one")
	store := currentHeldStore{signature: true}
	harmful := &fakeHarmfulRequests{states: map[quarantine.Signature]quarantine.State{signature: quarantine.Held}}
	mesh := &mesh{
		clock: func() time.Duration { return *now }, context: t.Context(), storeCalls: &storeCalls{}, heldStore: store, harmful: harmful,
		reads: testReads(), eras: &eraTracker{},
		storedHeld: map[quarantine.Signature]storedRequest{signature: {}},
	}
	return mesh, store, harmful, signature
}

// After an operator has removed a request from the store, the store may execute a delayed first
// attempt to write it. The entry must be removed again, so that a starting daemon does not read it.
func TestLateWriteDoesNotRestoreReleasedRequest(t *testing.T) {
	for comparisons := 1; comparisons <= 3; comparisons++ { // comparisons before the delayed write
		check := is.New(t)
		now := time.Duration(0)
		mesh, store, harmful, signature := newHeldRequestMesh(t, &now)
		delete(store, signature)
		for range comparisons {
			mesh.reconcileHeldRequests()
			harmful.states[signature] = quarantine.Trusted
			now += heldCheckInterval
		}
		store[signature] = true
		mesh.reconcileHeldRequests()
		check.Equal(len(store), 0)
		check.Equal(harmful.released, []quarantine.Signature{signature})
		now += maxLateWriteDelay + 1
		check.Equal(len(mesh.signaturesToCheck()), 0)
	}
}

// After a daemon has removed a request that was cleared, the request is held and written again, and
// then the store executes the delayed removal. This must not be taken for a release by an operator.
func TestLateRemovalIsNotTakenForRelease(t *testing.T) {
	check := is.New(t)
	now := time.Duration(0)
	mesh, store, harmful, signature := newHeldRequestMesh(t, &now)
	harmful.states[signature] = quarantine.Trusted
	mesh.reconcileHeldRequests() // removes the entry
	check.Equal(len(store), 0)
	harmful.states[signature] = quarantine.Held
	store[signature] = true
	mesh.recordStored(heldRequest(signature))
	delete(store, signature) // by the delayed removal
	now += heldCheckInterval
	mesh.reconcileHeldRequests()
	check.Equal(len(harmful.released), 0)
	store[signature] = true // written by another daemon
	mesh.recordStored(heldRequest(signature))
	now += maxLateWriteDelay + 1
	delete(store, signature) // by an operator
	mesh.reconcileHeldRequests()
	check.Equal(harmful.released, []quarantine.Signature{signature})
}

// A request that is held again soon after an operator released it must not be released because its
// write has not been executed yet.
func TestRequestHeldAgainIsNotReleasedBeforeItIsWritten(t *testing.T) {
	check := is.New(t)
	now := time.Duration(0)
	mesh, store, harmful, signature := newHeldRequestMesh(t, &now)
	delete(store, signature) // by an operator
	mesh.reconcileHeldRequests()
	check.Equal(len(harmful.released), 1)
	harmful.states[signature] = quarantine.Held // again
	mesh.reconcileHeldRequests()
	check.Equal(len(harmful.released), 1)
}

// heldRequest returns the store's entry of a held request.
func heldRequest(signature quarantine.Signature) authority.HeldRequest {
	return authority.HeldRequest{Record: quarantine.Record{Signature: signature}}
}
