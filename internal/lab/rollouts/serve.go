package rollouts

import (
	"time"

	"github.com/springstack/springstack/internal/core/position"
	"github.com/springstack/springstack/internal/core/rollout"
)

// badLimit is the number of bad answers after which a version may get nothing more for
// long.
const badLimit = 50

// contactTime is how long after it was cut off a daemon counts as in touch again.
const contactTime = 3 * time.Second

// serve sends the calls of one step, each from a drawn daemon by the stage that it knows.
func (r *run) serve(now time.Duration) {
	for range r.options.Calls {
		sender := r.daemons[r.random.IntN(len(r.daemons))]
		if now <= r.duration {
			r.result.Calls++
		}
		if !r.toTarget(sender.stage()) {
			r.lastOld = now
			if now-sender.deafUntil > contactTime {
				r.lastOldInTouch = now
			}
			version{OnlyClass: -1}.answer(r.random, now, r.stable, r.trouble)
			continue
		}
		if now <= r.duration {
			r.result.Exposed++
		}
		if r.target.answer(r.random, now, r.fresh, r.trouble) && now >= r.target.From {
			r.bad++ // what trouble fails before the version turns bad is not its own
		}
		if r.bad == badLimit && r.result.fiftiethAt == 0 {
			r.result.fiftiethAt = now
		}
		if r.result.fiftiethAt > 0 {
			r.result.LastAfter = now - r.result.fiftiethAt
		}
	}
}

func (r *run) toTarget(stage rollout.Stage) bool {
	switch stage {
	case rollout.StageCanary:
		return r.random.Float64() < canaryShare
	case rollout.StageShift, rollout.StageCompleted:
		return true
	}
	return false
}

// decide makes one step of a decider, as the daemon does.
func (r *run) decide(now time.Duration, one *decider, count int) {
	if now < one.pausedUntil {
		return
	}
	if one.stale && count%readEvery == 0 {
		r.read(now, one)
	}
	record, found := one.table.Lookup(service)
	if !found || record.Stage.Final() {
		return
	}
	if record.Stage.IsUrgent() && now-one.spreadAt >= respread {
		one.spreadAt = now
		r.broadcast(now, one.daemon)
	}
	seen := rollout.Observation{
		Stable: r.stable.Clone(), Target: r.fresh.Clone(), StableSlots: slots, TargetSlots: slots,
		StableKnown: r.random.IntN(10) != 0,
	}
	if now-r.lastOld < longestCall {
		seen.StableRunning = 1
	}
	decision := one.machine.Step(now, record, one.table.Elapsed(now, service), seen)
	if decision.Stage == record.Stage {
		one.dueAt = 0
		return
	}
	if one.dueAt == 0 {
		one.dueAt = now
	}
	if decision.Stage == rollout.StageHalted {
		record.Stage = rollout.StageHalted
		record.Elapsed = one.table.Elapsed(now, service)
		one.table.Merge(now, record)
		r.broadcast(now, one.daemon)
		decision.Stage = rollout.StageRolledBack
	}
	if now-one.dueAt >= time.Duration(one.number)*stagger {
		r.write(now, one, record, decision.Stage)
	}
}

// write writes a stage and, if the decider knows that it stands, tells the mesh.
func (r *run) write(now time.Duration, one *decider, record rollout.Record, stage rollout.Stage) {
	if !r.store.write(now, one.number, one.revision, stage) {
		one.stale = true
		return
	}
	one.dueAt = 0
	one.revision = r.store.revision
	r.merge(now, one, stage)
}

// read takes what the store holds.
func (r *run) read(now time.Duration, one *decider) {
	if !r.store.answers(now, one.number) {
		return
	}
	one.stale = false
	one.revision = r.store.revision
	r.merge(now, one, r.store.stage)
}

// merge takes a stage that stands in the store, and tells the mesh if it is news.
func (r *run) merge(now time.Duration, one *decider, stage rollout.Stage) {
	record := rollout.Record{
		Service: service, Target: "v2", Generation: position.Position{Revision: 1}, Duration: r.duration, Stage: stage,
		Elapsed: now, // the store tells when the order was made
	}
	if one.table.Merge(now, record) {
		r.broadcast(now, one.daemon)
	}
}
