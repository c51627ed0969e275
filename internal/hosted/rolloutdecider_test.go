package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/rollout"
	"github.com/springstack/springstack/internal/result"
)

// orderStore holds one order and, like the real store, accepts a status only for the revision on
// which it was decided.
type orderStore struct {
	order authority.RolloutOrder
	// loseNextAnswer makes the next write take effect and return an error.
	loseNextAnswer bool
	// outcome is the last outcome written; outcomeReplaced is set if it has replaced another one.
	outcome         rollout.Stage
	outcomeReplaced bool
}

func newOrderStore() *orderStore {
	return &orderStore{order: authority.RolloutOrder{
		Service: serviceRef("app"), Target: "v2", Duration: 10 * time.Second, At: authority.Position{Revision: 7},
	}}
}

func (s *orderStore) List(context.Context) ([]authority.RolloutOrder, authority.Position, error) {
	return []authority.RolloutOrder{s.order}, s.order.At, nil
}

func (s *orderStore) Watch(context.Context, authority.Position, time.Duration) ([]authority.RolloutOrder, authority.Position, error) {
	return nil, authority.Position{}, result.New(result.PlatformUnavailable, "watches are not simulated")
}

func (s *orderStore) Write(_ context.Context, order authority.RolloutOrder, status authority.RolloutStatus) (authority.RolloutOrder, error) {
	if order.At != s.order.At {
		return order, result.New(result.PlatformConflict, "the order has changed")
	}
	s.order.At.Revision++
	s.order.Status = status
	if s.outcome.Final() && status.Stage != s.outcome {
		s.outcomeReplaced = true
	}
	if status.Stage.Final() {
		s.outcome = status.Stage
	}
	if s.loseNextAnswer {
		s.loseNextAnswer = false
		return order, result.New(result.PlatformUnknown, "the answer is lost")
	}
	return s.order, nil
}

// deciderStep is one event: a decider reads the orders (stage 0), or decides on a stage and writes it
// over the order that it knows; or, if losesAnswer is set, the answer of the store to its next write is
// lost.
type deciderStep struct {
	decider     int
	stage       rollout.Stage
	losesAnswer bool
}

// deciderSteps returns all possible steps of two deciders. A decider that does not read after the
// other one's write behaves like one that was paused or refused by the store.
func deciderSteps() []deciderStep {
	steps := []deciderStep{{losesAnswer: true}}
	for decider := range 2 {
		for _, stage := range []rollout.Stage{0, rollout.StageCanary, rollout.StageShift, rollout.StageRolledBack, rollout.StageCompleted} {
			steps = append(steps, deciderStep{decider: decider, stage: stage})
		}
	}
	return steps
}

// twoDeciders contains the deciders of two daemons, which decide on the same order.
type twoDeciders struct {
	store    *orderStore
	deciders [2]*rolloutDecider
}

func newTwoDeciders() *twoDeciders {
	pair := &twoDeciders{store: newOrderStore()}
	for index := range pair.deciders {
		mesh := newTestMesh("z")
		mesh.rollouts = newRolloutTable(0.1)
		mesh.storeCalls = &storeCalls{}
		pair.deciders[index] = newRolloutDecider(mesh, pair.store)
		pair.deciders[index].handleOrders([]authority.RolloutOrder{pair.store.order})
	}
	return pair
}

func (t *twoDeciders) step(step deciderStep) {
	if step.losesAnswer {
		t.store.loseNextAnswer = true
		return
	}
	decider := t.deciders[step.decider]
	if step.stage == 0 {
		decider.reread()
		return
	}
	record, _ := decider.mesh.rollouts.orders.Lookup(t.store.order.Service)
	if record.Stage.Final() || step.stage < record.Stage {
		return // like decide, which neither changes an outcome nor goes back to an earlier stage
	}
	decider.writeStatus(decider.orders[record.Service].order, record, rollout.Decision{Stage: step.stage})
}

// isConsistent reports whether no outcome was replaced and each daemon that knows an outcome knows
// the one in the store.
func (t *twoDeciders) isConsistent() bool {
	for _, decider := range t.deciders {
		record, _ := decider.mesh.rollouts.orders.Lookup(t.store.order.Service)
		if record.Stage.Final() && record.Stage != t.store.outcome {
			return false
		}
	}
	return !t.store.outcomeReplaced
}

// Checks all sequences of reads, decisions, conflicts and lost answers of a given length: two deciders
// must never write contradicting outcomes, or know an outcome that differs from the stored one.
func TestTwoDecidersNeverWriteContradictingOutcomes(t *testing.T) {
	check := is.New(t)
	const depth = 5
	steps := deciderSteps()
	sequences := 1
	for range depth {
		sequences *= len(steps)
	}
	for sequence := range sequences {
		pair := newTwoDeciders()
		remaining := sequence
		for range depth {
			pair.step(steps[remaining%len(steps)])
			remaining /= len(steps)
			if !pair.isConsistent() {
				t.Fatalf("sequence %d of %d breaks the outcome %v", sequence, sequences, pair.store.outcome)
			}
		}
	}
	check.Equal(sequences, 161051)
}

// blockingStore is an orderStore that blocks a write until release is closed.
type blockingStore struct {
	*orderStore
	writeStarted chan struct{}
	release      chan struct{}
}

func (s *blockingStore) Write(ctx context.Context, order authority.RolloutOrder, status authority.RolloutStatus) (authority.RolloutOrder, error) {
	close(s.writeStarted)
	<-s.release
	return s.orderStore.Write(ctx, order, status)
}

// A decider must handle changed orders while the store is slow to answer a write.
func TestSlowWriteDoesNotBlockNewOrders(t *testing.T) {
	check := is.New(t)
	pair := newTwoDeciders()
	decider := pair.deciders[0]
	store := &blockingStore{orderStore: pair.store, writeStarted: make(chan struct{}), release: make(chan struct{})}
	decider.port = store
	record, _ := decider.mesh.rollouts.orders.Lookup(pair.store.order.Service)
	written := make(chan struct{})
	go func() {
		defer close(written)
		decider.writeStatus(pair.store.order, record, rollout.Decision{Stage: rollout.StageShift})
	}()
	<-store.writeStarted
	newer := pair.store.order
	newer.Target = "v3"
	newer.At.Revision += 100
	decider.handleOrders([]authority.RolloutOrder{newer}) // would block if the write held the lock
	close(store.release)
	<-written
	check.Equal(pair.store.order.Status.Stage, rollout.StageShift)
	check.Equal(decider.orders[newer.Service].order.Target, "v3") // the result of the write is older
}

// An outcome that the store has lost in a restore is written again, at the order's position in the
// new era, and only by a decider that has read the order in that era.
func TestLostOutcomeIsRewritten(t *testing.T) {
	check := is.New(t)
	pair := newTwoDeciders()
	decider := pair.deciders[0]
	now := time.Minute
	decider.mesh.clock = func() time.Duration { return now }
	original := pair.store.order
	record, _ := decider.mesh.rollouts.orders.Lookup(original.Service)
	decider.writeStatus(original, record, rollout.Decision{Stage: rollout.StageCompleted})
	record, _ = decider.mesh.rollouts.orders.Lookup(original.Service)
	check.Equal(record.Stage, rollout.StageCompleted)
	decider.rewriteLostOutcome(record, 0)
	check.Equal(pair.store.order.At.Revision, original.At.Revision+1) // not written again: the store holds it

	original.At.Era = 2
	pair.store.order = original // restored from a copy that is older than the outcome
	pair.store.order.Status = authority.RolloutStatus{Stage: rollout.StageCanary, Target: "v2", Generation: record.Generation}
	decider.mesh.eras.observe(1, "store")
	decider.mesh.eras.observe(2, "store")
	decider.writeStatus(decider.orders[original.Service].order, record, rollout.Decision{Stage: rollout.StageCompleted})
	check.Equal(pair.store.order.Status.Stage, rollout.StageCanary) // the order was read again instead
	decider.rewriteLostOutcome(record, time.Second)
	check.Equal(pair.store.order.Status.Stage, rollout.StageCanary) // the loss has been known for less than 1 s
	now += time.Second
	decider.rewriteLostOutcome(record, time.Second)
	check.Equal(pair.store.order.Status.Stage, rollout.StageCompleted)
}
