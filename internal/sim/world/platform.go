package world

import (
	"time"

	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/sim/network"
)

// platformPlace is where the platform's service stands.
var platformPlace = network.Place{Region: "platform", Zone: "platform", Node: -1}

// watchIdle is how long a shell waits for a watch that has fallen silent.
const watchIdle = 5 * time.Second

// platformActor runs the stand-in's store and faults on virtual time.
type platformActor struct {
	world    *World
	store    *standin.Store
	faults   standin.Faults
	watches  []*watch
	machines []object.Machine
}

// watch is one open watch of a process.
type watch struct {
	process *process
	token   node.Token
	prefix  string
	// from is the version up to which events were delivered.
	from object.Version
	// busyUntil keeps deliveries of one stream in order.
	busyUntil time.Duration
	closed    bool
}

func newPlatformActor(w *World) *platformActor {
	return &platformActor{world: w, store: standin.NewStore(standin.DefaultLimits())}
}

// register puts a daemon on the machine list.
func (a *platformActor) register(s *slot) {
	a.machines = append(a.machines, object.Machine{
		ID: string(s.id), Address: s.address, Region: s.place.Region, Zone: s.place.Zone,
	})
	a.store.SetMachines(a.world.Now(), a.machines)
}

// update changes a daemon's entry; a wrong list keeps the old address.
func (a *platformActor) update(s *slot, wrong bool) {
	for index := range a.machines {
		entry := &a.machines[index]
		if entry.ID != string(s.id) {
			continue
		}
		entry.Leaving = s.leaving != wrong
		if !wrong {
			entry.Address = s.address
		}
	}
	a.store.SetMachines(a.world.Now(), a.machines)
}

// setFaults replaces the faults that are switched on.
func (a *platformActor) setFaults(faults standin.Faults) {
	a.faults = faults
	a.deliverAll()
}

// call carries out one call of a process.
func (a *platformActor) call(p *process, asked node.CallPlatform) {
	w := a.world
	p.calls[asked.Token] = true
	w.timeline.After(p.slot.clock.virtual(asked.Timeout), func() {
		a.reply(p, asked.Token, object.Reply{Code: result.PlatformUnknown})
	})
	decision := a.faults.Decide(w.timeline.Random(), asked.Call)
	w.network.SendOnce(p.slot.place, platformPlace, func() {
		w.timeline.After(decision.Before, func() { a.apply(p, asked, decision) })
	})
}

// apply has the call's effect, if it has one, and sends the answer.
func (a *platformActor) apply(p *process, asked node.CallPlatform, decision standin.Decision) {
	w := a.world
	if decision.LoseRequest {
		return
	}
	reply := object.Reply{Code: result.PlatformUnavailable}
	if !decision.Refuse {
		before := a.store.Version()
		reply = a.store.Apply(w.Now(), string(p.slot.id), asked.Call, decision.Lag)
		if a.store.Version() != before {
			a.deliverAll()
		}
	}
	if decision.LoseAnswer {
		return
	}
	w.timeline.After(decision.After, func() {
		w.network.SendOnce(platformPlace, p.slot.place, func() { a.reply(p, asked.Token, reply) })
	})
}

func (a *platformActor) reply(p *process, token node.Token, reply object.Reply) {
	if !p.calls[token] {
		return
	}
	delete(p.calls, token)
	a.world.step(p, node.PlatformReply{Token: token, Reply: reply})
}

// startWatch opens a watch for a process.
func (a *platformActor) startWatch(p *process, asked node.StartWatch) {
	opened := &watch{process: p, token: asked.Token, prefix: asked.Prefix, from: asked.From}
	sent := a.world.network.SendOnce(p.slot.place, platformPlace, func() {
		if !p.alive() {
			return
		}
		if a.faults.Outage == standin.OutageRefusing {
			a.end(opened, result.PlatformUnavailable)
			return
		}
		if !a.store.OpenWatch(a.world.Now(), string(p.slot.id)) {
			a.end(opened, result.PlatformTooManyReaders)
			return
		}
		a.watches = append(a.watches, opened)
		a.deliver(opened)
	})
	if !sent {
		a.world.timeline.After(watchIdle, func() { a.end(opened, result.PlatformUnavailable) })
	}
}

// stopWatch closes all watches of a process, which opens one at a time.
func (a *platformActor) stopWatch(p *process) {
	for _, open := range a.watches {
		if open.process == p {
			a.close(open)
		}
	}
}

func (a *platformActor) close(open *watch) {
	if open.closed {
		return
	}
	open.closed = true
	for index, known := range a.watches {
		if known == open {
			a.watches = append(a.watches[:index:index], a.watches[index+1:]...)
			a.store.CloseWatch(a.world.Now(), string(open.process.slot.id))
			return
		}
	}
}

// end breaks a watch and tells its process.
func (a *platformActor) end(open *watch, code result.Code) {
	if open.closed {
		return
	}
	a.close(open)
	a.world.timeline.After(a.streamDelay(open), func() {
		a.world.step(open.process, node.WatchEnded{Watch: open.token, Code: code})
	})
}

// deliverAll lets every watch look for events.
func (a *platformActor) deliverAll() {
	for _, open := range append([]*watch(nil), a.watches...) {
		a.deliver(open)
	}
}

// deliver sends what is new to one watch, with the faults of the platform.
func (a *platformActor) deliver(open *watch) {
	w := a.world
	if open.closed || a.faults.Outage == standin.OutageSilent {
		return
	}
	if a.faults.Outage == standin.OutageRefusing {
		a.end(open, result.PlatformUnavailable)
		return
	}
	fresh, through, code := a.store.Events(open.prefix, open.from)
	if code != result.OK {
		a.end(open, code)
		return
	}
	if len(fresh) == 0 {
		open.from = through
		return
	}
	if w.network.Blocked(platformPlace, open.process.slot.place) || a.faults.Breaks(w.timeline.Random()) {
		a.end(open, result.PlatformUnavailable)
		return
	}
	older := a.store.Recent(open.prefix, open.from, standin.ReplayDepth)
	open.from = through
	events := a.faults.Deliver(w.timeline.Random(), fresh, older)
	w.timeline.After(a.streamDelay(open), func() { a.hand(open, events) })
}

// hand gives events to the process that watches.
func (a *platformActor) hand(open *watch, events []object.Event) {
	for _, event := range events {
		if open.closed {
			return
		}
		a.world.step(open.process, node.PlatformEvent{Watch: open.token, Event: event})
	}
}

// streamDelay draws the delay of the next message of a watch; a stream keeps
// its order.
func (a *platformActor) streamDelay(open *watch) time.Duration {
	w := a.world
	delay := network.Latency(platformPlace, open.process.slot.place) + w.timeline.Between(0, a.faults.Jitter)
	arrival := max(w.Now()+delay, open.busyUntil)
	open.busyUntil = arrival
	return arrival - w.Now()
}

// compact forgets all events so far.
func (a *platformActor) compact() {
	a.store.Compact(a.store.Version())
	a.deliverAll()
}
