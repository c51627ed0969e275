// Package scale runs hollow daemons beside real ones in one process and
// measures what each role costs: at rest, by change, by restart, and when all
// daemons restart at once.
//
// Load is compressed in time, so costs are taken apart: what daemons spend at
// rest comes from a window without events, what a change or a restart costs
// from windows with many, less the rest. Rates of a day are put together from
// these; nothing is assumed to be linear beyond events being alike.
package scale

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/daemon"
	"github.com/springstack/springstack/internal/lab/catalogue"
	"github.com/springstack/springstack/internal/lab/hollow"
	"github.com/springstack/springstack/internal/lab/host"
	"github.com/springstack/springstack/internal/pause"
)

// The rates of the size that springstack is built for, by day.
const (
	ChangesADay  = 2300
	RestartsADay = 180
	// HighChurn is how many times the restarts of a day the second row has.
	HighChurn = 100

	secondsADay = 86400.0
)

// Options describes a run.
type Options struct {
	Daemons  int
	Services int
	Seed     uint64
	// Real is how many whole daemons there are besides.
	Real int
	// Rest is how long the mesh is watched without events.
	Rest time.Duration
	// Changes and Restarts are how many events are made.
	Changes  int
	Restarts int
	// Herd restarts all daemons at once at the end.
	Herd bool
	// Progress is told each phase.
	Progress func(phase string)
}

// DefaultOptions returns a run of about two minutes.
func DefaultOptions(daemons, services int, seed uint64) Options {
	return Options{
		Daemons:  daemons,
		Services: services,
		Seed:     seed,
		Real:     2,
		Rest:     15 * time.Second,
		Changes:  24,
		Restarts: 12,
		Herd:     true,
		Progress: func(string) {},
	}
}

// The bounds of one run.
const (
	formBound    = 5 * time.Minute
	changeBound  = time.Minute
	restartBound = time.Minute
	herdBound    = 3 * time.Minute
)

// MaxResident is the resident memory, in bytes, at which a run gives up.
const MaxResident = 14 << 30

// run is a run under way.
type run struct {
	options  Options
	cluster  *hollow.Cluster
	random   *rand.Rand
	report   *Report
	sampler  *sampler
	baseline uint64
	// spent is what each daemon spent by kind of window.
	rest     window
	changes  window
	restarts window
	// roles are those of the resting window, in the order of the nodes.
	roles []Role
	// real are the whole daemons.
	real []*daemon.Daemon
}

// Run carries out one run.
func Run(ctx context.Context, options Options) (*Report, error) {
	began := time.Now()
	shape := catalogue.DefaultShape(options.Services)
	baseline := host.ResidentBytes()
	cluster, err := hollow.New(hollow.Options{Daemons: options.Daemons, Shape: shape, Seed: options.Seed})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer cluster.Close()
	r := &run{
		options:  options,
		cluster:  cluster,
		random:   rand.New(rand.NewPCG(options.Seed, 3)),
		baseline: baseline,
		report:   &Report{Daemons: options.Daemons, Real: options.Real, Services: options.Services, Conditions: host.Now()},
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.sampler = startSampler(cluster, cancel)
	defer r.sampler.stop()
	defer r.stopReal()
	if err := r.phases(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	r.finish()
	r.report.Seconds = time.Since(began).Seconds()
	return r.report, nil
}

// phases runs the parts of a run in order.
func (r *run) phases(ctx context.Context) error {
	parts := []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"forming", r.form},
		{"resting", r.watchRest},
		{"changing", r.makeChanges},
		{"restarting", r.makeRestarts},
		{"herd", r.restartHerd},
	}
	for _, part := range parts {
		r.options.Progress(part.name)
		if err := part.run(ctx); err != nil {
			return errors.Annotate(err, part.name)
		}
		if ctx.Err() != nil {
			return errors.Annotate(context.Cause(ctx), part.name)
		}
	}
	return nil
}

// formFirst is how many daemons there are when the catalogue is loaded: two a
// zone. The others start when it stands, as machines join a mesh that runs.
const formFirst = 2 * catalogue.Zones

// form starts some daemons, loads the catalogue, starts the others and waits
// until all hold it.
func (r *run) form(ctx context.Context) error {
	r.cluster.Observer.Expect(r.options.Daemons)
	if err := r.cluster.StartSome(min(formFirst, r.options.Daemons)); err != nil {
		return errors.Trace(err)
	}
	for _, file := range r.cluster.Files {
		if _, err := r.cluster.Submit(ctx, file); err != nil {
			return errors.Trace(err)
		}
	}
	began := time.Now()
	if err := r.cluster.Start(); err != nil {
		return errors.Trace(err)
	}
	if err := r.awaitNewest(formBound); err != nil {
		return err
	}
	if err := r.startReal(); err != nil {
		return err
	}
	if err := r.awaitReal(ctx, r.cluster.Observer.Newest(), formBound); err != nil {
		return err
	}
	r.report.FormMilliseconds = float64(time.Since(began).Milliseconds())
	r.settle(ctx)
	return nil
}

// How long the mesh is given to come to rest after it was formed: daemons try
// their preferred parents, and each move is told to all.
const (
	settleStep  = 5 * time.Second
	settleLeast = 8
	settleMost  = 14
	// settledShare of the bytes of the step before means that they no longer
	// fall.
	settledShare = 0.9
)

// settle waits until the bytes of all daemons no longer fall.
func (r *run) settle(ctx context.Context) {
	before := r.cluster.Traffic().BytesOut
	last := uint64(0)
	for step := range settleMost {
		pause.For(ctx, settleStep)
		now := r.cluster.Traffic().BytesOut
		spent := now - before
		before = now
		if step >= settleLeast && float64(spent) >= settledShare*float64(last) {
			return
		}
		last = spent
	}
}

// awaitNewest waits until every daemon holds the newest version.
func (r *run) awaitNewest(bound time.Duration) error {
	newest := r.cluster.Observer.Newest()
	if _, done := r.cluster.Observer.Converged(newest, bound); !done {
		return errors.Errorf("%d of %d daemons hold version %d after %v; events %v",
			r.cluster.Observer.Holding(newest), r.options.Daemons, newest, bound, r.cluster.Events())
	}
	return nil
}

// watchRest measures a window without events.
func (r *run) watchRest(ctx context.Context) error {
	before := r.take()
	pause.For(ctx, r.options.Rest)
	r.rest = between(before, r.take())
	r.report.ResidentMegabytes = r.residentByDaemon()
	return r.readRoles(ctx)
}

// makeChanges makes changes one after the other.
func (r *run) makeChanges(ctx context.Context) error {
	before := r.take()
	for range r.options.Changes {
		file := r.cluster.Files[r.random.IntN(len(r.cluster.Files))]
		file.Change(r.random)
		version, err := r.cluster.Submit(ctx, file)
		if err != nil {
			return errors.Trace(err)
		}
		took, done := r.cluster.Observer.Converged(version, changeBound)
		if !done {
			return errors.Errorf("%d of %d daemons hold version %d after %v; events %v",
				r.cluster.Observer.Holding(version), r.options.Daemons, version, changeBound, r.cluster.Events())
		}
		reached := time.Now()
		if err := r.awaitReal(ctx, version, changeBound); err != nil {
			return err
		}
		r.report.convergence = append(r.report.convergence, took+time.Since(reached))
	}
	r.changes = between(before, r.take())
	return nil
}

// makeRestarts restarts daemons one after the other, every second one without
// a word to the others.
func (r *run) makeRestarts(ctx context.Context) error {
	before := r.take()
	for number := range r.options.Restarts {
		chosen := r.cluster.Nodes[r.random.IntN(len(r.cluster.Nodes))]
		if number%2 == 0 {
			chosen.Leave(ctx)
		}
		chosen.Kill()
		if err := chosen.Start(); err != nil {
			return errors.Trace(err)
		}
		if !chosen.AwaitReady(ctx, restartBound) {
			return errors.Errorf("%s is not ready %v after its restart", chosen.ID, restartBound)
		}
	}
	if err := r.awaitNewest(restartBound); err != nil {
		return err
	}
	r.restarts = between(before, r.take())
	return nil
}

// restartHerd kills all daemons and starts them all at once.
func (r *run) restartHerd(ctx context.Context) error {
	if !r.options.Herd {
		return nil
	}
	r.sampler.mark()
	r.stopReal()
	r.cluster.KillAll()
	began := time.Now()
	if err := r.cluster.StartAll(); err != nil {
		return errors.Trace(err)
	}
	for _, one := range r.cluster.Nodes {
		if !one.AwaitReady(ctx, herdBound-time.Since(began)) {
			return errors.Errorf("%s is not ready %v after the herd's restart; %d of %d hold the newest version",
				one.ID, herdBound, r.cluster.Observer.Holding(r.cluster.Observer.Newest()), r.options.Daemons)
		}
	}
	r.report.HerdReady = float64(time.Since(began).Milliseconds())
	r.report.HerdBusiest = r.sampler.busiestSinceMark()
	return nil
}
