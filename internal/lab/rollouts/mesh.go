package rollouts

import (
	"math/rand/v2"
	"time"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
)

const (
	// step is the time between two looks at everything.
	step = 100 * time.Millisecond
	// decideEvery is how many steps pass between two of a decider, as in the daemon.
	decideEvery = 3
	// deciderCount is how many daemons decide; those that take over are new ones.
	deciderCount = 3
	// stagger is how much later each decider acts than the one before it.
	stagger = 700 * time.Millisecond
	// canaryShare is the share of calls that canaries get, as in the daemon.
	canaryShare = 0.07
	// readEvery is how many steps pass between a decider's reads after a failure.
	readEvery = 10
	// respread is the time between two tellings of a stage, as in the daemon.
	respread = time.Second
	// slots is how many calls each version may run.
	slots = 100
)

var service = resource.ServiceRef{Partner: "platform", Name: "app"}

// daemon is what one daemon knows of the order.
type daemon struct {
	table *rollout.Table
	// deafUntil is until when nothing reaches it.
	deafUntil time.Duration
}

// stage is the stage that the daemon divides calls by; 0 before it has heard.
func (d *daemon) stage() rollout.Stage {
	record, _ := d.table.Lookup(service)
	return record.Stage
}

// decider is one daemon that decides.
type decider struct {
	*daemon
	number   int
	machine  *rollout.Decider
	revision uint64
	// pausedUntil is until when it stands still.
	pausedUntil time.Duration
	// spreadAt is when it last told all daemons of a stage again.
	spreadAt time.Duration
	dueAt    time.Duration
	stale    bool
}

// run is one order played.
type run struct {
	random   *rand.Rand
	options  Options
	target   version
	duration time.Duration
	trouble  float64
	daemons  []*daemon
	deciders []*decider
	store    *store
	stable   rollout.Evidence
	fresh    rollout.Evidence
	// lastOld is when a call was last sent to the old version.
	lastOld time.Duration
	// lastOldInTouch is the same of daemons that had not been cut off shortly before.
	lastOldInTouch time.Duration
	result         Result
	bad            int
}

// newRun draws an order and its trouble.
func newRun(options Options, seed uint64) *run {
	random := rand.New(rand.NewPCG(seed, options.Seed))
	made := &run{
		random: random, options: options, duration: time.Duration(12+random.IntN(49)) * time.Second,
		stable: rollout.Evidence{}, fresh: rollout.Evidence{},
		store: &store{random: random, refused: -1, revision: 1, stage: rollout.StageCanary},
	}
	made.target = drawVersion(random, made.duration)
	made.result.Good = made.target.good()
	if random.IntN(3) == 0 {
		made.trouble = 0.3 * random.Float64()
	}
	made.drawStoreFaults()
	for range options.Daemons {
		made.daemons = append(made.daemons, &daemon{table: rollout.NewTable()})
	}
	for number := range deciderCount {
		made.deciders = append(made.deciders, made.newDecider(number))
	}
	return made
}

func (r *run) drawStoreFaults() {
	switch r.random.IntN(4) {
	case 0:
		r.store.downFrom = time.Duration(r.random.Float64() * 0.5 * float64(r.duration))
		r.store.downUntil = r.store.downFrom + time.Duration(1+r.random.IntN(3))*time.Second
	case 1:
		r.store.losing = 0.5
	case 2:
		r.store.refused = r.random.IntN(deciderCount)
	}
}

// newDecider is one that has just started, or taken over.
func (r *run) newDecider(number int) *decider {
	return &decider{daemon: r.daemons[number], number: number, machine: &rollout.Decider{}, stale: true}
}

// play steps the order to its outcome, and some seconds beyond.
func (r *run) play() Result {
	end := 3 * r.duration
	for now, count := time.Duration(0), 0; now < end; now, count = now+step, count+1 {
		r.disturb(now)
		r.gossip(now)
		r.serve(now)
		if count%decideEvery == 0 {
			for _, one := range r.deciders {
				r.decide(now, one, count)
			}
		}
		if r.store.outcome.Final() && r.result.outcomeAt == 0 {
			r.result.outcomeAt = now
			r.result.Completed = r.store.outcome == rollout.StageCompleted
			r.result.InTime = now <= r.duration
			r.result.CutRisk = r.result.Completed && now-r.lastOld < longestCall
			r.result.CutRiskInTouch = r.result.Completed && now-r.lastOldInTouch < longestCall
			end = min(end, now+5*time.Second)
		}
	}
	r.result.Contradictions = r.store.replaced
	r.result.StoreCalls = r.store.calls
	return r.result
}

// longestCall is how long a call that was sent to the old version may run at most of
// those that this model sends.
const longestCall = 2 * time.Second

// disturb kills and pauses deciders and cuts daemons off now and then.
func (r *run) disturb(now time.Duration) {
	if r.random.IntN(100) == 0 {
		number := r.random.IntN(deciderCount)
		if r.random.IntN(2) == 0 {
			r.deciders[number] = r.newDecider(number) // killed, and another one takes over
		} else {
			r.deciders[number].pausedUntil = now + time.Duration(r.random.IntN(4000))*time.Millisecond
		}
	}
	if r.random.IntN(20) == 0 {
		r.daemons[r.random.IntN(len(r.daemons))].deafUntil = now + time.Duration(r.random.IntN(2000))*time.Millisecond
	}
}

// gossip tells records on: about one comparison a second and daemon, both ways.
func (r *run) gossip(now time.Duration) {
	for _, one := range r.daemons {
		if r.random.IntN(10) == 0 {
			r.exchange(now, one, r.daemons[r.random.IntN(len(r.daemons))])
		}
	}
}

func (r *run) exchange(now time.Duration, one, other *daemon) {
	if now < one.deafUntil || now < other.deafUntil {
		return
	}
	for _, record := range one.table.Records(now) {
		other.table.Merge(now, record)
	}
	for _, record := range other.table.Records(now) {
		one.table.Merge(now, record)
	}
}

// broadcast tells all daemons but those that miss it.
func (r *run) broadcast(now time.Duration, from *daemon) {
	for _, one := range r.daemons {
		if r.random.IntN(50) != 0 {
			r.exchange(now, from, one)
		}
	}
}
