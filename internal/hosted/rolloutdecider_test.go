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

// orderStore holds one order as the store does: a status is written only over the
// revision that it was decided on.
type orderStore struct {
	order authority.RolloutOrder
	// losing has the next write done and its answer lost.
	loseNextAnswer bool
	// outcome is the first outcome written; replaced says that another one came after it.
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
	return nil, authority.Position{}, result.New(result.PlatformUnavailable, "nothing is watched here")
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

// deciderStep is one thing that happens: a decider reads the orders, or decides on a stage
// and writes it by what it knows; or the next answer of the store is lost.
type deciderStep struct {
	decider     int
	stage       rollout.Stage
	losesAnswer bool
}

// deciderSteps are all steps of two deciders. One that has not read since the other
// wrote is one that was paused, or that the store refused.
func deciderSteps() []deciderStep {
	steps := []deciderStep{{losesAnswer: true}}
	for decider := range 2 {
		for _, stage := range []rollout.Stage{0, rollout.StageCanary, rollout.StageShift, rollout.StageRolledBack, rollout.StageCompleted} {
			steps = append(steps, deciderStep{decider: decider, stage: stage})
		}
	}
	return steps
}

// twoDeciders are two daemons that decide on one order.
type twoDeciders struct {
	store    *orderStore
	deciders [2]*rolloutDecider
}

func newTwoDeciders() *twoDeciders {
	made := &twoDeciders{store: newOrderStore()}
	for index := range made.deciders {
		mesh := newTestMesh("z")
		mesh.rollouts = newRolloutTable(0.1)
		mesh.storeCalls = &storeCalls{}
		made.deciders[index] = newRolloutDecider(mesh, made.store)
		made.deciders[index].handleOrders([]authority.RolloutOrder{made.store.order})
	}
	return made
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
		return // as decide does: there is nothing to decide, or no such decision
	}
	decider.writeStatus(decider.orders[record.Service].order, record, rollout.Decision{Stage: step.stage})
}

// holds tells whether what was promised holds: an outcome is never replaced, and what a
// daemon believes to be the outcome is.
func (t *twoDeciders) isConsistent() bool {
	for _, decider := range t.deciders {
		record, _ := decider.mesh.rollouts.orders.Lookup(t.store.order.Service)
		if record.Stage.Final() && record.Stage != t.store.outcome {
			return false
		}
	}
	return !t.store.outcomeReplaced
}

// Two deciders never write contradicting outcomes, and never believe them, in any order of
// reads, decisions, conflicts and lost answers up to a depth.
func TestTwoDecidersNeverWriteContradictingOutcomes(t *testing.T) {
	check := is.New(t)
	const depth = 5
	steps := deciderSteps()
	sequences := 1
	for range depth {
		sequences *= len(steps)
	}
	for number := range sequences {
		run := newTwoDeciders()
		rest := number
		for range depth {
			run.step(steps[rest%len(steps)])
			rest /= len(steps)
			if !run.isConsistent() {
				t.Fatalf("sequence %d of %d breaks the outcome %v", number, sequences, run.store.outcome)
			}
		}
	}
	check.Equal(sequences, 161051)
}

// slowStore answers a write when it is let.
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

// News of orders are taken while the store is slow to answer a write.
func TestSlowWriteDoesNotBlockNewOrders(t *testing.T) {
	check := is.New(t)
	run := newTwoDeciders()
	decider := run.deciders[0]
	slow := &blockingStore{orderStore: run.store, writeStarted: make(chan struct{}), release: make(chan struct{})}
	decider.port = slow
	record, _ := decider.mesh.rollouts.orders.Lookup(run.store.order.Service)
	written := make(chan struct{})
	go func() {
		defer close(written)
		decider.writeStatus(run.store.order, record, rollout.Decision{Stage: rollout.StageShift})
	}()
	<-slow.writeStarted
	newer := run.store.order
	newer.Target = "v3"
	newer.At.Revision += 100
	decider.handleOrders([]authority.RolloutOrder{newer}) // hangs where the write holds the lock
	close(slow.release)
	<-written
	check.Equal(run.store.order.Status.Stage, rollout.StageShift)
	check.Equal(decider.orders[newer.Service].order.Target, "v3") // what the write tells is older
}

// An outcome that the store has lost with an era is written there again, over the position of the
// new one, and by no decider that has not read that.
func TestLostOutcomeIsRewritten(t *testing.T) {
	check := is.New(t)
	run := newTwoDeciders()
	decider := run.deciders[0]
	now := time.Minute
	decider.mesh.clock = func() time.Duration { return now }
	before := run.store.order
	record, _ := decider.mesh.rollouts.orders.Lookup(before.Service)
	decider.writeStatus(before, record, rollout.Decision{Stage: rollout.StageCompleted})
	record, _ = decider.mesh.rollouts.orders.Lookup(before.Service)
	check.Equal(record.Stage, rollout.StageCompleted)
	decider.rewriteLostOutcome(record, 0)
	check.Equal(run.store.order.At.Revision, before.At.Revision+1) // it stands there

	before.At.Era = 2
	run.store.order = before // restored from a copy of before
	run.store.order.Status = authority.RolloutStatus{Stage: rollout.StageCanary, Target: "v2", Generation: record.Generation}
	decider.mesh.eras.observe(1, "store")
	decider.mesh.eras.observe(2, "store")
	decider.writeStatus(decider.orders[before.Service].order, record, rollout.Decision{Stage: rollout.StageCompleted})
	check.Equal(run.store.order.Status.Stage, rollout.StageCanary) // read again in its place
	decider.rewriteLostOutcome(record, time.Second)
	check.Equal(run.store.order.Status.Stage, rollout.StageCanary) // it has not stood for that long
	now += time.Second
	decider.rewriteLostOutcome(record, time.Second)
	check.Equal(run.store.order.Status.Stage, rollout.StageCompleted)
}
