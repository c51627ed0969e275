package world

import (
	"time"

	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/sim/network"
	"github.com/springstack/springstack/internal/sim/oracle"
)

// slot is a place for one daemon. The daemon's identity stays; its process,
// and all that the process remembers, comes and goes.
type slot struct {
	id      protocol.NodeID
	place   network.Place
	address string
	// move counts the machines that the daemon has run on.
	move    int
	clock   *clock
	process *process
	// leaving is set once the machine is on its way out.
	leaving bool
}

// process is one life of a daemon: its node and what its shell remembers.
type process struct {
	slot   *slot
	node   *node.Node
	paused bool
	// backlog holds what arrived during a pause.
	backlog []node.Message
	// swapOnWake is a swap that the pause held up.
	swapOnWake *snapshot.Snapshot
	// calls are outstanding calls to peers and to the platform.
	calls map[node.Token]bool
	// requests are peers' and operators' requests that are not yet answered.
	requests     map[node.Token]func(body any)
	nextToken    node.Token
	inForce      *snapshot.Snapshot
	servingUntil time.Duration
	members      []protocol.Member
}

// requestTokens begins the tokens that the shell gives to requests, apart from
// those that the node gives to its calls.
const requestTokens node.Token = 1 << 32

// running reports whether the process is still the slot's and not paused.
func (p *process) running() bool { return p.slot.process == p && !p.paused }

// alive reports whether the process is still the slot's.
func (p *process) alive() bool { return p.slot.process == p }

// start begins a new life of a slot's daemon, with nothing remembered.
func (w *World) start(s *slot) {
	p := &process{
		slot:      s,
		calls:     map[node.Token]bool{},
		requests:  map[node.Token]func(any){},
		nextToken: requestTokens,
	}
	s.process = p
	p.node = node.New(w.config(s))
	w.tickLater(p, w.timeline.Between(0, w.shape.TickEvery))
}

func (w *World) config(s *slot) node.Config {
	return node.Config{
		ID:             s.id,
		Incarnation:    protocol.Incarnation(s.clock.wall(w.Now()).UnixNano()),
		ControlAddress: s.address,
		DataAddress:    s.address,
		Region:         s.place.Region,
		Zone:           s.place.Zone,
		Scope:          s.scope(),
		Seeds:          w.seeds(),
		RandomSeed:     w.timeline.Random().Uint64(),
		Timing:         w.shape.Timing,
	}
}

// scope gives each second daemon of a zone the whole configuration and the
// others that of one partner.
func (s *slot) scope() protocol.Scope {
	switch s.place.Node % 4 {
	case 1:
		return protocol.Scope{Partners: []resource.Partner{partners[0]}}
	case 3:
		return protocol.Scope{Partners: []resource.Partner{partners[1]}}
	default:
		return protocol.Scope{Partners: partners}
	}
}

func (s *slot) scopeName() string {
	return [...]string{"whole", string(partners[0]), "whole", string(partners[1])}[s.place.Node%4]
}

func (s *slot) name() oracle.ProxyName { return oracle.ProxyName(s.id) }

// kill ends a daemon's process at once.
func (w *World) kill(s *slot) {
	if s.process == nil {
		return
	}
	w.platform.stopWatch(s.process)
	s.process = nil
	w.oracle.Stopped(s.name())
}

// pause stops a process without its noticing.
func (w *World) pause(s *slot) {
	if s.process != nil {
		s.process.paused = true
		w.observeServing(s)
	}
}

// wake lets a paused process go on; it first sees what arrived meanwhile.
func (w *World) wake(s *slot) {
	p := s.process
	if p == nil || !p.paused {
		return
	}
	p.paused = false
	w.observeServing(s)
	if held := p.swapOnWake; held != nil {
		p.swapOnWake = nil
		w.putInForce(p, held)
	}
	backlog := p.backlog
	p.backlog = nil
	for _, message := range backlog {
		w.step(p, message)
	}
	w.tickLater(p, 0)
}

func (w *World) tickLater(p *process, delay time.Duration) {
	w.timeline.After(delay, func() {
		if !p.running() {
			return
		}
		w.outcome.Ticks++
		w.carryOut(p, p.node.Step(p.now(w), node.Tick{WallClock: p.slot.clock.wall(w.Now())}))
		next := w.shape.TickEvery
		w.tickLater(p, p.slot.clock.virtual(next)+w.timeline.Between(0, next/8))
	})
}

func (p *process) now(w *World) time.Duration { return p.slot.clock.monotonic(w.Now()) }

// step gives a message to a process, now or when it wakes.
func (w *World) step(p *process, message node.Message) {
	if !p.alive() {
		return
	}
	if p.paused {
		p.backlog = append(p.backlog, message)
		return
	}
	w.outcome.Steps++
	w.carryOut(p, p.node.Step(p.now(w), message))
}

// serving reports whether callers get answers from what is in force.
func (w *World) serving(s *slot) bool {
	p := s.process
	return p != nil && !p.paused && p.inForce != nil && p.now(w) < p.servingUntil
}

func (w *World) observeServing(s *slot) {
	w.oracle.Serving(w.Now(), s.name(), w.serving(s))
}

// observeAllServing brings the oracle up to date before a claim is judged.
func (w *World) observeAllServing() {
	for _, s := range w.slots {
		w.observeServing(s)
	}
}
