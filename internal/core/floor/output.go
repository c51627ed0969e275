package floor

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// Token matches an output with its reply.
type Token uint64

// Output is an action that the owner of a Learner or Releaser must carry out.
type Output interface{ output() }

// SendFloorRequest sends the request to the daemon at Address. The reply, or
// nil after Timeout, must be passed to Learner.HandleReply.
type SendFloorRequest struct {
	Token   Token
	Address string
	Request *protocol.FloorRequest
	Timeout time.Duration
}

// ReadHead requests a fresh head from the daemon's own reader, if that holds a
// lease. The head's version must be passed to Learner.HandleHead.
type ReadHead struct{}

// SendStoreRequest sends the request to the keeper at Address. The reply, or nil
// after Timeout, must be passed to Releaser.HandleReply.
type SendStoreRequest struct {
	Token   Token
	Address string
	Request *protocol.StoreRequest
	Timeout time.Duration
}

func (SendFloorRequest) output() {}
func (ReadHead) output()         {}
func (SendStoreRequest) output() {}
