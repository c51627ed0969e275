package soak

import (
	"context"
	"math/rand/v2"
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
	harm func(s *soak, on *machine, random *rand.Rand) func()
	// weight is how often it is drawn.
	weight int
	// planned says that it is planned work, which breaks no request off.
	planned bool
	// everyone says that it concerns all machines, as when the store is down.
	everyone bool
	// beside says that it may come while another fault is in force on the machine.
	beside bool
	// stops says that the machine's daemon is down for a while as planned.
	stops bool
	// apart says that it leaves daemons and their links alone, quiet that it disturbs no
	// machine at all.
	apart bool
	quiet bool
	// alone says that it comes when no other fault is in force, and none beside it.
	alone bool
	// rolls says that daemons are restarted one after another; once at a time.
	rolls bool
}

const (
	// mostRolling is how many daemons one rolling restart concerns at most.
	mostRolling = 6
	// rollingWait bounds the wait for a restarted daemon to serve, after which the
	// rolling restart goes on to the next one all the same.
	rollingWait = 5 * time.Second
	// idleWait bounds the wait for an upstream to end what it runs, idlePoll is how
	// often it is asked.
	idleWait = 2 * longestWork
	idlePoll = 5 * time.Millisecond
)

// mostStrange is how many strange reports come at a time at most.
const mostStrange = 12

// toldWait lets a daemon tell its peers of a drain before it is killed.
const toldWait = 200 * time.Millisecond

// faults are the kinds of harm.
var faults = []fault{
	{name: "kill", weight: 3, harm: func(s *soak, on *machine, _ *rand.Rand) func() {
		on.end(syscall.SIGKILL)
		return func() { s.restart(on) }
	}},
	{name: "stop", weight: 8, planned: true, stops: true, harm: func(s *soak, on *machine, _ *rand.Rand) func() {
		s.stop(on)
		return func() {
			s.awaitStopped(on)
			s.restart(on)
		}
	}},
	{name: "pause", weight: 2, harm: func(_ *soak, on *machine, _ *rand.Rand) func() {
		on.signal(syscall.SIGSTOP)
		return func() { on.signal(syscall.SIGCONT) }
	}},
	{name: "machine_replaced", weight: 4, planned: true, stops: true, harm: func(s *soak, on *machine, _ *rand.Rand) func() {
		upstream := on.currentUpstream()
		s.drain(on, (*standin.Upstream).Drain)
		s.stop(on)
		return func() {
			s.awaitStopped(on)
			awaitIdle(upstream)
			s.replaceUpstream(on)
			s.restart(on)
		}
	}},
	{name: "rolling_restart", weight: 4, planned: true, beside: true, stops: true, rolls: true, harm: func(s *soak, on *machine, random *rand.Rand) func() {
		s.restartRolling(on, 2+random.IntN(mostRolling-1))
		return nil
	}},
	{name: "reload", weight: 3, planned: true, beside: true, apart: true, harm: func(_ *soak, on *machine, _ *rand.Rand) func() {
		if on.settle() {
			on.signal(syscall.SIGHUP)
		}
		return nil
	}},
	{name: "store_silent", weight: 2, harm: func(_ *soak, on *machine, _ *rand.Rand) func() { return silence(on.store) }},
	{name: "store_one_way", weight: 1, harm: func(_ *soak, on *machine, _ *rand.Rand) func() { return cut(on.store, link.Backward) }},
	{name: "store_reset", weight: 1, harm: func(_ *soak, on *machine, _ *rand.Rand) func() {
		on.store.Reset()
		return nil
	}},
	{name: "gate_silent", weight: 2, harm: func(_ *soak, on *machine, _ *rand.Rand) func() { return silence(on.gate) }},
	{name: "gate_one_way", weight: 2, harm: func(_ *soak, on *machine, _ *rand.Rand) func() { return cut(on.gate, link.Backward) }},
	{name: "gate_reset", weight: 2, harm: func(_ *soak, on *machine, _ *rand.Rand) func() {
		on.gate.Reset()
		return nil
	}},
	{name: "gate_break", weight: 2, harm: func(_ *soak, on *machine, random *rand.Rand) func() {
		on.gate.ResetAfter(link.Backward, int64(random.IntN(5000)))
		return func() { on.gate.CancelReset(link.Backward) }
	}},
	{name: "gate_connections_die", weight: 2, harm: func(_ *soak, on *machine, _ *rand.Rand) func() {
		on.gate.Silence()
		return nil
	}},
	{name: "control_connections_die", weight: 2, harm: func(_ *soak, on *machine, _ *rand.Rand) func() {
		on.control.Silence()
		return nil
	}},
	{name: "store_connections_die", weight: 2, harm: func(_ *soak, on *machine, _ *rand.Rand) func() {
		on.store.Silence()
		return nil
	}},
	{name: "control_silent", weight: 2, harm: func(_ *soak, on *machine, _ *rand.Rand) func() { return silence(on.control) }},
	{name: "control_reset", weight: 1, harm: func(_ *soak, on *machine, _ *rand.Rand) func() {
		on.control.Reset()
		return nil
	}},
	{name: "cut_off", weight: 2, harm: func(_ *soak, on *machine, _ *rand.Rand) func() {
		heal := []func(){silence(on.store), silence(on.gate), silence(on.control)}
		return func() {
			for _, one := range heal {
				one()
			}
		}
	}},
	{name: "all_connections_die", weight: 3, everyone: true, harm: silenceAll(true)},
	{name: "all_store_connections_die", weight: 3, everyone: true, harm: silenceAll(false)},
	{name: "store_restored", weight: 4, everyone: true, harm: (*soak).restoreStore},
	{name: "store_busy", weight: 1, everyone: true, harm: storeFault(standin.Faults{Busy: true})},
	{name: "store_throttled", weight: 1, everyone: true, harm: storeFault(standin.Faults{Throttled: true})},
	{name: "store_down", weight: 1, everyone: true, harm: storeFault(standin.Faults{Silent: true})},
	{name: "store_slow", weight: 1, everyone: true, harm: storeFault(standin.Faults{Delay: 400 * time.Millisecond})},
	{name: "store_loses_answers", weight: 1, everyone: true, harm: storeFault(standin.Faults{LostWrites: 0.7})},
	// Those that it refuses have their peers: they stay in touch.
	{name: "store_refuses_some", weight: 4, everyone: true, beside: true, quiet: true, harm: refuseSome},
	{name: "store_deaf_watches", weight: 2, everyone: true, beside: true, quiet: true, harm: storeFault(standin.Faults{DeafWatches: true})},
	{name: "store_replica_lags", weight: 2, everyone: true, harm: func(s *soak, on *machine, random *rand.Rand) func() {
		return storeFault(standin.Faults{Stale: s.store.Copy()})(s, on, random)
	}},
	{name: "store_forgets", weight: 1, everyone: true, harm: func(s *soak, _ *machine, _ *rand.Rand) func() {
		s.store.Forget()
		return nil
	}},
	{name: "upstream_crash", weight: 2, apart: true, harm: func(s *soak, on *machine, random *rand.Rand) func() {
		s.crash(on)
		return func() {
			earlier := on.currentUpstream()
			s.startAgain(on)
			s.sendLate(on, earlier, random)
			s.awaitWork(on, workBound)
		}
	}},
	{name: "upstream_replaced", weight: 3, apart: true, harm: func(s *soak, on *machine, _ *rand.Rand) func() {
		s.drain(on, (*standin.Upstream).Drain)
		return func() {
			on.currentUpstream().Leave()
			s.replaceUpstream(on)
		}
	}},
	{name: "upstream_leaves", weight: 2, apart: true, harm: func(s *soak, on *machine, _ *rand.Rand) func() {
		s.drain(on, (*standin.Upstream).Leave)
		return func() { s.replaceUpstream(on) }
	}},
	{name: "drain_then_kill", weight: 2, harm: func(s *soak, on *machine, _ *rand.Rand) func() {
		s.drain(on, (*standin.Upstream).Drain)
		on.end(syscall.SIGKILL)
		s.restart(on)
		return func() { s.replaceUpstream(on) }
	}},
	{name: "drain_denied_then_kill", weight: 2, harm: func(s *soak, on *machine, _ *rand.Rand) func() {
		s.drain(on, (*standin.Upstream).Leave)
		on.currentUpstream().DenyLeaving()
		time.Sleep(toldWait)
		on.end(syscall.SIGKILL)
		s.restart(on)
		return func() { s.replaceUpstream(on) }
	}},
	{name: "upstream_looks_ill", weight: 1, harm: func(s *soak, on *machine, _ *rand.Rand) func() {
		upstream := on.currentUpstream()
		upstream.SetIll(true)
		on.end(syscall.SIGKILL)
		s.restart(on)
		return func() { upstream.SetIll(false) }
	}},
	{name: "upstream_fails", weight: 2, apart: true, harm: func(_ *soak, on *machine, _ *rand.Rand) func() {
		upstream := on.currentUpstream()
		upstream.SetFailing(true)
		return func() { upstream.SetFailing(false) }
	}},
	{name: "upstream_crashes_and_returns", weight: 4, apart: true, harm: func(s *soak, on *machine, random *rand.Rand) func() {
		s.crash(on)
		return func() {
			s.startUnderName(on, random)
			s.awaitWork(on, workBound)
		}
	}},
	{name: "upstream_restarts", weight: 4, planned: true, apart: true, harm: func(s *soak, on *machine, random *rand.Rand) func() {
		upstream := on.currentUpstream()
		s.drain(on, (*standin.Upstream).Drain)
		return func() {
			awaitIdle(upstream)
			s.crash(on)
			s.startUnderName(on, random)
			s.awaitWork(on, workBound)
		}
	}},
	{name: "upstream_and_daemon_restart", weight: 3, harm: func(s *soak, on *machine, random *rand.Rand) func() {
		if random.IntN(2) == 0 {
			s.drain(on, (*standin.Upstream).Leave)
		}
		s.crash(on)
		on.end(syscall.SIGKILL)
		return func() {
			s.restart(on)
			s.startUnderName(on, random)
		}
	}},
	{name: "upstream_turns_cold", weight: 6, planned: true, beside: true, quiet: true, harm: func(_ *soak, on *machine, _ *rand.Rand) func() {
		on.currentUpstream().TurnCold(coldTime)
		return nil
	}},
	{name: "upstream_states_limit", weight: 5, planned: true, beside: true, quiet: true, harm: stateLimit},
	{name: "upstream_leaves_in_answers", weight: 3, apart: true, harm: leaveInAnswers},
	{name: "clock_ahead", weight: 1, apart: true, harm: func(s *soak, on *machine, _ *rand.Rand) func() {
		upstream := on.currentUpstream()
		upstream.SendAhead(absurdAhead)
		return func() { s.awaitWork(on, clockBound) }
	}},
	{name: "strange_reports", weight: 3, planned: true, beside: true, quiet: true, harm: func(s *soak, on *machine, random *rand.Rand) func() {
		for range 1 + random.IntN(mostStrange) {
			s.judgeStrange(on.currentUpstream().SendStrange(random), "under the name of the back end of "+on.name)
		}
		return nil
	}},
	{name: "strange_entries", weight: 3, beside: true, quiet: true, harm: func(s *soak, _ *machine, random *rand.Rand) func() {
		return s.store.WriteStrange(random)
	}},
	{name: "evacuation", weight: 8, planned: true, beside: true, quiet: true, harm: (*soak).evacuateZone},
	{name: "power_loss", weight: 2, everyone: true, beside: true, alone: true, apart: true, harm: func(s *soak, on *machine, random *rand.Rand) func() {
		s.losePower(on, random)
		return nil
	}},
	{name: "configuration", weight: 8, planned: true, beside: true, apart: true, harm: func(s *soak, _ *machine, random *rand.Rand) func() {
		for range 1 + random.IntN(6) {
			s.operate(random)
		}
		return nil
	}},
}

// storeFault is a fault of the store for all daemons.
func storeFault(faults standin.Faults) func(*soak, *machine, *rand.Rand) func() {
	return func(s *soak, _ *machine, _ *rand.Rand) func() {
		s.setStoreFaults(faults)
		return func() { s.setStoreFaults(standin.Faults{}) }
	}
}

// refusals are the ways in which the store turns a machine away.
var refusals = []standin.Faults{{Busy: true}, {Throttled: true}, {Reset: true}, {Silent: true}}

// refuseSome has the store turn up to half of the machines away, each in a way of its own.
func refuseSome(s *soak, _ *machine, random *rand.Rand) func() {
	refused := random.Perm(len(s.servers))[:1+random.IntN((len(s.servers)+1)/2)]
	for _, index := range refused {
		s.servers[index].SetFaults(refusals[random.IntN(len(refusals))])
	}
	return func() {
		for _, index := range refused {
			s.servers[index].SetFaults(standin.Faults{})
		}
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
	upstream := on.currentUpstream()
	if call(upstream) {
		s.oracle.Drained(upstream.Instance, upstream.Born, time.Now())
	}
}

// stop sends a daemon SIGTERM.
func (s *soak) stop(on *machine) {
	s.oracle.Stopped(on.name, time.Now())
	on.signal(syscall.SIGTERM)
}

// awaitStopped waits until a daemon that was told to stop has ended.
func (s *soak) awaitStopped(on *machine) {
	if !on.awaitEnd() {
		s.oracle.Never(on.name + " did not end after SIGTERM")
	}
}

// awaitIdle waits until an upstream runs nothing, within idleWait.
func awaitIdle(upstream *standin.Upstream) {
	bounded, cancel := context.WithTimeout(context.Background(), idleWait)
	defer cancel()
	for upstream.Running() > 0 && pause.For(bounded, idlePoll) {
	}
}

// crash ends an upstream, whose address is free then.
func (s *soak) crash(on *machine) {
	forking.Lock()
	defer forking.Unlock()
	on.currentUpstream().Crash()
}
