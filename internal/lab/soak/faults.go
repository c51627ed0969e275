package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/springstack/springstack/internal/lab/link"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/platform/standin"
)

// fault is one kind of harm: what is done, and what undoes it.
type fault struct {
	name string
	// harm does it to a machine and returns what undoes it; nil when there is
	// nothing to undo.
	harm func(s *soak, on *machine) func()
	// weight is how often it is drawn.
	weight int
	// planned says that it is planned work, which breaks no request off.
	planned bool
	// everyone says that it concerns all machines, as when the store is down.
	everyone bool
}

const (
	// faultPause is the mean time between two faults, faultTime the mean time
	// that one lasts.
	faultPause = 1200 * time.Millisecond
	faultTime  = 2 * time.Second
	// toldWait lets a daemon tell its peers of a drain before it is killed.
	toldWait = 200 * time.Millisecond
)

// faults are the kinds of harm.
var faults = []fault{
	{name: "kill", weight: 3, harm: func(s *soak, on *machine) func() {
		on.end(syscall.SIGKILL)
		return func() { s.restart(on) }
	}},
	{name: "stop", weight: 2, planned: true, harm: func(s *soak, on *machine) func() {
		s.oracle.Stopped(on.name, time.Now())
		on.end(syscall.SIGTERM)
		return func() { s.restart(on) }
	}},
	{name: "pause", weight: 2, harm: func(_ *soak, on *machine) func() {
		on.signal(syscall.SIGSTOP)
		return func() { on.signal(syscall.SIGCONT) }
	}},
	{name: "reload", weight: 1, planned: true, harm: func(_ *soak, on *machine) func() {
		on.signal(syscall.SIGHUP)
		return nil
	}},
	{name: "store_silent", weight: 2, harm: func(_ *soak, on *machine) func() { return silence(on.store) }},
	{name: "store_one_way", weight: 1, harm: func(_ *soak, on *machine) func() { return cut(on.store, link.Backward) }},
	{name: "store_reset", weight: 1, harm: func(_ *soak, on *machine) func() {
		on.store.Reset()
		return nil
	}},
	{name: "gate_silent", weight: 2, harm: func(_ *soak, on *machine) func() { return silence(on.gate) }},
	{name: "gate_one_way", weight: 2, harm: func(_ *soak, on *machine) func() { return cut(on.gate, link.Backward) }},
	{name: "gate_reset", weight: 2, harm: func(_ *soak, on *machine) func() {
		on.gate.Reset()
		return nil
	}},
	{name: "gate_break", weight: 2, harm: func(s *soak, on *machine) func() {
		on.gate.ResetAfter(link.Backward, int64(s.random.IntN(5000)))
		return nil
	}},
	{name: "control_silent", weight: 2, harm: func(_ *soak, on *machine) func() { return silence(on.control) }},
	{name: "control_reset", weight: 1, harm: func(_ *soak, on *machine) func() {
		on.control.Reset()
		return nil
	}},
	{name: "cut_off", weight: 2, harm: func(_ *soak, on *machine) func() {
		heal := []func(){silence(on.store), silence(on.gate), silence(on.control)}
		return func() {
			for _, one := range heal {
				one()
			}
		}
	}},
	{name: "store_busy", weight: 1, everyone: true, harm: storeFault(standin.Faults{Busy: true})},
	{name: "store_throttled", weight: 1, everyone: true, harm: storeFault(standin.Faults{Throttled: true})},
	{name: "store_down", weight: 1, everyone: true, harm: storeFault(standin.Faults{Silent: true})},
	{name: "store_slow", weight: 1, everyone: true, harm: storeFault(standin.Faults{Delay: 400 * time.Millisecond})},
	{name: "store_loses_answers", weight: 1, everyone: true, harm: storeFault(standin.Faults{LostWrites: 0.7})},
	{name: "store_replica_lags", weight: 2, everyone: true, harm: func(s *soak, on *machine) func() {
		return storeFault(standin.Faults{Stale: s.store.Copy()})(s, on)
	}},
	{name: "store_forgets", weight: 1, everyone: true, harm: func(s *soak, _ *machine) func() {
		s.store.Forget()
		return nil
	}},
	{name: "upstream_crash", weight: 2, harm: func(s *soak, on *machine) func() {
		on.upstream.Crash()
		return func() { s.startAgain(on) }
	}},
	{name: "upstream_replaced", weight: 3, harm: func(s *soak, on *machine) func() {
		s.drain(on, (*standin.Upstream).Drain)
		return func() {
			on.upstream.Leave()
			on.upstream.Crash()
			s.startAgain(on)
		}
	}},
	{name: "upstream_leaves", weight: 2, harm: func(s *soak, on *machine) func() {
		s.drain(on, (*standin.Upstream).Leave)
		return func() { s.replaceUpstream(on) }
	}},
	{name: "drain_then_kill", weight: 2, harm: func(s *soak, on *machine) func() {
		s.drain(on, (*standin.Upstream).Drain)
		on.end(syscall.SIGKILL)
		s.restart(on)
		return func() { s.replaceUpstream(on) }
	}},
	{name: "drain_denied_then_kill", weight: 2, harm: func(s *soak, on *machine) func() {
		s.drain(on, (*standin.Upstream).Leave)
		on.upstream.DenyLeaving()
		time.Sleep(toldWait)
		on.end(syscall.SIGKILL)
		s.restart(on)
		return func() { s.replaceUpstream(on) }
	}},
	{name: "upstream_looks_ill", weight: 1, harm: func(s *soak, on *machine) func() {
		upstream := on.upstream
		upstream.SetIll(true)
		on.end(syscall.SIGKILL)
		s.restart(on)
		return func() { upstream.SetIll(false) }
	}},
	{name: "upstream_fails", weight: 2, harm: func(_ *soak, on *machine) func() {
		upstream := on.upstream
		upstream.SetFailing(true)
		return func() { upstream.SetFailing(false) }
	}},
	{name: "configuration", weight: 8, planned: true, harm: func(s *soak, _ *machine) func() {
		for range 1 + s.random.IntN(6) {
			s.operate()
		}
		return nil
	}},
}

// storeFault is a fault of the store for all daemons.
func storeFault(faults standin.Faults) func(*soak, *machine) func() {
	return func(s *soak, _ *machine) func() {
		s.server.SetFaults(faults)
		return func() { s.server.SetFaults(standin.Faults{}) }
	}
}

// silence holds back all bytes of a link, both ways.
func silence(on *link.Link) func() {
	on.Cut(link.Forward)
	on.Cut(link.Backward)
	return func() {
		on.Heal(link.Forward)
		on.Heal(link.Backward)
	}
}

func cut(on *link.Link, direction link.Direction) func() {
	on.Cut(direction)
	return func() { on.Heal(direction) }
}

// drain tells the daemon beside an upstream that it leaves; once that is
// acknowledged the promise holds.
func (s *soak) drain(on *machine, call func(*standin.Upstream) bool) {
	if call(on.upstream) {
		s.oracle.Drained(on.upstream.Instance, time.Now())
	}
}

// restart starts a daemon again.
func (s *soak) restart(on *machine) {
	if err := on.start(); err != nil {
		s.oracle.Never(err.Error())
	}
}

// replaceUpstream ends an upstream and starts a new instance in its place.
func (s *soak) replaceUpstream(on *machine) {
	on.upstream.Crash()
	s.startAgain(on)
}

// startAgain starts a new instance at the address of the one before.
func (s *soak) startAgain(on *machine) {
	if err := s.startUpstream(on); err != nil {
		s.oracle.Never(err.Error())
	}
}

// harm does harm to one machine after the other until the context ends, and
// then undoes all of it. Two faults may be in force at a time.
func (s *soak) harm(ctx context.Context) {
	type pending struct {
		name string
		on   *machine
		undo func()
		at   time.Time
	}
	var open []pending
	heal := func(all bool) {
		kept := open[:0]
		for _, one := range open {
			if !all && time.Now().Before(one.at) {
				kept = append(kept, one)
				continue
			}
			one.undo()
			s.log("healed", one.name+" "+one.on.name)
			s.disturb(one.on)
		}
		open = kept
	}
	for ctx.Err() == nil {
		pause.For(ctx, faultPause/2+time.Duration(s.random.Int64N(int64(faultPause))))
		heal(false)
		drawn, on := s.draw()
		busy := len(open) >= 2
		for _, one := range open {
			busy = busy || one.on == on
		}
		if busy || ctx.Err() != nil {
			continue
		}
		s.log("fault", drawn.name+" "+on.name)
		s.disturb(on)
		if drawn.everyone {
			s.disturbAll()
		}
		healed := func(time.Time) {}
		if !drawn.planned && !drawn.everyone {
			healed = s.oracle.Harmed(on.name, time.Now())
		}
		undo := drawn.harm(s, on)
		s.faults++
		if undo == nil {
			healed(time.Now())
		}
		if undo != nil {
			lasts := faultTime/4 + time.Duration(s.random.Int64N(int64(faultTime*3/2)))
			everyone := undo
			if drawn.everyone {
				everyone = func() { undo(); s.disturbAll() }
			}
			undone := func() { everyone(); healed(time.Now()) }
			open = append(open, pending{name: drawn.name, on: on, undo: undone, at: time.Now().Add(lasts)})
		}
		s.disturb(on)
	}
	heal(true)
}

// disturb notes that a machine is held to no time for a while. What reaches
// others through it concerns them too.
func (s *soak) disturb(on *machine) { s.oracle.Disturbed(on.name, time.Now()) }

func (s *soak) disturbAll() {
	for _, one := range s.machines {
		s.disturb(one)
	}
}

// draw draws a fault by weight, and a machine.
func (s *soak) draw() (fault, *machine) {
	total := 0
	for _, one := range faults {
		total += one.weight
	}
	point := s.random.IntN(total)
	on := s.machines[s.random.IntN(len(s.machines))]
	for _, one := range faults {
		if point < one.weight {
			return one, on
		}
		point -= one.weight
	}
	panic(fmt.Sprint("no fault at ", point)) // the weights add up
}
