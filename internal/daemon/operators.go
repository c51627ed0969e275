package daemon

import (
	"context"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// operatorBackend carries the operators' requests to the node.
type operatorBackend struct {
	shell *Shell
}

// Submit carries out a change. When the node has not answered in time the
// outcome is not known.
func (b operatorBackend) Submit(ctx context.Context, request *protocol.SubmitRequest) *protocol.SubmitReply {
	body, err := b.shell.AskOperator(ctx, request)
	reply, ok := body.(*protocol.SubmitReply)
	if err != nil || !ok {
		return &protocol.SubmitReply{Code: result.OutcomeUnknown}
	}
	return reply
}

// Status answers a question; nil when the context ends first.
func (b operatorBackend) Status(ctx context.Context, request *protocol.StatusRequest) *protocol.StatusReply {
	body, err := b.shell.AskOperator(ctx, request)
	reply, ok := body.(*protocol.StatusReply)
	if err != nil || !ok {
		return nil
	}
	return reply
}
