package demo

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/result"
)

// The paths of the demo's routes.
const (
	firstPath  = "/renewals"
	secondPath = "/v2/renewals"
	hotelPath  = "/hotel"
	clockPath  = "/clock-ins"
)

// submitFirst submits both partners' first files.
func submitFirst(ctx context.Context, d *demo) error {
	answer := d.change(ctx, protocol.ActionSubmit, kameeldoring, "renewals",
		renewalsFile(d.mesh.Machines(), firstPath, false))
	if err := expect(answer, result.OK); err != nil {
		return err
	}
	if err := d.inForce(ctx, kameeldoring, "renewals", answer.Version); err != nil {
		return err
	}
	answer = d.change(ctx, protocol.ActionSubmit, adomako, "clock-ins", clockInsFile(d.mesh.Machines()))
	if err := expect(answer, result.OK); err != nil {
		return err
	}
	return d.inForce(ctx, adomako, "clock-ins", answer.Version)
}

// reaches checks that a call through the entry is answered by a back end of a
// service.
func (d *demo) reaches(ctx context.Context, path, service string) error {
	var last outcome
	var failure error
	err := d.until(ctx, "a call to "+path+" reaches "+service, func() bool {
		last, failure = d.calls.do(ctx, http.MethodGet, d.entry.Daemon.Addresses().Callers, path+"/1")
		return failure == nil && last.status == http.StatusOK
	})
	if err != nil {
		return errors.Annotatef(err, "last answer %+v %v", last, failure)
	}
	serves := slices.ContainsFunc(d.mesh.Machines(), func(machine *meshMachine) bool {
		return machine.ID == last.backend && machine.Service == service
	})
	if !serves {
		return errors.Errorf("%s was answered by %q, which is no back end of %s", path, last.backend, service)
	}
	d.tell("call_answered", "path", path, "entry", d.entry.ID, "backend", last.backend, "status", last.status)
	return nil
}

// refused checks that a call is refused with a code and did not run.
func (d *demo) refused(ctx context.Context, path string, code result.Code) error {
	got, err := d.calls.do(ctx, http.MethodGet, d.entry.Daemon.Addresses().Callers, path+"/1")
	if err != nil {
		return err
	}
	d.tell("call_refused", "path", path, "code", int(got.code), "name", got.code.Name(), "ran", got.ran)
	if got.code != code || got.ran != string(result.RanNo) {
		return errors.Errorf("refusal %d ran=%q where %d ran=no was expected", got.code, got.ran, code)
	}
	return nil
}

// callNewRoute calls over the new routes, from another zone and region.
func callNewRoute(ctx context.Context, d *demo) error {
	if err := d.reaches(ctx, firstPath, renewals); err != nil {
		return err
	}
	if err := d.reaches(ctx, clockPath, clockIns); err != nil {
		return err
	}
	return d.refused(ctx, "/nowhere", result.NoRoute)
}

// replaceFile moves the route to another path, in whole.
func replaceFile(ctx context.Context, d *demo) error {
	answer := d.change(ctx, protocol.ActionReplace, kameeldoring, "renewals",
		renewalsFile(d.mesh.Machines(), secondPath, false))
	if err := expect(answer, result.OK); err != nil {
		return err
	}
	if err := d.inForce(ctx, kameeldoring, "renewals", answer.Version); err != nil {
		return err
	}
	if err := d.reaches(ctx, secondPath, renewals); err != nil {
		return err
	}
	return d.refused(ctx, firstPath, result.NoRoute)
}

// holdAndPromote submits a route to a service that is not exported yet, and
// then exports it.
func holdAndPromote(ctx context.Context, d *demo) error {
	held := d.change(ctx, protocol.ActionSubmit, adomako, "lookups", lookupsFile())
	if err := expect(held, result.Held); err != nil {
		return err
	}
	d.tell("file_held", "file", adomako+"/lookups", "waits_for", strings.Join(held.WaitsFor, ", "))
	answer := d.change(ctx, protocol.ActionReplace, kameeldoring, "renewals",
		renewalsFile(d.mesh.Machines(), secondPath, true))
	if err := expect(answer, result.OK); err != nil {
		return err
	}
	if !slices.Contains(answer.Promoted, adomako+"/lookups") {
		return errors.Errorf("version %d promoted %v and not the held file", answer.Version, answer.Promoted)
	}
	d.tell("file_promoted", "file", adomako+"/lookups", "version", answer.Version)
	if err := d.inForce(ctx, adomako, "lookups", answer.Version); err != nil {
		return err
	}
	return d.reaches(ctx, hotelPath, renewals)
}

// refuseBadFile submits a file with an unknown field.
func refuseBadFile(ctx context.Context, d *demo) error {
	answer := d.change(ctx, protocol.ActionSubmit, adomako, "broken", brokenFile())
	if err := expect(answer, result.FileUnknownField); err != nil {
		return err
	}
	for _, problem := range answer.Errors {
		d.tell("mistake_found", "code", int(problem.Code), "line", problem.Line, "field", problem.Field,
			"detail", problem.Detail, "mend", problem.Mend)
	}
	return nil
}

// refuseWithdrawal withdraws a file that another partner's route needs.
func refuseWithdrawal(ctx context.Context, d *demo) error {
	answer := d.change(ctx, protocol.ActionWithdraw, kameeldoring, "renewals", nil)
	if err := expect(answer, result.StillNeeded); err != nil {
		return err
	}
	for _, problem := range answer.Errors {
		d.tell("withdrawal_refused", "detail", problem.Detail)
	}
	return d.reaches(ctx, hotelPath, renewals)
}

// restartWithoutPlatform kills a daemon and starts it with nothing remembered
// while the platform is down: it must come back at no less than it held.
func restartWithoutPlatform(ctx context.Context, d *demo) error {
	held := d.entry.Daemon.State().Version
	d.mesh.Platform.SetFaults(standin.Faults{Outage: standin.OutageRefusing})
	d.tell("platform_down", "outage", string(standin.OutageRefusing))
	d.mesh.Kill(d.entry)
	d.tell("daemon_killed", "id", d.entry.ID, "held", uint64(held))
	if err := d.mesh.Start(d.entry); err != nil {
		return err
	}
	err := d.until(ctx, "the restarted daemon is ready", func() bool { return d.entry.Daemon.Ready() })
	if err != nil {
		return err
	}
	now := d.entry.Daemon.State().Version
	d.tell("daemon_ready", "id", d.entry.ID, "version", uint64(now))
	if now < held {
		return errors.Errorf("%s went back from version %d to %d", d.entry.ID, held, now)
	}
	if err := d.reaches(ctx, secondPath, renewals); err != nil {
		return err
	}
	d.mesh.Platform.SetFaults(standin.Faults{})
	d.tell("platform_up")
	return nil
}

// withdrawFile withdraws a file and sees its route go everywhere.
func withdrawFile(ctx context.Context, d *demo) error {
	answer := d.change(ctx, protocol.ActionWithdraw, adomako, "lookups", nil)
	if err := expect(answer, result.OK); err != nil {
		return err
	}
	return d.until(ctx, "the withdrawn route is gone", func() bool {
		got, err := d.calls.do(ctx, http.MethodGet, d.entry.Daemon.Addresses().Callers, hotelPath+"/1")
		return err == nil && got.code == result.NoRoute
	})
}
