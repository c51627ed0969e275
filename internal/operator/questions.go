package operator

import (
	"context"
	"net/http"
	"reflect"
	"slices"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
)

var changeType = reflect.TypeFor[message.Change]()

type statusOutput struct{ Body message.Status }

type filesOutput struct{ Body message.Files }

type membersOutput struct{ Body message.Members }

type differencesOutput struct{ Body message.Differences }

type contentInput struct {
	RawBody []byte `contentType:"text/yaml" doc:"The text of a file"`
}

func (a *API) registerQuestions(served huma.API) {
	huma.Register(served, operation("get-status", http.MethodGet, "/v1/status", "State of versions, zones and files"), a.status)
	huma.Register(served, operation("list-files", http.MethodGet, "/v1/files", "Files of the caller, and others' that export to it"), a.files)
	huma.Register(served, operation("list-members", http.MethodGet, "/v1/members", "Daemons of the mesh"), a.members)
	huma.Register(served, operation("validate-file", http.MethodPost, "/v1/validate", "Check a file without submitting it"), a.validate)
	huma.Register(served, operation("compare-file", http.MethodPost, "/v1/diff", "Compare a file with its accepted revision"), a.compare)
}

func (a *API) status(ctx context.Context, _ *struct{}) (*statusOutput, error) {
	reply, err := a.askAny(ctx)
	if err != nil {
		return nil, err
	}
	return &statusOutput{Body: message.FromStatus(reply)}, nil
}

func (a *API) files(ctx context.Context, _ *struct{}) (*filesOutput, error) {
	reply, err := a.ask(ctx)
	if err != nil {
		return nil, err
	}
	return &filesOutput{Body: message.Files{Files: message.FromStatus(reply).Files}}, nil
}

func (a *API) members(ctx context.Context, _ *struct{}) (*membersOutput, error) {
	reply, err := a.askAny(ctx)
	if err != nil {
		return nil, err
	}
	return &membersOutput{Body: message.FromMembers(reply.Members)}, nil
}

// ask puts the question of the caller and takes only a whole answer.
func (a *API) ask(ctx context.Context) (*protocol.StatusReply, error) {
	reply, err := a.askAny(ctx)
	if err == nil && reply.Code != result.OK {
		return nil, newFailure(message.Refusal(reply.Code, "the question can't be answered now"))
	}
	return reply, err
}

// askAny takes as well what this daemon knows by itself when no reader answers.
// The question is for all partners' files; visible then takes out what the
// caller may not see.
func (a *API) askAny(ctx context.Context) (*protocol.StatusReply, error) {
	bounded, cancel := context.WithTimeout(ctx, StatusTimeout)
	defer cancel()
	request := &protocol.StatusRequest{Format: protocol.Format}
	reply := a.backend.Status(bounded, request)
	if reply == nil {
		return nil, newFailure(message.Refusal(result.NoReader, "no answer came in time"))
	}
	if reply.Code != result.OK && len(reply.Members) == 0 {
		return nil, newFailure(message.Refusal(reply.Code, "the question can't be answered now"))
	}
	return visible(reply, callerOf(ctx)), nil
}

// visible takes out what the partner may not see: of another partner's file it
// is shown the name, the accepted version and the services exported to it, and
// nothing if there are none. A digest of the file would let secrets be guessed.
func visible(reply *protocol.StatusReply, partner resource.Partner) *protocol.StatusReply {
	shown := *reply
	shown.Files = make([]protocol.FileStatus, 0, len(reply.Files))
	for _, file := range reply.Files {
		if file.Partner == partner {
			shown.Files = append(shown.Files, file)
			continue
		}
		usable := lo.Filter(file.Exports, func(export protocol.ExportedService, _ int) bool {
			return slices.Contains(export.Partners, partner)
		})
		if len(usable) == 0 || file.Held {
			continue
		}
		shown.Files = append(shown.Files, protocol.FileStatus{
			Partner: file.Partner, Name: file.Name, Version: file.Version, InForce: file.InForce, Exports: usable,
		})
	}
	return &shown
}

func (a *API) validate(ctx context.Context, input *contentInput) (*answerOutput, error) {
	_, refused := a.parse(ctx, input.RawBody)
	if refused != nil {
		return nil, refused
	}
	return &answerOutput{Status: http.StatusOK, Body: message.Coded(result.OK)}, nil
}

// parse reads a file of the caller's own.
func (a *API) parse(ctx context.Context, text []byte) (*resource.File, error) {
	file, problems := resource.Parse("", text, resource.DefaultLimits())
	if len(problems) > 0 {
		answer := message.Coded(problems[0].Code)
		for _, problem := range problems {
			answer.Errors = append(answer.Errors, message.Problems([]result.Error{*problem})...)
		}
		return nil, newFailure(answer)
	}
	if file.Partner != callerOf(ctx) {
		return nil, newFailure(message.Refusal(result.FileNotYours, "the file belongs to partner "+string(file.Partner)))
	}
	return file, nil
}

func (a *API) compare(ctx context.Context, input *contentInput) (*differencesOutput, error) {
	file, err := a.parse(ctx, input.RawBody)
	if err != nil {
		return nil, err
	}
	reply, err := a.ask(ctx)
	if err != nil {
		return nil, err
	}
	compared, refused := differences(file, reply.Files)
	if refused != nil {
		return nil, refused
	}
	return &differencesOutput{Body: compared}, nil
}
