// Package reader implements the state machine of a daemon that may access the
// platform: it competes for a reader lease, follows the head object while it
// holds one, and writes operators' changes into the head, even if replies of
// the platform are lost. It does no input or output; its owner carries out the
// outputs. See docs/ACCEPTANCE.md.
//
// Invariant: the lease only limits the number of readers. Each change is
// protected by update-if-version alone, so that a holder that resumes after a
// pause can neither overwrite a change nor lose one.
package reader

import (
	"math/rand/v2"
	"time"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// Config holds the identity of a Reader and its limits and periods. A limit or period
// of 0 stands for the default.
type Config struct {
	ID     protocol.NodeID
	Region string
	// LeaseSlots is the maximum number of readers of a region; 0 means 2.
	LeaseSlots int
	// LeaseDuration is how long a lease lasts without renewal; 0 means 6 s.
	LeaseDuration time.Duration
	// CallTimeout bounds one platform call; 0 means 2 s.
	CallTimeout time.Duration
	// SubmitTimeout is how long a change is retried before OutcomeUnknown or
	// NotAccepted is returned to the operator; 0 means 10 s.
	SubmitTimeout time.Duration
	// ResyncInterval is how often the head is read even if the watch reports no
	// change; 0 means 10 s.
	ResyncInterval time.Duration
	// RandomSeed makes the reader's random choices repeatable.
	RandomSeed uint64
}

// The defaults of Config.
const (
	defaultLeaseSlots     = 2
	defaultLeaseDuration  = 6 * time.Second
	defaultCallTimeout    = 2 * time.Second
	defaultSubmitTimeout  = 10 * time.Second
	defaultResyncInterval = 10 * time.Second
)

func (c Config) withDefaults() Config {
	if c.LeaseSlots == 0 {
		c.LeaseSlots = defaultLeaseSlots
	}
	if c.LeaseDuration == 0 {
		c.LeaseDuration = defaultLeaseDuration
	}
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.SubmitTimeout == 0 {
		c.SubmitTimeout = defaultSubmitTimeout
	}
	if c.ResyncInterval == 0 {
		c.ResyncInterval = defaultResyncInterval
	}
	return c
}

// Candidacy states whether this daemon should compete for a reader lease.
type Candidacy struct {
	// Candidate is set while the daemon is one of the few that may access the
	// platform. A holder that is no longer a candidate keeps its lease.
	Candidate bool
	// Delay is the wait before the first attempt, so that lower ranked
	// candidates try only if higher ranked ones did not succeed.
	Delay time.Duration
}

// Reader is the state machine. It is not safe for concurrent use.
type Reader struct {
	config    Config
	random    *rand.Rand
	now       time.Duration
	outputs   []Output
	lastToken Token
	calls     map[Token]pendingCall
	lease     leaseState
	head      headState
	contents  contentState
	changes   changeState
	// floor is the newest version known to the daemon; an older head is not used.
	floor protocol.Version
}

// New returns a Reader that holds no lease.
func New(config Config) *Reader {
	r := &Reader{
		config: config.withDefaults(),
		random: rand.New(rand.NewPCG(config.RandomSeed, config.RandomSeed)),
		calls:  map[Token]pendingCall{},
	}
	r.lease.observations = map[string]leaseObservation{}
	r.head.head = ledger.NewHead()
	r.contents.loadsInFlight = map[resource.Digest]bool{}
	return r
}

// purpose is the reason for a platform call; it selects the reply's handler.
type purpose int

const (
	purposeLeaseList purpose = iota + 1
	purposeLeaseTake
	purposeLeaseRenew
	purposeLeaseRead
	purposeLeaseResign
	purposeHeadRead
	purposeHeadWrite
	purposeContentRead
	purposeContentWrite
)

// pendingCall is a platform call without a reply yet.
type pendingCall struct {
	purpose purpose
	// sentAt is when the call was sent. Its reply holds as of that time: leases
	// and the next resync are measured from it.
	sentAt time.Duration
	// slot is the name of the lease object, for calls on one lease. record is the
	// value that the call writes to it or, for a read that resolves the outcome of
	// an acquiring write, the value of that write.
	record leaseRecord
	slot   string
	// takeSentAt is when the acquiring write was sent, for a read that resolves the
	// outcome of that write.
	takeSentAt time.Duration
	// digest is set for content calls.
	digest resource.Digest
	// attemptNumber identifies the attempt that made the call, for writes of
	// contents and the head.
	attemptNumber uint64
}

// SetFloor sets the newest version known to the daemon. Invariant: no change is
// accepted on top of a head below it. Such a head is either stale or, if the
// platform lost its data, the start of a second history, in which version
// numbers already in use would stand for other contents.
func (r *Reader) SetFloor(version protocol.Version) { r.floor = max(r.floor, version) }

// IsReader reports whether the lease was held at the end of the last step.
func (r *Reader) IsReader() bool { return r.lease.isHeld }

// Term returns the fencing term of the held lease; 0 when none is held.
func (r *Reader) Term() uint64 {
	if !r.lease.isHeld {
		return 0
	}
	return r.lease.record.Term
}

// Tick advances the time, updates the candidacy and runs the work that is due.
func (r *Reader) Tick(now time.Duration, candidacy Candidacy) []Output {
	return r.step(now, func() { r.setCandidacy(candidacy) })
}

// HandlePlatformReply handles the reply to a PlatformCall. Replies to calls made
// under a lease that was lost since are ignored.
func (r *Reader) HandlePlatformReply(now time.Duration, token Token, reply object.Reply) []Output {
	return r.step(now, func() {
		call, known := r.calls[token]
		if !known {
			return
		}
		delete(r.calls, token)
		r.dispatchReply(call, reply)
	})
}

// HandleEvent handles an event of the watch with the token.
func (r *Reader) HandleEvent(now time.Duration, token Token, event object.Event) []Output {
	return r.step(now, func() { r.handleWatchEvent(token, event) })
}

// HandleWatchEnded handles the end of the watch with the token.
func (r *Reader) HandleWatchEnded(now time.Duration, token Token, code result.Code) []Output {
	return r.step(now, func() { r.handleWatchEnd(token, code) })
}

// Submit queues an operator's change; SubmitResult with the ticket is its result.
// wallClock is recorded in the head and dates the change for the bounds on
// operation ids; deadlines do not depend on it.
func (r *Reader) Submit(now time.Duration, wallClock time.Time, ticket Ticket, request *protocol.SubmitRequest) []Output {
	return r.step(now, func() { r.enqueue(wallClock, ticket, request) })
}

// RequestFreshHead requests the version of a head read after this call;
// FreshHeadResult with the ticket is its result.
func (r *Reader) RequestFreshHead(now time.Duration, ticket Ticket) []Output {
	return r.step(now, func() { r.enqueueFreshHead(ticket) })
}

// SetKeepers replaces the keeper sets of some regions in the head, as a new
// version. The Revision of each set is that of the set it was derived from (0
// for none); a set is dropped if the head has another revision by then. The
// owner repeats the call until CatalogueReady contains the sets. wallClock is
// recorded in the head as the time of acceptance.
func (r *Reader) SetKeepers(now time.Duration, wallClock time.Time, sets []protocol.KeeperSet) []Output {
	return r.step(now, func() {
		r.changes.keeperSets = sets
		r.changes.keeperSetsAt = wallClock
	})
}

// Resign releases the lease, so that another daemon can take it at once. After
// it, the owner must not call Tick as a candidate.
func (r *Reader) Resign(now time.Duration) []Output {
	return r.step(now, r.resign)
}

// step processes one input: it first drops a lease that has expired, then
// applies the input, then runs the work that is due, and returns the outputs.
func (r *Reader) step(now time.Duration, input func()) []Output {
	r.now = max(r.now, now)
	r.expireLease()
	input()
	r.advanceLease()
	if r.lease.isHeld {
		r.advanceHead()
		r.advanceContents()
		r.advanceChanges()
		r.advanceHead()
	}
	outputs := r.outputs
	r.outputs = nil
	return outputs
}

// dispatchReply passes a reply to the handler for the purpose of the call. The
// reply to purposeLeaseResign is ignored: if the write fails, the lease expires
// by itself.
func (r *Reader) dispatchReply(call pendingCall, reply object.Reply) {
	switch call.purpose {
	case purposeLeaseList:
		r.handleLeaseList(reply)
	case purposeLeaseTake:
		r.handleLeaseTake(call, reply)
	case purposeLeaseRenew:
		r.handleLeaseRenewal(call, reply)
	case purposeLeaseRead:
		r.handleLeaseRead(call, reply)
	case purposeHeadRead:
		r.handleHeadRead(call, reply)
	case purposeHeadWrite:
		r.handleHeadWrite(call, reply)
	case purposeContentRead:
		r.handleContentRead(call, reply)
	case purposeContentWrite:
		r.handleContentWrite(call, reply)
	}
}

func (r *Reader) emit(output Output) { r.outputs = append(r.outputs, output) }

func (r *Reader) logEvent(name string, fields ...LogField) {
	r.emit(LogEvent{Name: name, Fields: fields})
}

// newToken returns a token that was never used before.
func (r *Reader) newToken() Token {
	r.lastToken++
	return r.lastToken
}

// call emits a platform call and registers it for its reply.
func (r *Reader) call(pending pendingCall, call object.Call) {
	pending.sentAt = r.now
	token := r.newToken()
	r.calls[token] = pending
	r.emit(PlatformCall{Token: token, Call: call, Timeout: r.config.CallTimeout})
}
