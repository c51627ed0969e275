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

// Layout of Gate.word, which packs the state that must change atomically: the
// number of running calls in the low 24 bits, the number of queued calls in the
// next 24, and the flags below in the top bits.
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

// waitShare is the largest fraction of a call's remaining time that it is
// expected to spend in the queue. A call that starts with little time left is
// likely to reach its deadline while it runs, which leaves its outcome unknown.
const waitShare = 0.6

// fullRetryAfter is the RetryAfter of calls that are refused because a set of
// fingerprints is full.
const fullRetryAfter = 5 * time.Second

// Gate controls admission to one back end.
type Gate struct {
	config Config
	// word is the packed state; its layout is defined above. A start never raises
	// the running count above the slots: it increments the count by compare-and-swap
	// only while a slot is free, or inherits the slot of a call that ends. The queued
	// count changes only under mutex.
	word atomic.Uint64
	// hung is the number of running calls marked by MarkHung.
	hung atomic.Int64
	// runningWork is the sum of the expected service times of the running calls, in
	// nanoseconds.
	runningWork atomic.Int64
	// slots is the maximum number of running calls; see SetSlots.
	slots atomic.Int64
	// leftBehind and probes count slots of the back end that are in use but not by
	// calls of this gate; see occupied.go.
	leftBehind leftBehind
	probes     atomic.Int64
	// mean is the mean service time of all calls, classes holds the statistics of
	// each call class.
	mean    movingMean
	classes callclass.Table[classService]
	// requests holds the ids of received attempts, keys those of started operations.
	requests *FingerprintSet
	keys     *FingerprintSet
	// warmth limits the starts while the back end is cold.
	warmth *warmup.Limiter

	mutex    sync.Mutex
	queue    queue
	isolated isolation
}

// New returns a gate that accepts calls.
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

// Load is the number of slots in use and calls queued at a gate.
type Load struct {
	// Running is the number of slots in use, including those used by probes and by
	// calls from an earlier run of the daemon. An isolated call uses all slots.
	Running int
	Queued  int
	Slots   int
}

// Load returns the current load.
func (g *Gate) Load() Load {
	word := g.word.Load()
	return Load{
		Running: g.taken(word),
		Queued:  int(word & queuedMask >> runningBits),
		Slots:   int(g.slots.Load()),
	}
}

// taken returns the number of slots in use; an isolated call uses all of them.
func (g *Gate) taken(word uint64) int {
	running := int(word&runningMask) + int(g.occupied())
	if word&isolatedBit != 0 {
		return max(running, int(g.slots.Load()))
	}
	return running
}

// HasFreeSlot reports whether a new call would get a slot without queueing.
func (g *Gate) HasFreeSlot() bool { return g.admits(g.word.Load()) }

// admits reports whether a slot is free and no call is queued for it.
func (g *Gate) admits(word uint64) bool {
	return word&(refusingAny|queuedMask) == 0 && g.hasRoom(word)
}

// hasRoom reports whether one more call may run. While a call is isolated, none may.
func (g *Gate) hasRoom(word uint64) bool {
	return word&isolatedBit == 0 && int64(word&runningMask) < g.limit()
}

// RefusesCalls reports whether the gate refuses all new calls.
func (g *Gate) RefusesCalls() bool { return g.word.Load()&refusingAny != 0 }

// RefusalCode returns the code with which the gate refuses all new calls, or OK
// while it accepts calls.
func (g *Gate) RefusalCode() result.Code { return refusalOf(g.word.Load()) }

// refusalOf returns the refusal code for a packed state. Draining takes precedence
// over evacuation: a back end that leaves does not return when its zone does.
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
// The attempt's id is recorded even if the call is refused: the sender may since
// have sent a refused call elsewhere, so a late duplicate must not start here.
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

// acquire takes a free slot unless calls are queued for it.
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

// remember records the start of a call: in the cold limiter, the set of keys and
// the expected work. If it returns a refusal, the call must not start.
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

// register adds a fingerprint to a set, or returns a refusal if the set contains it
// or is full.
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

// enqueue queues or refuses a call for which no slot was free, or starts it if one
// has become free since.
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
			// A slot was freed after the check in Admit. Freeing it needed no lock,
			// because no call was queued.
			return g.startLocked(now, ticket)
		case !free && g.word.CompareAndSwap(word, word+queuedUnit):
			// From here on, each call that ends sees the queued call.
			ticket.state = StateQueued
			g.queue.push(ticket, into)
			g.shedBehind(now, ticket)
			g.shedLate(now, into)
			g.shedHopeless(now)
			return Decision{State: StateQueued}
		}
	}
}

// startLocked starts a call that holds a slot, or hands the slot over if the start
// is refused. The caller holds the lock.
func (g *Gate) startLocked(now time.Duration, ticket *Ticket) Decision {
	verdict := g.remember(now, ticket)
	ticket.state = verdict.State
	if verdict.State == StateRefused {
		g.handOver(now)
	}
	return verdict
}

// Done ends a started call and hands its slot over to the next queued call. Ran must
// be false only if the call certainly did not reach the back end; its key is then
// removed, so that the operation may be sent again. Done must be called for each
// started call; repeated calls have no effect.
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

// release returns a slot that a call has held for a time. It takes the lock only if
// calls are queued or a call is isolated.
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

// handOver gives a held slot to the next queued call that can still start, or
// frees it. The caller holds the lock.
func (g *Gate) handOver(now time.Duration) {
	for {
		// The slot is not reused if the limit has been lowered since, or if other
		// slots have been occupied.
		excess := !g.hasRoom(g.word.Load() - 1) // not counting the call that holds the slot
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

// startWaiting starts or refuses a call taken from the queue and reports whether it
// was started.
func (g *Gate) startWaiting(now time.Duration, ticket *Ticket) bool {
	service := g.serviceOf(&ticket.Call)
	if !g.config.NoEstimate && now+service > ticket.Deadline {
		ticket.settle(refused(result.DeadlineBeforeStart, 0))
		return false
	}
	if !g.config.NoEstimate && g.queue.length > 0 && g.lateness(ticket, now) > 0 {
		// It would miss its target and delay the calls behind it.
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

// LatestStart returns the latest time at which a queued call can start and still end
// by its deadline. After that its owner should withdraw it and answer its sender at
// once that it did not run, while there is time to send it elsewhere.
func (g *Gate) LatestStart(ticket *Ticket) time.Duration {
	return ticket.Deadline - g.serviceOf(&ticket.Call)
}

// Cancel withdraws a queued call. It returns false if the call has been settled
// already; if it was started, it must be ended by Done.
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
