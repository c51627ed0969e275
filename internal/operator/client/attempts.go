package client

import (
	"encoding/json"
	"net/url"
	"slices"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
)

// failure is a call that did not succeed.
type failure struct {
	answer message.Answer
	// answered is set when the server itself refused.
	answered bool
	// sent is set when the server may have taken the call.
	sent bool
}

// transientCodes are refusals that another server, or the same one later, may
// not repeat.
var transientCodes = []result.Code{
	result.OutcomeUnknown, result.NotAccepted, result.NoReader, result.AskAnother, result.Overloaded,
	result.NotReadyYet, result.BelowFloor, result.PlatformUnavailable, result.PlatformUnknown, result.Unreachable,
}

func (f *failure) transient() bool { return slices.Contains(transientCodes, f.answer.Code) }

// notSent says that a call never left.
func notSent(server string, err error) *failure {
	answer := message.Refusal(result.Unreachable, server+": "+reason(err))
	answer.Ran = result.RanNo
	return &failure{answer: answer}
}

// unanswered says that no whole answer came. Only a call that never got a
// connection is certain not to have been taken.
func unanswered(server string, connected bool, err error) *failure {
	if !connected {
		return notSent(server, err)
	}
	return &failure{answer: message.Refusal(result.Unreachable, server+": "+reason(err)), sent: true}
}

// reason leaves out the method and URL that net/http puts before an error.
func reason(err error) string {
	var wrapped *url.Error
	if errors.As(err, &wrapped) {
		return wrapped.Err.Error()
	}
	return err.Error()
}

// refused reads a server's refusal. A body that is not one, as from something
// between, leaves the outcome open.
func refused(server string, body []byte) *failure {
	var answer message.Answer
	if err := json.Unmarshal(body, &answer); err != nil || answer.Code == result.OK {
		return &failure{answer: message.Refusal(result.Unreachable, server+": the answer is not springstack's"), sent: true}
	}
	return &failure{answer: answer, answered: true, sent: true}
}

// attempts follows one operation over several sends.
type attempts struct {
	operation string
	// uncertain is set once a send may have taken effect without saying so.
	uncertain bool
	last      message.Answer
}

// add notes one attempt and returns the answer once the outcome is known.
func (a *attempts) add(answer message.Answer, failed *failure) *message.Answer {
	answer.Operation = a.operation
	a.last = answer
	if failed == nil {
		return &answer
	}
	if failed.sent && answer.Ran != result.RanNo {
		a.uncertain = true
	}
	if failed.transient() {
		return nil
	}
	settled := a.final()
	return &settled
}

// notAccepted reports that a server tried in vain, for as long as it does, and
// that nothing has run. A further send that is cut short would make that
// uncertain.
func (a *attempts) notAccepted() bool {
	inVain := a.last.Code == result.NotAccepted || a.last.Code == result.NoReader
	return inVain && !a.uncertain
}

// final returns what can be said truthfully. A refusal that follows a send
// whose answer was lost does not prove that the first send never takes effect.
func (a *attempts) final() message.Answer {
	if !a.uncertain || a.last.Code == result.OutcomeUnknown {
		return a.last
	}
	answer := message.Refusal(result.OutcomeUnknown, "the answer to an earlier send of this operation was lost")
	answer.Operation = a.operation
	answer.Errors = append(answer.Errors, a.last.Errors...)
	return answer
}
