// Package reader is the state machine of a daemon that may read the platform:
// it competes for a reader lease, follows the head while it holds one, and
// drives operators' changes through lost answers. It does no input or output;
// its owner carries out the outputs. See docs/ACCEPTANCE.md.
//
// What must hold: nothing depends on the lease but the number of readers. Each
// change is protected by update-if-version alone, so a holder that was paused
// and wakes can neither win nor lose anything.
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

// Config is what a Reader is told at its start.
type Config struct {
	ID     protocol.NodeID
	Region string
	// LeaseSlots is how many readers a region may have; 0 means 2.
	LeaseSlots int
	// LeaseDuration is how long a lease lasts without renewal; 0 means 6 s.
	LeaseDuration time.Duration
	// CallTimeout bounds one platform call; 0 means 2 s.
	CallTimeout time.Duration
	// SubmitTimeout is how long a change is tried before its operator is told
	// OutcomeUnknown or NotAccepted; 0 means 10 s.
	SubmitTimeout time.Duration
	// ResyncInterval is how often the head is read although the watch is
	// silent; 0 means 10 s.
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

// Candidacy says whether this daemon should compete for a reader lease.
type Candidacy struct {
	// Candidate is set while the daemon is one of the few that may touch the
	// platform. A holder that is no longer a candidate keeps its lease.
	Candidate bool
	// Delay is waited before the first attempt, so that lower ranked
	// candidates only try when higher ranked ones did not succeed.
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
	// floor is the newest version that the daemon knows of; a head below it is
	// not used.
	floor protocol.Version
}

// New returns a Reader that holds no lease.
func New(config Config) *Reader {
	r := &Reader{
		config: config.withDefaults(),
		random: rand.New(rand.NewPCG(config.RandomSeed, config.RandomSeed)),
		calls:  map[Token]pendingCall{},
	}
	r.lease.observed = map[string]leaseObservation{}
	r.head.head = ledger.NewHead()
	r.contents.loading = map[resource.Digest]bool{}
	return r
}

// purpose says what a platform call was made for.
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

// pendingCall is a platform call without an answer yet.
type pendingCall struct {
	purpose purpose
	// sent is when the call left; what its answer proves dates from then.
	sent time.Duration
	// record and slot belong to lease writes.
	record leaseRecord
	slot   string
	// takeSent is when the write that a lease read resolves was sent.
	takeSent time.Duration
	// digest belongs to content calls.
	digest resource.Digest
	// attempt is the number of the attempt that the call belongs to.
	attempt uint64
}

// SetFloor tells the newest version that the daemon knows of. What must hold:
// no version is accepted on top of a head below it. Such a head is either old
// or, if the platform lost its store, the start of another chain, which would
// give accepted versions another content.
func (r *Reader) SetFloor(version protocol.Version) { r.floor = max(r.floor, version) }

// IsReader reports whether the lease was held at the time of the last call.
func (r *Reader) IsReader() bool { return r.lease.held }

// Term returns the fencing term of the held lease; 0 when none is held.
func (r *Reader) Term() uint64 {
	if !r.lease.held {
		return 0
	}
	return r.lease.record.Term
}

// Tick lets time pass.
func (r *Reader) Tick(now time.Duration, candidacy Candidacy) []Output {
	return r.step(now, func() { r.setCandidacy(candidacy) })
}

// HandlePlatformReply takes the answer of a PlatformCall. Answers to calls that
// were made under a lease that is lost are ignored.
func (r *Reader) HandlePlatformReply(now time.Duration, token Token, reply object.Reply) []Output {
	return r.step(now, func() {
		call, known := r.calls[token]
		if !known {
			return
		}
		delete(r.calls, token)
		r.dispatch(call, reply)
	})
}

// HandleEvent takes an event of the watch with the token.
func (r *Reader) HandleEvent(now time.Duration, token Token, event object.Event) []Output {
	return r.step(now, func() { r.watchEvent(token, event) })
}

// HandleWatchEnded takes the end of the watch with the token.
func (r *Reader) HandleWatchEnded(now time.Duration, token Token, code result.Code) []Output {
	return r.step(now, func() { r.watchEnded(token, code) })
}

// Submit queues an operator's change; SubmitDone with the ticket answers it.
// wallClock is only written into the head, never compared with other clocks.
func (r *Reader) Submit(now time.Duration, wallClock time.Time, ticket Ticket, request *protocol.SubmitRequest) []Output {
	return r.step(now, func() { r.enqueue(wallClock, ticket, request) })
}

// FreshHead asks for the version of a head that is read after this call;
// HeadRead with the ticket answers it.
func (r *Reader) RequestFreshHead(now time.Duration, ticket Ticket) []Output {
	return r.step(now, func() { r.awaitHead(ticket) })
}

// SetKeepers replaces the keeper sets of some regions in the head, as a new
// version. The Revision of each set is that of the set which it was derived
// from (0 for none); when the head has another one by then, the set is
// dropped. The owner repeats the call until CatalogueReady shows the sets.
// wallClock is only written into the head, as the time of acceptance.
func (r *Reader) SetKeepers(now time.Duration, wallClock time.Time, sets []protocol.KeeperSet) []Output {
	return r.step(now, func() {
		r.changes.keepers = sets
		r.changes.keepersAt = wallClock
	})
}

// Resign gives the lease back, so that another daemon can take it at once. The
// owner must not report itself as a candidate afterwards.
func (r *Reader) Resign(now time.Duration) []Output {
	return r.step(now, r.resign)
}

// step runs one input: first it notices a lease that has run out meanwhile,
// then it takes the input in, then it does all that has become due.
func (r *Reader) step(now time.Duration, input func()) []Output {
	r.now = max(r.now, now)
	r.checkLease()
	input()
	r.advanceLease()
	if r.lease.held {
		r.advanceHead()
		r.advanceContents()
		r.advanceChanges()
		r.advanceHead()
	}
	outputs := r.outputs
	r.outputs = nil
	return outputs
}

// dispatch hands a reply to what waits for it.
func (r *Reader) dispatch(call pendingCall, reply object.Reply) {
	switch call.purpose {
	case purposeLeaseList:
		r.leaseListed(reply)
	case purposeLeaseTake:
		r.leaseTaken(call, reply)
	case purposeLeaseRenew:
		r.leaseRenewed(call, reply)
	case purposeLeaseRead:
		r.leaseRead(call, reply)
	case purposeHeadRead:
		r.headWasRead(call, reply)
	case purposeHeadWrite:
		r.headWasWritten(call, reply)
	case purposeContentRead:
		r.contentWasRead(call, reply)
	case purposeContentWrite:
		r.contentWasWritten(call, reply)
	}
}

func (r *Reader) emit(output Output) { r.outputs = append(r.outputs, output) }

func (r *Reader) event(name string, fields ...LogField) {
	r.emit(LogEvent{Name: name, Fields: fields})
}

// newToken returns a token that was never used before.
func (r *Reader) newToken() Token {
	r.lastToken++
	return r.lastToken
}

// call makes a platform call.
func (r *Reader) call(pending pendingCall, call object.Call) {
	pending.sent = r.now
	token := r.newToken()
	r.calls[token] = pending
	r.emit(PlatformCall{Token: token, Call: call, Timeout: r.config.CallTimeout})
}
