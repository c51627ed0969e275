package admission

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
	"github.com/springstack/springstack/internal/core/warmup"
	"github.com/springstack/springstack/internal/result"
)

// The word of a gate packs what must change together: the draining, closed and
// evacuated bits, that of an isolated call, the calls queued and the calls running.
const (
	runningBits = 24
	runningMask = 1<<runningBits - 1
	queuedUnit  = 1 << runningBits
	queuedMask  = runningMask << runningBits

	drainingBit  = 1 << 63
	closedBit    = 1 << 62
	evacuatedBit = 1 << 61
	isolatedBit  = 1 << 60
	refusingAny  = drainingBit | closedBit | evacuatedBit
)

// waitShare is the most of a call's remaining time that it may be expected to
// wait. A call that starts with hardly any time left is likely to be cut off
// while it runs, and its outcome to be unknown.
const waitShare = 0.6

// fullRetryAfter is the wait told to a call that meets a full memory of keys.
const fullRetryAfter = 5 * time.Second

// Gate admits calls to one back end.
type Gate struct {
	config Config
	// word holds the bits above, queued and running. Running never exceeds the slots
	// by a start: a start adds one by compare-and-swap only below the slots, or
	// inherits the slot of a call that ends. Queued changes under mutex only.
	word atomic.Uint64
	// hung are the running calls that were found to hang.
	hung atomic.Int64
	// runningWork is how long the running calls were expected to run, in nanoseconds.
	runningWork atomic.Int64
	// slots may be changed while calls run.
	slots atomic.Int64
	// leftBehind and probes take slots of the back end beside the calls of the gate; see
	// occupied.go.
	leftBehind leftBehind
	probes     atomic.Int64
	// mean is the mean service time of all calls, classes those of each class that
	// has come.
	mean    movingMean
	classes callclass.Table[classService]
	// requests are the attempts that came, keys the operations started.
	requests *FingerprintSet
	keys     *FingerprintSet
	// warmth bounds the starts while the back end is cold.
	warmth *warmup.Limiter

	mutex    sync.Mutex
	queue    queue
	isolated isolation
}

// New returns a gate that takes calls.
func New(now time.Duration, config Config) *Gate {
	requestWindow := cmp.Or(config.RequestWindow, config.KeyWindow)
	requestCount := cmp.Or(config.RequestCount, config.KeyCount)
	gate := &Gate{
		config:   config,
		requests: NewFingerprintSet(now, requestWindow, requestCount),
		keys:     NewFingerprintSet(now, config.KeyWindow, config.KeyCount),
		warmth:   warmup.New(now),
		queue:    queue{weights: config.Weights},
	}
	gate.slots.Store(int64(max(config.Slots, 1)))
	return gate
}

// Load is what runs and waits at a gate.
type Load struct {
	// Running are the slots taken, also by what runs there beside the gate's own calls. An
	// isolated call takes all of them.
	Running int
	Queued  int
	Slots   int
}

// Load returns the present load.
func (g *Gate) Load() Load {
	word := g.word.Load()
	return Load{
		Running: g.taken(word),
		Queued:  int(word & queuedMask >> runningBits),
		Slots:   int(g.slots.Load()),
	}
}

// taken is how many slots are taken: all of them by an isolated call.
func (g *Gate) taken(word uint64) int {
	running := int(word&runningMask) + int(g.occupied())
	if word&isolatedBit != 0 {
		return max(running, int(g.slots.Load()))
	}
	return running
}

// Free tells whether a call that comes now would get a slot at once.
func (g *Gate) HasFreeSlot() bool { return g.admits(g.word.Load()) }

// admits tells whether a slot is free and nobody waits for it.
func (g *Gate) admits(word uint64) bool {
	return word&(refusingAny|queuedMask) == 0 && g.hasRoom(word)
}

// hasRoom tells whether one more call may run: not beside an isolated one.
func (g *Gate) hasRoom(word uint64) bool {
	return word&isolatedBit == 0 && int64(word&runningMask) < g.limit()
}

// Draining tells whether the gate refuses new calls.
func (g *Gate) RefusesCalls() bool { return g.word.Load()&refusingAny != 0 }

// Refusing is the code by which the gate refuses new calls; OK while it takes them.
func (g *Gate) RefusalCode() result.Code { return refusalOf(g.word.Load()) }

// refusalOf is the code by which a gate with some word refuses calls. A back end that leaves
// does not come back with its zone, so that goes before.
func refusalOf(word uint64) result.Code {
	switch {
	case word&(drainingBit|closedBit) != 0:
		return result.Draining
	case word&evacuatedBit != 0:
		return result.ZoneEvacuated
	}
	return result.OK
}

// Admit starts, queues or refuses a call. A started call must be ended by
// Done; a queued one is settled later, or withdrawn by Cancel.
//
// The id of an attempt is remembered when it comes, whatever becomes of it: one
// that was refused as not run may have been sent elsewhere since, so a late
// duplicate of it must not start here.
func (g *Gate) Admit(now time.Duration, ticket *Ticket) Decision {
	if verdict := register(g.requests, now, ticket.Request); verdict.State == StateRefused {
		return verdict
	}
	if code := g.RefusalCode(); code != result.OK {
		return refused(code, 0)
	}
	if ticket.Deadline <= now {
		return refused(result.DeadlineBeforeStart, 0)
	}
	if wait := g.ColdWait(now, ticket); wait > 0 {
		return refused(result.WarmingUp, wait)
	}
	if !g.acquire() {
		return g.enqueue(now, ticket)
	}
	verdict := g.remember(now, ticket)
	if verdict.State == StateRefused {
		g.release(now, ticket, 0)
		return verdict
	}
	ticket.state = StateStarted
	return verdict
}

// acquire takes a free slot when nobody waits for it.
func (g *Gate) acquire() bool {
	for {
		word := g.word.Load()
		if !g.admits(word) {
			return false
		}
		if g.word.CompareAndSwap(word, word+1) {
			return true
		}
	}
}

// remember records the key of a call about to start. When it refuses, the call
// must not start.
func (g *Gate) remember(now time.Duration, ticket *Ticket) Decision {
	if wait := g.warmth.TryStart(now, ticket.class()); wait > 0 {
		return refused(result.WarmingUp, wait)
	}
	ticket.startedAt = now
	verdict := register(g.keys, now, ticket.Key)
	if verdict.State == StateStarted {
		ticket.expected = g.serviceOf(&ticket.Call)
		g.runningWork.Add(int64(ticket.expected))
	}
	return verdict
}

// register adds a fingerprint, or refuses the call that has it.
func register(set *FingerprintSet, now time.Duration, fingerprint Fingerprint) Decision {
	if fingerprint == 0 {
		return Decision{State: StateStarted}
	}
	switch set.Add(now, fingerprint) {
	case Present:
		return refused(result.AlreadyStarted, 0)
	case Full:
		return refused(result.QueueFull, fullRetryAfter)
	}
	return Decision{State: StateStarted}
}

// enqueue queues a call for which no slot was free, or refuses it.
func (g *Gate) enqueue(now time.Duration, ticket *Ticket) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	into := g.queue.lane(ticket.Partner)
	ticket.expected = g.serviceOf(&ticket.Call)
	ticket.startBy = g.startBy(now, ticket)
	if verdict := g.mayWait(now, ticket, into); verdict.State == StateRefused {
		return verdict
	}
	for {
		word := g.word.Load()
		free := word&queuedMask == 0 && g.hasRoom(word)
		switch {
		case word&refusingAny != 0:
			return refused(refusalOf(word), 0)
		case free && g.word.CompareAndSwap(word, word+1):
			// The slot was freed since Admit looked; with nobody waiting that
			// needed no lock.
			return g.startLocked(now, ticket)
		case !free && g.word.CompareAndSwap(word, word+queuedUnit):
			// From here on every end of a call sees that somebody waits.
			ticket.state = StateQueued
			g.queue.push(ticket, into)
			g.shedBehind(now, ticket)
			g.shedLate(now, into)
			g.shedHopeless(now)
			return Decision{State: StateQueued}
		}
	}
}

// startLocked starts a call that holds a slot, or gives the slot on.
func (g *Gate) startLocked(now time.Duration, ticket *Ticket) Decision {
	verdict := g.remember(now, ticket)
	ticket.state = verdict.State
	if verdict.State == StateRefused {
		g.handOver(now)
	}
	return verdict
}

// Done ends a started call and gives its slot to the call that goes next. Ran
// is false only when the call certainly did not reach the back end; its key is
// then forgotten, so that the operation may be sent again. It must be called once for
// each started call; further calls do nothing.
func (g *Gate) Done(now time.Duration, ticket *Ticket, ran bool) {
	if ticket.ended {
		return
	}
	ticket.ended = true
	if ticket.hung.Swap(hungNoMore) == hungNow {
		g.hung.Add(-1)
	}
	g.runningWork.Add(-int64(ticket.expected))
	if ran && !ticket.Unmeasured {
		g.observe(&ticket.Call, now-ticket.startedAt)
	}
	if !ran && ticket.Key != 0 {
		g.keys.Remove(ticket.Key)
	}
	g.release(now, ticket, now-ticket.startedAt)
}

// release gives back a slot that was held for some time: without the lock when
// nobody waits.
func (g *Gate) release(now time.Duration, ticket *Ticket, held time.Duration) {
	for {
		word := g.word.Load()
		if word&(isolatedBit|queuedMask) != 0 {
			break
		}
		if g.word.CompareAndSwap(word, word-1) {
			return
		}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.queue.settleCharge(ticket, held.Seconds())
	lifted := g.liftIsolation(ticket)
	g.handOver(now)
	if lifted {
		g.startFree(now)
	}
	g.noteAlone()
	g.shedHopeless(now)
}

// handOver gives a held slot to the next call that can still start, or frees
// it; the lock is held.
func (g *Gate) handOver(now time.Duration) {
	for {
		// With fewer slots than before, or others that are occupied, the slot ends with the call.
		excess := !g.hasRoom(g.word.Load() - 1) // without the call that holds the slot
		var ticket *Ticket
		if !excess {
			ticket = g.queue.pop()
		}
		if ticket == nil {
			g.word.Add(^uint64(0))
			return
		}
		g.unqueue()
		if g.startWaiting(now, ticket) {
			return
		}
	}
}

// startWaiting settles a call taken from the queue and tells whether it runs.
func (g *Gate) startWaiting(now time.Duration, ticket *Ticket) bool {
	service := g.serviceOf(&ticket.Call)
	if !g.config.NoEstimate && now+service > ticket.Deadline {
		ticket.settle(refused(result.DeadlineBeforeStart, 0))
		return false
	}
	if !g.config.NoEstimate && g.queue.length > 0 && g.lateness(ticket, now) > 0 {
		// Its answer would be late, and make others late.
		ticket.settle(refused(result.QueueFull, service/retryParts))
		return false
	}
	verdict := g.remember(now, ticket)
	if verdict.State == StateStarted {
		g.observeDelay(ticket, now-ticket.queuedAt)
		g.queue.charge(ticket, service.Seconds())
	}
	ticket.settle(verdict)
	return verdict.State == StateStarted
}

// LatestStart is until when a waiting call can still end in time. After that its owner
// should withdraw it and tell its sender at once that it did not run, while there is
// time to send it elsewhere.
func (g *Gate) LatestStart(ticket *Ticket) time.Duration {
	return ticket.Deadline - g.serviceOf(&ticket.Call)
}

// Cancel withdraws a waiting call. It answers false when the call is not
// waiting any more: it was settled, and if started it must be ended by Done.
func (g *Gate) Cancel(ticket *Ticket) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if ticket.state != StateQueued {
		return false
	}
	g.queue.remove(ticket)
	g.unqueue()
	ticket.state = StateRefused
	return true
}

func refused(code result.Code, retryAfter time.Duration) Decision {
	return Decision{State: StateRefused, Code: code, RetryAfter: retryAfter}
}
