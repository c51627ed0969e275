package hosted

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/result"
)

const (
	// probeTimeout bounds one probe of the back end.
	probeTimeout = time.Second
	// probePause is the time between probes of an instance that has not
	// answered.
	probePause = 300 * time.Millisecond
	// probeAhead is the time between looks whether the back end may be probed yet.
	probeAhead = 50 * time.Millisecond
	// probeLimit bounds the probes for one report.
	probeLimit = 5
	// refusalsPerSecond and refusalsBurst bound the lines on reports that were not taken.
	refusalsPerSecond = 1
	refusalsBurst     = 5
	// backendTick is how often the passing of time is looked at.
	backendTick = 250 * time.Millisecond
)

// backendSide follows the back end beside the daemon: its reports come in, the
// gate and the mesh are told.
type backendSide struct {
	settings hostedBackend
	events   eventLog
	clock    func() time.Duration
	gate     func(proxy.BackendReport)
	// cold tells the gate until when the back end is cold.
	cold func(until time.Duration)
	// probes tells the gate that the back end is asked, until what it returns is called; nil
	// for nobody.
	probes func() (ended func())
	// holds tells the gate how many calls the back end holds; nil for nobody.
	holds func(count int)
	// announce tells the mesh; it must not block.
	announce func(backend.View)
	context  context.Context
	running  sync.WaitGroup
	// refusals bounds the lines on reports that were not taken.
	refusals *logging.Rate

	mutex   sync.Mutex
	tracker *backend.Tracker
	shown   backend.View
	probing bool
	// doubtedAt is when its warmth was last doubted.
	doubtedAt time.Duration
	// toldCold is what the gate was last told of the back end's warm-up.
	toldCold toldCold
	// stopping is set once the daemon leaves: the gate, which is closing, is not
	// opened again.
	stopping bool
	// emptied is set while the zone is to be empty, and until its back end takes work again.
	emptied bool
}

// hostedBackend is what the side needs of the settings.
type hostedBackend struct {
	address string
	probe   Prober
	// healthPath is the health path as the configuration has it; empty while
	// that is not known.
	healthPath func() string
	// joined tells whether peers have told what an earlier start of this daemon
	// has acknowledged, and which zones are to be empty.
	joined func() bool
	// warmUp is how long the service calls its back ends cold after a start; 0 while that
	// is not known.
	warmUp func() time.Duration
	// evacuated tells whether the zone is to be empty.
	evacuated func() bool
	// takenBack is called with the lock held before the back end of a zone that was to be
	// empty gets calls again, for it may have become cold unseen; nil for nothing.
	takenBack func()
}

func (b *backendSide) start() {
	b.confirmWarmth()
	b.running.Add(1)
	go b.tick()
}

// Heartbeat implements Reports.
func (b *backendSide) Heartbeat(report backend.Report) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.clock()
	if b.tracker.Reported(now, report) || b.tracker.DoubtsWarmth(now) {
		b.probeSoon()
	}
	b.show()
}

// Leave implements Reports.
func (b *backendSide) Leave(start protocol.BackendStart) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tracker.Left(start, time.Now().UnixMilli())
	b.events.event("backend_left", field("instance", start.Instance), bornField(start.Born))
	b.show()
}

// Refused implements Reports. Others may send whatever they like, so the lines have a rate of
// their own.
func (b *backendSide) Refused(instance string, failure *result.Error) {
	if b.refusals.Allow(b.clock()) {
		b.events.event("report_refused", field("instance", strconv.QuoteToASCII(instance)),
			field("code", codeText(failure.Code)), field("field", failure.Field), field("error", failure.Error()))
	}
}

// unreachable is called when a call met no connection.
func (b *backendSide) unreachable(start protocol.BackendStart) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tracker.Unreachable(start)
	b.show()
}

// failed is called when the back end has failed a call, with the count of all
// calls so far that it answered well.
func (b *backendSide) failed(start protocol.BackendStart, answered uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tracker.Failed(b.clock(), start, answered) {
		b.show()
	}
}

// rememberLeaving takes a peer's memory that a start of the back end was leaving before
// this daemon started. It does not block.
func (b *backendSide) rememberLeaving(start protocol.BackendStart) {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.tracker.Remembered(start)
		b.events.event("backend_remembered", field("instance", start.Instance), bornField(start.Born), field("state", "draining"))
		b.show()
	}()
}

// stop keeps the gate from being opened again.
func (b *backendSide) stop() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.stopping = true
}

// leaving tells whether the back end itself is leaving.
func (b *backendSide) leaving() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tracker.Leaving()
}

// show puts the present view in force where it differs from the last one; the
// lock is held.
func (b *backendSide) show() {
	view := b.view()
	if b.emptied && view.State.TakesWork() {
		view = b.takeBack(view)
	}
	if view.Start.Instance == "" {
		return
	}
	b.showWarmth(view)
	view.ColdUntil = 0 // a change of it alone is no news to the mesh
	if view == b.shown {
		return
	}
	b.shown = view
	if !b.stopping || !view.State.TakesWork() {
		b.gate(proxy.BackendReport{
			Start: view.Start, Slots: view.Slots, Software: view.Software, State: view.State,
			EarlierCrashed: view.EarlierCrashed,
		})
	}
	b.announce(view)
}

// view is the state of the back end and of its zone; the lock is held. A back end that takes
// no work for a reason of its own keeps that one: it does not come back with its zone.
func (b *backendSide) view() backend.View {
	view := b.tracker.View(b.clock())
	if !b.settings.evacuated() {
		return view
	}
	b.emptied = true
	if view.State.TakesWork() {
		view.State = protocol.EndpointEvacuated
	}
	return view
}

// takeBack returns the view of a back end that takes work again after its zone was to be empty;
// the lock is held.
func (b *backendSide) takeBack(view backend.View) backend.View {
	b.emptied = false
	if b.settings.takenBack == nil {
		return view
	}
	b.settings.takenBack()
	return b.view()
}

// zoneChanged looks again whether the zone is to be empty. It does not block.
func (b *backendSide) zoneChanged() {
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		b.mutex.Lock()
		defer b.mutex.Unlock()
		b.show()
	}()
}

// tick looks at what time alone changes.
func (b *backendSide) tick() {
	defer b.running.Done()
	for pause.For(b.context, backendTick) {
		b.mutex.Lock()
		b.show()
		b.mutex.Unlock()
	}
}

// probeSoon asks the back end itself, unless that is being done; the lock is
// held.
func (b *backendSide) probeSoon() {
	if b.probing {
		return
	}
	b.probing = true
	b.running.Add(1)
	go func() {
		defer b.running.Done()
		b.probe()
	}()
}

// probe asks until the reported instance has answered, a few times at most. The
// next report of an instance that is not confirmed by then starts anew.
func (b *backendSide) probe() {
	b.probeUntilConfirmed()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.probing = false
}

func (b *backendSide) probeUntilConfirmed() {
	for asked := 0; asked < probeLimit; {
		wait := probeAhead
		if path := b.probePath(); path != "" {
			asked++
			askedAt := b.clock()
			if b.probed(askedAt, b.ask(path)) {
				return
			}
			wait = probePause
		}
		if !pause.For(b.context, wait) {
			return
		}
	}
}

// ask probes the back end once.
func (b *backendSide) ask(path string) backend.Probe {
	if b.probes != nil {
		defer b.probes()()
	}
	answer := b.settings.probe(b.settings.address, path, probeTimeout)
	if answer.TellsHeld && b.holds != nil {
		b.holds(answer.Held)
	}
	return answer
}

// probePath is where the back end is probed; empty while it may not be yet.
func (b *backendSide) probePath() string {
	if !b.settings.joined() {
		return ""
	}
	return b.settings.healthPath()
}

// probed takes an answer to what was asked at a time, and tells whether nothing is left to
// confirm.
func (b *backendSide) probed(askedAt time.Duration, answer backend.Probe) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// Asked before the back end may have become cold, it tells nothing of that.
	answer.TellsWarmUp = answer.TellsWarmUp && askedAt >= b.doubtedAt
	b.tracker.Probed(b.clock(), answer)
	b.show()
	return !b.tracker.Unconfirmed() && !b.tracker.AwaitsWarmth(b.clock())
}
