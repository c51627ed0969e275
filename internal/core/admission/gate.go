package admission

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/callclass"
	"github.com/springstack/springstack/internal/core/ratelimit"
	"github.com/springstack/springstack/internal/core/warmup"
	"github.com/springstack/springstack/internal/result"
)

// Layout of Gate.word, which packs the state that must change atomically: the
// number of running calls in the low 24 bits, the number of queued calls in the
// next 24, and flags in the top bits.
const (
	runningBits = 24
	runningMask = 1<<runningBits - 1
	queuedUnit  = 1 << runningBits
	queuedMask  = runningMask << runningBits

	drainingBit  = 1 << 63
	closedBit    = 1 << 62
	evacuatedBit = 1 << 61
	isolatedBit  = 1 << 60
	// refusingMask covers the flags under which all new calls are refused; under
	// isolatedBit they are queued.
	refusingMask = drainingBit | closedBit | evacuatedBit
)

// maxWaitShare is the largest fraction of a call's remaining time that it is
// expected to spend in the queue. A call that starts with little time left is
// likely to reach its deadline while it runs, which leaves its outcome unknown.
const maxWaitShare = 0.6

// fullSetRetryAfter is the RetryAfter of calls that are refused because a set of
// fingerprints is full.
const fullSetRetryAfter = 5 * time.Second

// Gate controls admission to one back end.
type Gate struct {
	config Config
	// word is the packed state; its layout is defined above. A start never raises the
	// running count above the slots: it increments the count by compare-and-swap only
	// while a slot is free, or takes over the slot of a call that ends. The queued
	// count changes only under mutex.
	word atomic.Uint64
	// hungCount is the number of running calls marked by MarkHung.
	hungCount atomic.Int64
	// runningWork is the sum of the expected service times of the running calls, in
	// nanoseconds.
	runningWork atomic.Int64
	// slots is the maximum number of running calls; see SetSlots.
	slots atomic.Int64
	// orphans and probeCount count slots of the back end that are in use, but not by
	// calls of this gate; see orphans.go.
	orphans    orphanedCalls
	probeCount atomic.Int64
	// meanServiceTime is the mean service time of all calls, classes holds the statistics
	// of each call class.
	meanServiceTime movingMean
	classes         callclass.Table[classStats]
	// requests holds the ids of received attempts, keys those of started operations.
	requests *FingerprintSet
	keys     *FingerprintSet
	// coldLimiter limits the starts while the back end is cold.
	coldLimiter *warmup.Limiter
	// rateLimiter limits the starts to the rate that the back end states.
	rateLimiter ratelimit.Limiter

	mutex    sync.Mutex
	queue    queue
	isolated isolation
}

// New returns a gate that accepts calls.
func New(now time.Duration, config Config) *Gate {
	requestWindow := cmp.Or(config.RequestWindow, config.KeyWindow)
	requestCount := cmp.Or(config.RequestCount, config.KeyCount)
	gate := &Gate{
		config:      config,
		requests:    NewFingerprintSet(now, requestWindow, requestCount),
		keys:        NewFingerprintSet(now, config.KeyWindow, config.KeyCount),
		coldLimiter: warmup.New(now),
		queue:       queue{weights: config.Weights},
	}
	gate.slots.Store(int64(max(config.Slots, 1)))
	return gate
}

// Load is the number of slots in use and calls queued at a gate.
type Load struct {
	// Running is the number of slots in use, including those used by probes and
	// orphaned calls. An isolated call uses all slots.
	Running int
	Queued  int
	Slots   int
}

// Load returns the current load.
func (g *Gate) Load() Load {
	word := g.word.Load()
	return Load{
		Running: g.usedSlots(word),
		Queued:  int(word & queuedMask >> runningBits),
		Slots:   int(g.slots.Load()),
	}
}

// usedSlots returns the number of slots in use; an isolated call uses all of them.
func (g *Gate) usedSlots(word uint64) int {
	running := int(word&runningMask) + int(g.occupiedSlots())
	if word&isolatedBit != 0 {
		return max(running, int(g.slots.Load()))
	}
	return running
}

// HasFreeSlot reports whether a new call would get a slot without queueing.
func (g *Gate) HasFreeSlot() bool { return g.canStartAtOnce(g.word.Load()) }

// canStartAtOnce reports whether a slot is free and no call is queued for it.
func (g *Gate) canStartAtOnce(word uint64) bool {
	return word&(refusingMask|queuedMask) == 0 && g.hasRoom(word)
}

// hasRoom reports whether one more call may run. While a call is isolated, none may.
func (g *Gate) hasRoom(word uint64) bool {
	return word&isolatedBit == 0 && int64(word&runningMask) < g.callLimit()
}

// RefusesCalls reports whether the gate refuses all new calls.
func (g *Gate) RefusesCalls() bool { return g.word.Load()&refusingMask != 0 }

// RefusalCode returns the code with which the gate refuses all new calls, or OK
// while it accepts calls.
func (g *Gate) RefusalCode() result.Code { return refusalCode(g.word.Load()) }

// refusalCode returns the refusal code for a packed state. Draining takes precedence
// over evacuation: a drained back end stays out of use when the evacuation ends.
func refusalCode(word uint64) result.Code {
	switch {
	case word&(drainingBit|closedBit) != 0:
		return result.Draining
	case word&evacuatedBit != 0:
		return result.ZoneEvacuated
	}
	return result.OK
}

// Admit starts, queues or refuses a call. A started call must be ended by
// Done; for a queued call, Waiter.Settle receives the final decision unless Cancel
// withdraws the call.
//
// The attempt's id is recorded even if the call is refused: the sender may since
// have sent a refused call elsewhere, so a late duplicate must not start here.
func (g *Gate) Admit(now time.Duration, ticket *Ticket) Decision {
	if decision := register(g.requests, now, ticket.Request); decision.State == StateRefused {
		return decision
	}
	if code := g.RefusalCode(); code != result.OK {
		return refused(code, 0)
	}
	if ticket.Deadline <= now {
		return refused(result.DeadlineBeforeStart, 0)
	}
	if decision, isRefused := g.checkStartLimits(now, ticket); isRefused {
		return decision
	}
	if !g.acquire() {
		return g.enqueue(now, ticket)
	}
	decision := g.recordStart(now, ticket)
	if decision.State == StateRefused {
		g.release(now, ticket, 0)
		return decision
	}
	ticket.state = StateStarted
	return decision
}

// acquire takes a free slot unless calls are queued for it.
func (g *Gate) acquire() bool {
	for {
		word := g.word.Load()
		if !g.canStartAtOnce(word) {
			return false
		}
		if g.word.CompareAndSwap(word, word+1) {
			return true
		}
	}
}

// recordStart counts the start of a call in the limits of the back end, adds the call's key to
// keys and its expected service time to runningWork. If it returns a refusal, the
// call must not start; if keys caused the refusal, the limits still count it.
func (g *Gate) recordStart(now time.Duration, ticket *Ticket) Decision {
	if limited, isRefused := g.tryStart(now, ticket); isRefused {
		return limited
	}
	ticket.startedAt = now
	decision := register(g.keys, now, ticket.Key)
	if decision.State == StateStarted {
		ticket.expectedServiceTime = g.expectedServiceTimeOf(&ticket.Call)
		g.runningWork.Add(int64(ticket.expectedServiceTime))
	}
	return decision
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
		return refused(result.QueueFull, fullSetRetryAfter)
	}
	return Decision{State: StateStarted}
}

// enqueue queues or refuses a call for which no slot was free, or starts it if one
// has become free since.
func (g *Gate) enqueue(now time.Duration, ticket *Ticket) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	partner := g.queue.partnerQueueOf(ticket.Partner)
	ticket.expectedServiceTime = g.expectedServiceTimeOf(&ticket.Call)
	ticket.startBy = g.startByOf(now, ticket)
	if decision := g.reserveQueuePlace(now, ticket, partner); decision.State == StateRefused {
		return decision
	}
	for {
		word := g.word.Load()
		free := word&queuedMask == 0 && g.hasRoom(word)
		switch {
		case word&refusingMask != 0:
			return refused(refusalCode(word), 0)
		case free && g.word.CompareAndSwap(word, word+1):
			// A slot was freed after the check in Admit. Freeing it needed no lock,
			// because no call was queued.
			return g.startLocked(now, ticket)
		case !free && g.word.CompareAndSwap(word, word+queuedUnit):
			// From here on, each call that ends sees the queued call.
			ticket.state = StateQueued
			g.queue.push(ticket, partner)
			g.shedLowerPriorities(now, ticket)
			g.shedMissedTargets(now, partner)
			g.shedMissedDeadlines(now)
			return Decision{State: StateQueued}
		}
	}
}

// startLocked starts a call that holds a slot, or hands the slot over if the start
// is refused. The caller holds the lock.
func (g *Gate) startLocked(now time.Duration, ticket *Ticket) Decision {
	decision := g.recordStart(now, ticket)
	ticket.state = decision.State
	if decision.State == StateRefused {
		g.handOverSlot(now)
	}
	return decision
}

// Done ends a started call and hands its slot over to the next queued call. ran must
// be false only if the call certainly did not reach the back end; its key is then
// removed, so that the operation may be sent again. Done must be called for each
// started call; repeated calls have no effect.
func (g *Gate) Done(now time.Duration, ticket *Ticket, ran bool) {
	if ticket.hasEnded {
		return
	}
	ticket.hasEnded = true
	if ticket.hangState.Swap(hangStateEnded) == hangStateMarked {
		g.hungCount.Add(-1)
	}
	g.runningWork.Add(-int64(ticket.expectedServiceTime))
	if ran && !ticket.Unmeasured {
		g.observeServiceTime(&ticket.Call, now-ticket.startedAt)
	}
	if !ran && ticket.Key != 0 {
		g.keys.Remove(ticket.Key)
	}
	g.release(now, ticket, now-ticket.startedAt)
}

// release returns a slot that a call has held for a time. It takes the lock only if
// calls are queued or a call is isolated.
func (g *Gate) release(now time.Duration, ticket *Ticket, heldFor time.Duration) {
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
	g.queue.correctCharge(ticket, heldFor.Seconds())
	wasIsolated := g.liftIsolation(ticket)
	g.handOverSlot(now)
	if wasIsolated {
		g.fillFreeSlots(now)
	}
	g.signalIfAlone()
	g.shedMissedDeadlines(now)
}

// handOverSlot gives a held slot to the next queued call that can still start, or
// frees it. The caller holds the lock.
func (g *Gate) handOverSlot(now time.Duration) {
	for {
		// The slot is not reused if the limit has been lowered since, or if other
		// slots have been occupied.
		isOverLimit := !g.hasRoom(g.word.Load() - 1) // not counting the call that holds the slot
		var ticket *Ticket
		if !isOverLimit {
			ticket = g.queue.pop()
		}
		if ticket == nil {
			g.word.Add(^uint64(0))
			return
		}
		g.decrementQueued()
		if g.startQueued(now, ticket) {
			return
		}
	}
}

// startQueued starts or refuses a call taken from the queue and reports whether it
// was started.
func (g *Gate) startQueued(now time.Duration, ticket *Ticket) bool {
	serviceTime := g.expectedServiceTimeOf(&ticket.Call)
	if !g.config.NoEstimate && now+serviceTime > ticket.Deadline {
		ticket.settle(refused(result.DeadlineBeforeStart, 0))
		return false
	}
	if !g.config.NoEstimate && g.queue.length > 0 && g.lateness(ticket, now) > 0 {
		// The call would miss its target and delay the calls behind it.
		ticket.settle(refused(result.QueueFull, serviceTime/retryAfterDivisor))
		return false
	}
	decision := g.recordStart(now, ticket)
	if decision.State == StateStarted {
		g.observeDelay(ticket, now-ticket.queuedAt)
		g.queue.charge(ticket, serviceTime.Seconds())
	}
	ticket.settle(decision)
	return decision.State == StateStarted
}

// LatestStart returns the latest time at which a queued call can start and be expected
// to end by its deadline. After that time the owner of the call should withdraw it and
// answer at once that it did not run, so that the sender can still send it elsewhere.
func (g *Gate) LatestStart(ticket *Ticket) time.Duration {
	return ticket.Deadline - g.expectedServiceTimeOf(&ticket.Call)
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
	g.decrementQueued()
	ticket.state = StateRefused
	return true
}

func refused(code result.Code, retryAfter time.Duration) Decision {
	return Decision{State: StateRefused, Code: code, RetryAfter: retryAfter}
}
