package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
)

// jsonType is the content type of the JSON envelope.
const jsonType = "application/json"

// answerOutput is the answer to a change.
type answerOutput struct {
	Status int
	Body   message.Answer
}

type submitInput struct {
	Partner     string `path:"partner" doc:"Partner that owns the file"`
	Name        string `path:"name" doc:"Name of the file"`
	Operation   string `query:"operation" doc:"Operation id, for text/yaml"`
	Action      string `query:"action" enum:"submit,replace" default:"submit" doc:"For text/yaml"`
	Expect      string `query:"expect" doc:"Revision that the operator saw, for text/yaml; left out for any"`
	ContentType string `header:"Content-Type"`
	RawBody     []byte `contentType:"text/yaml" doc:"The file, or a JSON envelope"`
}

type withdrawInput struct {
	Partner   string `path:"partner" doc:"Partner that owns the file"`
	Name      string `path:"name" doc:"Name of the file"`
	Operation string `query:"operation" required:"true" doc:"Operation id"`
	Expect    string `query:"expect" doc:"Revision that the operator saw; left out for any"`
}

func (a *API) registerChanges(served huma.API) {
	submit := operation("submit-file", http.MethodPut, "/v1/files/{partner}/{name}", "Submit or replace a whole file")
	schema := served.OpenAPI().Components.Schemas.Schema(changeType, true, "")
	// The body is checked by readChange: huma knows no validation of YAML.
	submit.SkipValidateBody = true
	submit.RequestBody = &huma.RequestBody{
		Required: true,
		Content: map[string]*huma.MediaType{
			"text/yaml": {Schema: &huma.Schema{Type: huma.TypeString}},
			jsonType:    {Schema: schema},
		},
	}
	huma.Register(served, submit, a.submit)
	withdraw := operation("withdraw-file", http.MethodDelete, "/v1/files/{partner}/{name}", "Withdraw a whole file")
	huma.Register(served, withdraw, a.withdraw)
}

func (a *API) submit(ctx context.Context, input *submitInput) (*answerOutput, error) {
	change, err := readChange(input)
	if err != nil {
		return nil, err
	}
	return a.carry(ctx, input.Partner, &protocol.SubmitRequest{
		Operation: change.Operation,
		Action:    protocol.Action(change.Action),
		File:      input.Name,
		Expect:    protocol.ExpectationOf(change.Expect),
		Content:   []byte(change.Content),
	})
}

func (a *API) withdraw(ctx context.Context, input *withdrawInput) (*answerOutput, error) {
	expect, err := readExpect(input.Expect)
	if err != nil {
		return nil, err
	}
	return a.carry(ctx, input.Partner, &protocol.SubmitRequest{
		Operation: input.Operation,
		Action:    protocol.ActionWithdraw,
		File:      input.Name,
		Expect:    protocol.ExpectationOf(expect),
	})
}

// carry checks who asks and passes the change on.
func (a *API) carry(ctx context.Context, partner string, request *protocol.SubmitRequest) (*answerOutput, error) {
	request.Format = protocol.Format
	request.Partner = callerOf(ctx)
	if resource.Partner(partner) != request.Partner {
		return nil, newFailure(message.Refusal(result.Forbidden, "the token does not act for partner "+strconv.Quote(partner)))
	}
	if !resource.ValidName(request.File) {
		return nil, newFailure(message.Refusal(result.UsageError, "the name in the path is not a file name"))
	}
	// The reader checks again; here a bad file costs no other daemon any time.
	if _, refused := ledger.Prepare(request, time.Now(), 0); refused != nil {
		return nil, newFailure(message.FromReply(request.Operation, refused))
	}
	bounded, cancel := context.WithTimeout(ctx, SubmitTimeout)
	defer cancel()
	reply := a.backend.Submit(bounded, request)
	if reply == nil {
		answer := message.Refusal(result.OutcomeUnknown, "no answer came in time")
		answer.Operation = request.Operation
		return nil, newFailure(answer)
	}
	answer := message.FromReply(request.Operation, reply)
	return &answerOutput{Status: statusOf(reply.Code), Body: answer}, nil
}

// readChange reads either form of a submission.
func readChange(input *submitInput) (message.Change, error) {
	mediaType, _, _ := mime.ParseMediaType(input.ContentType)
	if mediaType == jsonType {
		return readEnvelope(input.RawBody)
	}
	expect, err := readExpect(input.Expect)
	if err != nil {
		return message.Change{}, err
	}
	change := message.Change{Operation: input.Operation, Action: input.Action, Expect: expect, Content: string(input.RawBody)}
	return change, nil
}

func readEnvelope(body []byte) (message.Change, error) {
	change := message.Change{Action: string(protocol.ActionSubmit)}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		return change, newFailure(message.Refusal(result.UsageError, "the body is not the JSON of a change"))
	}
	if change.Action == string(protocol.ActionWithdraw) {
		return change, newFailure(message.Refusal(result.UsageError, "a file is withdrawn with DELETE"))
	}
	return change, nil
}

func readExpect(text string) (*uint64, error) {
	if text == "" {
		return nil, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, newFailure(message.Refusal(result.UsageError, "expect is not a revision"))
	}
	return &revision, nil
}
