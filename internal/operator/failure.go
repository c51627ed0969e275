package operator

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
)

// failure is an answer that travels as an error with its code's HTTP status.
type failure struct {
	message.Answer
	status int
}

func newFailure(answer message.Answer) *failure {
	return &failure{Answer: answer, status: statusOf(answer.Code)}
}

// Error returns the code's name and the details.
func (f *failure) Error() string {
	details := lo.Map(f.Errors, func(problem message.Problem, _ int) string { return problem.Detail })
	return f.Name + ": " + strings.Join(details, "; ")
}

// GetStatus returns the HTTP status.
func (f *failure) GetStatus() int { return f.status }

func statusOf(code result.Code) int {
	entry, found := result.Lookup(code)
	if !found {
		return http.StatusInternalServerError
	}
	return entry.HTTPStatus
}

// installErrors makes huma's own refusals, such as for a bad parameter, carry
// a numbered code like all others. huma keeps this as a package variable.
var installErrors = sync.OnceFunc(func() {
	huma.NewError = func(status int, text string, causes ...error) huma.StatusError {
		answer := message.Refusal(codeOf(status), text)
		for _, cause := range causes {
			if cause != nil {
				answer.Errors = append(answer.Errors, problemOf(answer.Errors[0], cause))
			}
		}
		return &failure{Answer: answer, status: status}
	}
})

// problemOf words a cause without the value that it found, which may be secret.
func problemOf(first message.Problem, cause error) message.Problem {
	problem := first
	detailer, isDetailer := cause.(huma.ErrorDetailer)
	if isDetailer {
		detail := detailer.ErrorDetail()
		problem.Field = detail.Location
		problem.Detail = detail.Message
	}
	return problem
}

func codeOf(status int) result.Code {
	switch status {
	case http.StatusRequestEntityTooLarge:
		return result.RequestTooLarge
	case http.StatusRequestTimeout:
		return result.SlowPeer
	case http.StatusInternalServerError:
		return result.Internal
	default:
		return result.UsageError
	}
}

func writeFailure(ctx huma.Context, refused *failure) {
	ctx.SetHeader("Content-Type", "application/json")
	ctx.SetStatus(refused.status)
	_ = json.NewEncoder(ctx.BodyWriter()).Encode(refused.Answer)
}
