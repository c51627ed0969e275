// Package demo walks the whole path in one process over loopback TCP: files
// submitted by operators reach every daemon, and calls take the new routes to
// emulated back ends. Each step is checked; an untrue one ends the demo.
package demo

import (
	"context"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/mesh"
	"github.com/springstack/springstack/internal/operator/client"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/settings"
)

// stepBound bounds each wait of the demo.
const stepBound = 40 * time.Second

// shortLeases keep the demo short: a new root may call nothing in force until
// every lease that another root may have granted has run out.
// A fetch must be answered well within half a lease, or daemons would leave
// their parents.
var shortLeases = settings.Timing{
	FetchWait:    600 * time.Millisecond,
	ServingLease: 4 * time.Second,
	DeadAfter:    14 * time.Second,
}

// pollEvery is how often a wait looks.
const pollEvery = 20 * time.Millisecond

// demo is one run.
type demo struct {
	*narrator
	mesh      *mesh.Mesh
	operators map[string]*client.Client
	calls     *caller
	// entry is a machine without back end, through which calls are made.
	entry *mesh.Machine
}

// Options describes a run.
type Options struct {
	// Out takes the narration.
	Out  io.Writer
	Seed uint64
	// Logger takes the daemons' events; nil drops them.
	Logger log.Interface
}

// step is one checked part of the demo.
type step struct {
	name string
	run  func(ctx context.Context, d *demo) error
}

// steps in their order; each builds on those before it.
var steps = []step{
	{"mesh", startMesh},
	{"submit", submitFirst},
	{"call", callNewRoute},
	{"replace", replaceFile},
	{"hold_and_promote", holdAndPromote},
	{"refuse", refuseBadFile},
	{"still_needed", refuseWithdrawal},
	{"restart_without_platform", restartWithoutPlatform},
	{"drain", drainBackend},
	{"withdraw", withdrawFile},
}

// Run plays the demo. The error names the step that was untrue.
func Run(ctx context.Context, options Options) error {
	began := time.Now()
	d := &demo{narrator: &narrator{out: options.Out}, calls: newCaller(), operators: make(map[string]*client.Client)}
	defer d.calls.close()
	started, err := mesh.New(mesh.Options{
		Seed:     options.Seed,
		Partners: []string{kameeldoring, adomako},
		Logger:   options.Logger,
		Settle:   time.Second,
		Timing:   shortLeases,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer started.Close()
	d.mesh = started
	d.tell("platform_started", "url", started.PlatformURL())
	for _, step := range steps {
		if err := step.run(ctx, d); err != nil {
			d.tell("demo_finished", "result", "failed", "step", step.name, "error", err)
			return errors.Annotate(err, step.name)
		}
	}
	d.tell("demo_finished", "result", "ok", "seconds", time.Since(began).Round(time.Millisecond).Seconds())
	return nil
}

// until waits for a condition within stepBound.
func (d *demo) until(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, stepBound)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Errorf("%s did not come true within %v", what, stepBound)
		}
	}
	return nil
}

// change carries out a change of a file and returns the operator's answer.
func (d *demo) change(ctx context.Context, action protocol.Action, partner, name string, content []byte) message.Answer {
	ctx, cancel := context.WithTimeout(ctx, stepBound)
	defer cancel()
	answer := d.operators[partner].Change(ctx, client.Change{
		Partner: partner,
		Name:    name,
		Action:  action,
		Content: content,
	})
	d.tell("operator_answered", "action", string(action), "file", partner+"/"+name,
		"code", int(answer.Code), "name", answer.Name, "ran", string(answer.Ran), "version", answer.Version)
	return answer
}

// expect checks the code of an answer.
func expect(answer message.Answer, code result.Code) error {
	if answer.Code != code {
		return errors.Errorf("answer %d %s where %d %s was expected: %v",
			answer.Code, answer.Name, code, code.Name(), answer.Errors)
	}
	return nil
}

// inForce waits until status says that a file is in force, and checks that
// every running daemon really holds the version.
func (d *demo) inForce(ctx context.Context, partner, name string, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, stepBound)
	defer cancel()
	began := time.Now()
	goal := client.Goal{Partner: partner, Name: name, Version: version}
	answer := d.operators[partner].Wait(ctx, goal, func(client.Progress) {})
	if err := expect(answer, result.OK); err != nil {
		return err
	}
	for _, machine := range d.mesh.Machines() {
		if machine.Daemon == nil {
			continue
		}
		if held := machine.Daemon.State().Version; uint64(held) < version {
			return errors.Errorf("status says version %d is in force, but %s holds %d", version, machine.ID, held)
		}
	}
	d.tell("in_force", "file", partner+"/"+name, "version", version,
		"daemons", len(d.mesh.Running()), "waited_ms", time.Since(began).Milliseconds())
	return nil
}

// startMesh starts eight machines in two regions and waits until they know
// each other.
func startMesh(ctx context.Context, d *demo) error {
	places := []struct {
		region  string
		zone    string
		partner string
		service string
	}{
		{"windhoek", "klein-hall", "", ""},
		{"windhoek", "klein-hall", kameeldoring, renewals},
		{"windhoek", "eros-hall", kameeldoring, renewals},
		{"windhoek", "olympia-hall", "", ""},
		{"accra", "tema-hall", adomako, clockIns},
		{"accra", "kaneshie-hall", adomako, clockIns},
		{"accra", "osu-hall", "", ""},
		{"accra", "tema-hall", "", ""},
	}
	for _, place := range places {
		at := mesh.Place{Region: place.region, Zone: place.zone}
		machine, err := d.addMachine(at, place.partner, place.service)
		if err != nil {
			return err
		}
		d.tell("daemon_started", "id", machine.ID, "region", place.region, "zone", place.zone,
			"service", place.service, "control", machine.Daemon.Addresses().Control)
	}
	d.entry = d.mesh.Machines()[0]
	for _, partner := range []string{kameeldoring, adomako} {
		operators, err := d.mesh.Client(partner)
		if err != nil {
			return errors.Trace(err)
		}
		d.operators[partner] = operators
	}
	began := time.Now()
	err := d.until(ctx, "every daemon knows all others", func() bool { return d.membersKnown() })
	d.tell("mesh_formed", "daemons", len(places), "waited_ms", time.Since(began).Milliseconds())
	return err
}

func (d *demo) addMachine(at mesh.Place, partner, service string) (*mesh.Machine, error) {
	if service == "" {
		return d.mesh.Add(at)
	}
	return d.mesh.AddBackend(at, partner, service, backend.Config{MeanService: 2 * time.Millisecond})
}

// membersKnown reports that every daemon's data path knows all daemons.
func (d *demo) membersKnown() bool {
	for _, running := range d.mesh.Running() {
		if running.State().Members < len(d.mesh.Machines()) {
			return false
		}
	}
	return true
}
