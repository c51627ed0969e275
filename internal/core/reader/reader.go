// Package reader is the state machine of a daemon that may read the platform:
// it competes for a reader lease, follows the head while it holds one, and
// drives operators' changes through lost answers. It does no input or output;
// its owner carries out the outputs.
package reader

import (
	"time"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
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
	// RandomSeed makes the reader's random choices repeatable.
	RandomSeed uint64
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
	config Config
}

// New returns a Reader that holds no lease.
func New(config Config) *Reader {
	return &Reader{config: config}
}

// IsReader reports whether the lease is held at the time of the last call.
func (r *Reader) IsReader() bool { return false }

// Term returns the fencing term of the held lease; 0 when none is held.
func (r *Reader) Term() uint64 { return 0 }

// Tick lets time pass.
func (r *Reader) Tick(now time.Duration, candidacy Candidacy) []Output { return nil }

// HandlePlatformReply takes the answer of a PlatformCall.
func (r *Reader) HandlePlatformReply(now time.Duration, token Token, reply object.Reply) []Output {
	return nil
}

// HandleEvent takes an event of the watch with the token.
func (r *Reader) HandleEvent(now time.Duration, token Token, event object.Event) []Output {
	return nil
}

// HandleWatchEnded takes the end of the watch with the token.
func (r *Reader) HandleWatchEnded(now time.Duration, token Token, code result.Code) []Output {
	return nil
}

// Submit queues an operator's change; SubmitDone with the ticket answers it.
// wallClock is only written into the head, never compared.
func (r *Reader) Submit(now time.Duration, wallClock time.Time, ticket Ticket, request *protocol.SubmitRequest) []Output {
	return []Output{SubmitDone{Ticket: ticket, Reply: &protocol.SubmitReply{Code: result.NoReader}}}
}

// FreshHead asks for the version of a head that is read after this call;
// HeadRead with the ticket answers it.
func (r *Reader) FreshHead(now time.Duration, ticket Ticket) []Output {
	return []Output{HeadRead{Ticket: ticket}}
}

// SetKeepers replaces the keeper sets of some regions in the head, as a new
// version. It is repeated by the owner until CatalogueReady shows the sets.
func (r *Reader) SetKeepers(now time.Duration, sets []protocol.KeeperSet) []Output {
	return nil
}
