package world

import (
	"time"

	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/sim/network"
	"github.com/springstack/springstack/internal/sim/script"
)

// anyPlace matches all places in a cut.
var anyPlace = network.Place{Node: -1}

// Sizes of faults.
const (
	lossLimit      = 0.15
	duplicateLimit = 0.2
	delayLimit     = 800 * time.Millisecond
	slownessLimit  = 4 * time.Second
	lagLimit       = 20 * time.Second
	wallJumpLimit  = 2 * time.Hour
	vanishLimit    = 1500 * time.Millisecond
	silenceLimit   = 30 * time.Second
	// rateSpread is how far a clock's rate may be off. Two machines may be off
	// in opposite directions.
	rateSpread = 0.04
)

// Perform carries out one action and lets its time pass.
func (w *World) Perform(action script.Action) {
	if Table.IsFault(action.Kind) {
		w.outcome.Faults[string(action.Kind)]++
	}
	if perform, found := performers[action.Kind]; found {
		perform(w, action)
	}
	w.Run(action.Wait)
}

// performers maps each kind to what it does; Wait does nothing.
var performers = map[script.Kind]func(w *World, a script.Action){
	Submit: func(w *World, a script.Action) {
		w.operators.submit(partners[a.A%2], fileNames[a.B%len(fileNames)], a.A&2 == 0)
	},
	Withdraw: func(w *World, a script.Action) {
		w.operators.withdraw(partners[a.A%2], fileNames[a.B%len(fileNames)], a.A&2 == 0)
	},
	Status:        func(w *World, _ script.Action) { w.operators.status() },
	KillDaemon:    func(w *World, a script.Action) { w.kill(w.pick(a.A)) },
	KillZone:      killZone,
	KillHerd:      killHerd,
	ReturnAll:     func(w *World, _ script.Action) { w.returnAll() },
	RestartDaemon: func(w *World, a script.Action) { w.restart(w.pick(a.A)) },
	MoveDaemon:    moveDaemon,
	PauseDaemon:   func(w *World, a script.Action) { w.pause(w.pick(a.A)) },
	PauseReaders:  pauseReaders,
	WakeAll:       func(w *World, _ script.Action) { w.wakeAll() },
	CutRegions: func(w *World, a script.Action) {
		w.cutBothWays(w.regionPlace(a.A), w.regionPlace(a.A+1))
	},
	CutOneWay: func(w *World, a script.Action) {
		w.network.Cut(w.pick(a.A).place, w.pick(a.B).place)
		w.network.Cut(w.zonePlace(a.A), w.zonePlace(a.B))
	},
	CutZone:     func(w *World, a script.Action) { w.cutBothWays(w.zonePlace(a.A), anyPlace) },
	CutDaemon:   cutDaemon,
	Partition:   partition,
	CrossOver:   crossOver,
	CutPlatform: func(w *World, a script.Action) { w.cutBothWays(w.regionPlace(a.A), platformPlace) },
	Heal: func(w *World, _ script.Action) {
		w.network.Heal()
		w.network.SetFaults(network.Faults{})
	},
	NetworkFaults:    networkFaults,
	PlatformOutage:   func(w *World, _ script.Action) { w.changePlatform(standin.Faults{Outage: standin.OutageRefusing}) },
	PlatformSilence:  func(w *World, _ script.Action) { w.changePlatform(standin.Faults{Outage: standin.OutageSilent}) },
	PlatformSlow:     platformSlow,
	PlatformLoses:    platformLoses,
	PlatformVanishes: platformVanishes,
	PlatformLags:     platformLags,
	PlatformCrosses:  platformCrosses,
	PlatformCompacts: func(w *World, _ script.Action) { w.platform.compact() },
	LeasesLapse: func(w *World, a script.Action) {
		w.changePlatform(standin.Faults{LeaseLapse: script.Fraction(a.A)})
	},
	PlatformHeals: func(w *World, _ script.Action) { w.platform.setFaults(standin.Faults{}) },
	ClockRate: func(w *World, a script.Action) {
		w.pick(a.A).clock.setRate(w.Now(), 1+rateSpread*(2*script.Fraction(a.B)-1))
	},
	WallJump: func(w *World, a script.Action) {
		w.pick(a.A).clock.wallSkew = time.Duration((2*script.Fraction(a.B) - 1) * float64(wallJumpLimit))
	},
	MachinesWrong: func(w *World, a script.Action) { w.platform.update(w.pick(a.A), true) },
	LeaveDaemon:   leaveDaemon,
}

func (w *World) pick(operand int) *slot { return w.slots[operand%len(w.slots)] }

func (w *World) zonePlace(operand int) network.Place {
	place := w.pick(operand).place
	place.Node = -1
	return place
}

func (w *World) regionPlace(operand int) network.Place {
	region := w.shape.Regions[operand%len(w.shape.Regions)]
	return network.Place{Region: region.Name, Node: -1}
}

func (w *World) cutBothWays(one, other network.Place) {
	w.network.Cut(one, other)
	w.network.Cut(other, one)
}

func killZone(w *World, a script.Action) {
	zone := w.zonePlace(a.A)
	for _, s := range w.slots {
		if s.place.Zone == zone.Zone {
			w.kill(s)
		}
	}
}

// killHerd kills each daemon with a drawn chance; all of them in one of four.
func killHerd(w *World, a script.Action) {
	chance := script.Fraction(a.A)
	if a.B%4 == 0 {
		chance = 1
	}
	for _, s := range w.slots {
		if w.timeline.Chance(chance) {
			w.kill(s)
		}
	}
}

func (w *World) returnAll() {
	for _, s := range w.slots {
		if s.process == nil {
			w.start(s)
		}
	}
}

func (w *World) restart(s *slot) {
	w.kill(s)
	w.start(s)
}

// moveDaemon brings a daemon back at another address.
func moveDaemon(w *World, a script.Action) {
	s := w.pick(a.A)
	w.kill(s)
	w.moveTo(s, s.move+1)
	s.leaving = false
	w.platform.update(s, a.B%3 == 0)
	w.start(s)
}

// pauseReaders pauses all daemons that watch the platform, so that their
// leases lapse while they are paused.
func pauseReaders(w *World, a script.Action) {
	for index, open := range append([]*watch(nil), w.platform.watches...) {
		if a.A>>index&1 == 0 {
			w.pause(open.process.slot)
		}
	}
}

func (w *World) wakeAll() {
	for _, s := range w.slots {
		w.wake(s)
	}
}

// cutDaemon cuts a daemon off: both ways, or only in or out.
func cutDaemon(w *World, a script.Action) {
	place := w.pick(a.A).place
	if a.B%3 != 1 {
		w.network.Cut(place, anyPlace)
	}
	if a.B%3 != 2 {
		w.network.Cut(anyPlace, place)
	}
}

func networkFaults(w *World, a script.Action) {
	w.network.SetFaults(network.Faults{
		Loss:       lossLimit * script.Fraction(a.A),
		Duplicate:  duplicateLimit * script.Fraction(a.B),
		ExtraDelay: script.Scaled(a.A^a.B, delayLimit),
	})
}

// changePlatform replaces the platform's faults.
func (w *World) changePlatform(faults standin.Faults) { w.platform.setFaults(faults) }

func platformSlow(w *World, a script.Action) {
	faults := w.platform.faults
	faults.Slowness = script.Scaled(a.A, slownessLimit)
	faults.Jitter = script.Scaled(a.B, slownessLimit)
	w.changePlatform(faults)
}

func platformLoses(w *World, a script.Action) {
	faults := w.platform.faults
	faults.LostAnswer = script.Fraction(a.A)
	faults.LostRequest = script.Fraction(a.B) / 2
	w.changePlatform(faults)
}

// platformVanishes takes changes in, loses the answers and then falls silent
// for longer than readers and operators wait.
func platformVanishes(w *World, a script.Action) {
	w.changePlatform(standin.Faults{LostAnswer: 1})
	for file := range 2 {
		w.operators.submit(partners[a.A%2], fileNames[(a.B+file)%len(fileNames)], false)
	}
	w.Run(script.Scaled(a.A, vanishLimit))
	w.changePlatform(standin.Faults{Outage: standin.OutageSilent})
	w.operate(script.Scaled(a.B, silenceLimit))
	w.changePlatform(standin.Faults{})
}

func platformLags(w *World, a script.Action) {
	faults := w.platform.faults
	faults.ListLag = script.Scaled(a.A, lagLimit)
	faults.MachineLag = script.Scaled(a.B, lagLimit)
	w.changePlatform(faults)
}

func platformCrosses(w *World, a script.Action) {
	faults := w.platform.faults
	faults.CrossedEvent = script.Fraction(a.A)
	faults.DuplicateEvent = script.Fraction(a.B)
	faults.ReplayedEvent = script.Fraction(a.A ^ a.B)
	faults.BrokenWatch = script.Fraction(a.B) / 4
	w.changePlatform(faults)
}

// leaveDaemon drains a daemon; its process ends a few seconds later.
func leaveDaemon(w *World, a script.Action) {
	s := w.pick(a.A)
	p := s.process
	if p == nil {
		return
	}
	s.leaving = true
	w.platform.update(s, a.B%4 == 0)
	w.step(p, node.Leave{})
	const drain = 3 * time.Second
	w.timeline.After(drain, func() {
		if p.alive() {
			s.leaving = false
			w.restart(s)
			w.platform.update(s, false)
		}
	})
}
