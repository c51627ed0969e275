package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/operator/client"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/sim/oracle"
)

// Bounds of waits. They only end a run that has failed; no verdict depends on
// how much sooner something happens.
const (
	settleBound = 3 * time.Minute
	changeBound = 30 * time.Second
	callBound   = 20 * time.Second
	poll        = 100 * time.Millisecond
)

// Result is what a run did and found.
type Result struct {
	Violations []oracle.Violation
	// Lines counts the log lines judged, Unread those that could not be read.
	Lines, Unread int
	Calls         int
	Accepted      uint64
	Faults        map[string]int
}

// run is the state of one run.
type run struct {
	*cluster
	random *rand.Rand
	result Result
	calls  int
	// marker numbers the changes of the one file; accepted is the version of
	// the newest one known to be accepted.
	marker   int
	accepted uint64
	// current is the marker of the change that should be in force. doubted are
	// those of changes whose outcome is not known: each may be accepted at any later
	// time, also after a newer one.
	current int
	doubted []int
	// certain is set while the newest change is known to be accepted.
	certain bool
	client  *http.Client
}

// Run starts the daemons, brings faults about and judges the run.
func Run(ctx context.Context, options Options) (Result, error) {
	const stream = 0x9e37
	if options.Report == nil {
		options.Report = func(string, ...any) {}
	}
	started, err := newCluster(options)
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	defer started.close()
	r := &run{
		cluster: started,
		random:  rand.New(rand.NewPCG(options.Seed, stream)),
		result:  Result{Faults: map[string]int{}},
		client:  &http.Client{Timeout: callBound, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for _, d := range r.daemons {
		if err := d.start(); err != nil {
			return Result{}, errors.Trace(err)
		}
	}
	if err := r.play(ctx); err != nil {
		return r.finish(), errors.Trace(err)
	}
	return r.finish(), nil
}

func (r *run) play(ctx context.Context) error {
	if err := r.changeAndSettle(ctx); err != nil {
		return errors.Annotate(err, "start")
	}
	for round := range r.options.Rounds {
		r.options.Report("round %d of %d", round, r.options.Rounds)
		if err := r.round(ctx); err != nil {
			return errors.Annotatef(err, "round %d", round)
		}
	}
	if err := r.heal(); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(r.changeAndSettle(ctx), "end")
}

// changeAndSettle changes the file until it is known to be accepted, a few
// times at most, and waits until that is in force.
func (r *run) changeAndSettle(ctx context.Context) error {
	const tries = 4
	for range tries {
		if r.change(ctx); r.certain {
			break
		}
	}
	return errors.Trace(r.settle(ctx))
}

// round brings one fault about, changes the file, calls and looks.
func (r *run) round(ctx context.Context) error {
	if err := r.fault(); err != nil {
		return errors.Trace(err)
	}
	r.change(ctx)
	for range 4 {
		r.call(ctx)
	}
	r.look(ctx)
	if r.random.IntN(3) == 0 {
		return errors.Trace(r.heal())
	}
	return nil
}

// fault draws one fault.
func (r *run) fault() error {
	d := r.daemons[r.random.IntN(len(r.daemons))]
	switch r.random.IntN(5) {
	case 0:
		return errors.Trace(r.count("kill", d, func() error { d.kill(); return nil }))
	case 1:
		return errors.Trace(r.count("restart", d, func() error { d.kill(); return d.start() }))
	case 2:
		return errors.Trace(r.count("planned_restart", d, func() error { d.stop(); return d.start() }))
	case 3:
		if r.paused != nil || !d.running() {
			return nil
		}
		r.paused = d
		return errors.Trace(r.count("pause", d, func() error { d.pause(); return nil }))
	default:
		return errors.Trace(r.heal())
	}
}

func (r *run) count(name string, d *daemonProcess, bring func() error) error {
	if r.paused == d && name != "pause" {
		r.paused = nil
		d.resume()
	}
	r.result.Faults[name]++
	r.options.Report("%s %s", name, d.id)
	return bring()
}

// heal resumes and restarts all daemons.
func (r *run) heal() error {
	if r.paused != nil {
		r.paused.resume()
		r.paused = nil
	}
	for _, d := range r.daemons {
		if d.running() {
			continue
		}
		if err := d.start(); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// change replaces the file, so that its route moves to a new path.
func (r *run) change(ctx context.Context) {
	r.marker++
	action := protocol.ActionReplace
	if r.marker == 1 {
		action = protocol.ActionSubmit
	}
	change := client.Change{
		Partner: partner, Name: "orders", Action: action,
		Content:   []byte(fileText(r.marker, r.daemons[0].gate)),
		Operation: client.NewOperation(time.Now()),
	}
	r.journal.with(func(judge *oracle.Oracle, _ time.Duration) {
		judge.Submitted(oracle.Change{Operation: change.Operation, File: partner + "/orders", Marker: markerText(r.marker)})
	})
	bounded, cancel := context.WithTimeout(ctx, changeBound)
	defer cancel()
	answer := r.operator.Change(bounded, change)
	r.options.Report("change %d: %s at %d", r.marker, answer.Name, answer.Version)
	r.journal.with(func(judge *oracle.Oracle, at time.Duration) {
		judge.Answered(at, change.Operation, oracle.Answer{Code: answer.Code, Version: answer.Version})
	})
	r.certain = answer.Code == result.OK
	r.current = r.marker
	if r.certain {
		r.accepted = answer.Version
	} else {
		r.doubted = append(r.doubted, r.marker)
	}
}

func markerText(marker int) string { return "m" + strconv.Itoa(marker) }

// fileText is the file with the route at a path that belongs to the change.
func fileText(marker int, gate string) string {
	return fmt.Sprintf(`partner: %s
name: orders
services: [{name: orders}]
backends: [{name: orders-1, service: orders, address: %q, region: windhoek, zone: klein-hall, slots: %d}]
routes:
  - {name: orders, match: {path_prefix: /%s}, split: [{service: orders}], repeatable: false, timeout: 5s}
`, partner, gate, backend.DefaultSlots, markerText(marker))
}

// settle waits until the newest change is in force and every daemon holds it.
func (r *run) settle(ctx context.Context) error {
	limit := time.Now().Add(settleBound)
	for time.Now().Before(limit) {
		for _, d := range r.daemons {
			if err := d.endedByItself(); err != nil {
				return errors.Trace(err)
			}
		}
		status, refused := r.operator.Status(ctx)
		if refused == nil && r.certain && status.InForce >= r.accepted && r.allHold(r.accepted) {
			r.look(ctx)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-time.After(poll):
		}
	}
	return fmt.Errorf("version %d is not in force on every daemon after %v", r.accepted, settleBound)
}

// allHold reports whether every daemon has put a version or a newer one in
// force, by its event log.
func (r *run) allHold(version uint64) bool {
	holding := true
	r.journal.with(func(*oracle.Oracle, time.Duration) {
		for _, d := range r.daemons {
			holding = holding && r.journal.held[d.name()] >= version
		}
	})
	return holding
}

// finish judges the runs of the back end and gathers the result.
func (r *run) finish() Result {
	for _, one := range r.backend.Runs() {
		r.journal.with(func(judge *oracle.Oracle, _ time.Duration) {
			judge.BackendStarted(one.Start, r.backend.Name(), string(one.Request))
			judge.BackendEnded(r.backend.Name(), string(one.Request))
		})
	}
	r.journal.with(func(judge *oracle.Oracle, _ time.Duration) {
		r.result.Violations = judge.Violations()
		r.result.Accepted = judge.Accepted()
		r.result.Lines = r.journal.lines
		r.result.Unread = r.journal.unread
	})
	r.result.Calls = r.calls
	return r.result
}
