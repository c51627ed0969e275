package floor

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// Token pairs an output with the reply that answers it.
type Token uint64

// Output is something that the owner of a Learner or Releaser must carry out.
type Output interface{ output() }

// AskFloor asks the daemon at Address; the reply, or nil after Timeout, goes
// to Learner.HandleReply.
type SendFloorRequest struct {
	Token   Token
	Address string
	Request *protocol.FloorRequest
	Timeout time.Duration
}

// ReadHead asks the daemon's own reader, if it holds a lease, for a fresh
// head; the version goes to Learner.HandleHead.
type ReadHead struct{}

// StoreVersion asks the keeper at Address to store; the reply, or nil after
// Timeout, goes to Releaser.HandleReply.
type SendStoreRequest struct {
	Token   Token
	Address string
	Request *protocol.StoreRequest
	Timeout time.Duration
}

func (SendFloorRequest) output() {}
func (ReadHead) output()         {}
func (SendStoreRequest) output() {}
