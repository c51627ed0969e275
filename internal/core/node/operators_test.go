package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// TestAnsweredChangeIsNotAttemptedAgainByALateTick guards against a second answer: a shell
// that is short of processor time may send a tick long after a change was answered.
func TestAnsweredChangeIsNotAttemptedAgainByALateTick(t *testing.T) {
	is := is.New(t)
	n := New(Config{ID: "alone", Region: "windhoek", Zone: "eros-hall", Timing: DefaultTiming()})
	n.Step(0, Tick{})
	request := &protocol.SubmitRequest{Format: protocol.Format, Operation: "op", Action: protocol.ActionWithdraw}
	n.Step(time.Millisecond, OperatorRequest{Token: 7, Body: request})
	is.Equal(len(n.operators.changes), 1)
	n.handleChangeReply(n.operators.changes[0], &protocol.SubmitReply{Code: result.FileSyntax})
	effects := n.Step(time.Minute, Tick{})
	for _, effect := range effects {
		_, again := effect.(OperatorAnswer)
		is.True(!again)
	}
	is.Equal(len(n.operators.changes), 0)
}
