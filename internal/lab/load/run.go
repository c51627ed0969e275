package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/precise"
)

// Report is what a run of load gives.
type Report struct {
	// Results are in order of their end.
	Results []Result
	// NotSent counts calls beyond the bound of open calls.
	NotSent int
	// Elapsed is from the first call's start to the last one's end.
	Elapsed time.Duration
}

// runner is the state of one run.
type runner struct {
	plan   Plan
	client *Client
	picker *picker

	sequence atomic.Int64
	open     atomic.Int64
	notSent  atomic.Int64
	calls    sync.WaitGroup
	begun    time.Time

	mutex   sync.Mutex
	results []Result
}

// Run carries a plan out and returns when its last call has ended. Ending the
// context ends it early and breaks the calls in flight.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if len(plan.Kinds) == 0 || len(plan.Targets) == 0 {
		return nil, errors.New("a plan of load needs kinds and targets")
	}
	if (plan.Rate > 0) == (plan.Workers > 0) {
		return nil, errors.New("a plan of load needs either a rate or workers")
	}
	if plan.Duration == 0 && plan.Calls == 0 {
		return nil, errors.New("a plan of load needs a bound in time or number")
	}
	if plan.InFlight == 0 {
		plan.InFlight = defaultInFlight
	}
	run := &runner{plan: plan, client: plan.Client, picker: newPicker(plan.Kinds)}
	if run.client == nil {
		run.client = NewClient()
		defer run.client.Close()
	}
	run.begun = time.Now()
	var err error
	if plan.Rate > 0 {
		err = run.openLoop(ctx)
	} else {
		run.closedLoop(ctx)
	}
	run.calls.Wait()
	report := &Report{Results: run.results, NotSent: int(run.notSent.Load()), Elapsed: time.Since(run.begun)}
	return report, err
}

// openLoop starts calls as a Poisson process, whatever becomes of them.
func (r *runner) openLoop(ctx context.Context) error {
	sleeper, err := precise.NewSleeper()
	if err != nil {
		return errors.Trace(err)
	}
	defer sleeper.Close()
	random := newRandom(r.plan.Seed)
	intended := time.Now()
	for r.more(intended) && ctx.Err() == nil {
		gap := random.ExpFloat64() / r.plan.Rate
		intended = intended.Add(time.Duration(gap * float64(time.Second)))
		sleeper.SleepUntil(intended)
		sequence := int(r.sequence.Add(1))
		if r.open.Load() >= int64(r.plan.InFlight) {
			r.notSent.Add(1)
			continue
		}
		kind := r.picker.pick(random)
		due := intended
		r.open.Add(1)
		r.calls.Add(1)
		go func() {
			defer r.calls.Done()
			defer r.open.Add(-1)
			r.call(ctx, sequence, kind, due)
		}()
	}
	return nil
}

// closedLoop runs callers that each start a call when the last has ended.
func (r *runner) closedLoop(ctx context.Context) {
	for worker := range r.plan.Workers {
		random := newRandom(r.plan.Seed + uint64(worker))
		r.calls.Add(1)
		go func() {
			defer r.calls.Done()
			for now := time.Now(); r.more(now) && ctx.Err() == nil; now = time.Now() {
				r.call(ctx, int(r.sequence.Add(1)), r.picker.pick(random), now)
			}
		}()
	}
}

// more tells whether a further call may start.
func (r *runner) more(now time.Time) bool {
	if r.plan.Calls > 0 && int(r.sequence.Load()) >= r.plan.Calls {
		return false
	}
	select {
	case <-r.plan.Stop:
		return false
	default:
	}
	return r.plan.Duration == 0 || now.Sub(r.begun) < r.plan.Duration
}

// call makes one call and keeps its result.
func (r *runner) call(ctx context.Context, sequence, kind int, intended time.Time) {
	target := sequence % len(r.plan.Targets)
	if r.plan.Dispatch != nil {
		target = r.plan.Dispatch(sequence, kind)
	}
	id := backend.RequestID(fmt.Sprintf("%s-%d", r.plan.Prefix, sequence))
	outcome := r.client.Call(ctx, r.plan.Targets[target].address(), r.plan.Kinds[kind], id)
	outcome.Request = id
	outcome.Kind = kind
	outcome.Target = target
	outcome.Intended = intended.Sub(r.plan.Origin)
	outcome.Done = time.Since(r.plan.Origin)
	r.mutex.Lock()
	r.results = append(r.results, outcome)
	r.mutex.Unlock()
}

// newRandom returns a repeatable source.
func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0xd1b54a32d192ed03))
}

// picker draws kinds by weight.
type picker struct {
	cumulative []int
}

// newPicker returns a picker; a weight below 1 counts as 1.
func newPicker(kinds []Kind) *picker {
	total := 0
	made := &picker{}
	for _, kind := range kinds {
		total += max(kind.Weight, 1)
		made.cumulative = append(made.cumulative, total)
	}
	return made
}

// pick draws an index of the kinds.
func (p *picker) pick(random *rand.Rand) int {
	drawn := random.IntN(p.cumulative[len(p.cumulative)-1])
	for index, bound := range p.cumulative {
		if drawn < bound {
			return index
		}
	}
	return len(p.cumulative) - 1
}
