package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/operator"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
)

// scripted answers with what the test put in and remembers what was asked.
type scripted struct {
	submit *protocol.SubmitReply
	status *protocol.StatusReply
	asked  *protocol.SubmitRequest
}

func (s *scripted) Submit(_ context.Context, request *protocol.SubmitRequest) *protocol.SubmitReply {
	s.asked = request
	return s.submit
}

func (s *scripted) Status(context.Context, *protocol.StatusRequest) *protocol.StatusReply {
	return s.status
}

const content = "partner: a\nname: f\n"

const operationID = "1767225600000-9f86d081884c7d65"

func serve(t *testing.T, backend operator.Backend) http.Handler {
	t.Helper()
	access, err := operator.NewAccess([]operator.Grant{
		{Partner: "a", TokenDigest: operator.TokenDigest("token-a")},
		{Partner: "b", TokenDigest: operator.TokenDigest("token-b")},
	})
	if err != nil {
		t.Fatal(err)
	}
	return operator.New(backend, access)
}

func call(handler http.Handler, method, target, token, contentType, body string) (int, message.Answer) {
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	var answer message.Answer
	_ = json.Unmarshal(recorder.Body.Bytes(), &answer)
	return recorder.Code, answer
}

func TestRefusalsAreNumbered(t *testing.T) {
	backend := &scripted{}
	handler := serve(t, backend)
	const file = "/v1/files/a/f?operation=" + operationID
	cases := []struct {
		name, method, target, token, contentType, body string
		code                                           result.Code
	}{
		{"no token", "PUT", file, "", "", "x", result.Unauthenticated},
		{"wrong token", "PUT", file, "token-c", "", "x", result.Unauthenticated},
		{"other partner's file", "PUT", file, "token-b", "text/yaml", "x", result.Forbidden},
		{"bad name", "PUT", "/v1/files/a/F", "token-a", "text/yaml", "x", result.UsageError},
		{"bad action", "PUT", file + "&action=withdraw", "token-a", "text/yaml", "x", result.UsageError},
		{"bad expectation", "PUT", file + "&expect=-1", "token-a", "text/yaml", "x", result.UsageError},
		{"bad envelope", "PUT", file, "token-a", "application/json", `{"colour":1}`, result.UsageError},
		{"envelope that withdraws", "PUT", file, "token-a", "application/json", `{"action":"withdraw"}`, result.UsageError},
		{"large body", "PUT", file, "token-a", "text/yaml", strings.Repeat("x", 2<<20), result.RequestTooLarge},
		{"no operation", "DELETE", "/v1/files/a/f", "token-a", "", "", result.UsageError},
		{"bad file", "PUT", file, "token-a", "text/yaml", "x", result.FileWrongType},
		{"bad operation", "PUT", "/v1/files/a/f?operation=1", "token-a", "text/yaml", content, result.UsageError},
		{"no answer", "PUT", file, "token-a", "text/yaml", content, result.OutcomeUnknown},
		{"invalid file", "POST", "/v1/validate", "token-a", "text/yaml", "x: 1", result.FileUnknownField},
		{"other's file", "POST", "/v1/validate", "token-a", "text/yaml", "partner: b\nname: f\n", result.FileNotYours},
		{"no status", "GET", "/v1/status", "token-a", "", "", result.NoReader},
	}
	for _, example := range cases {
		t.Run(example.name, func(t *testing.T) {
			is := is.New(t)
			status, answer := call(handler, example.method, example.target, example.token, example.contentType, example.body)
			entry, _ := result.Lookup(example.code)
			is.Equal(answer.Code, example.code)
			is.Equal(answer.Name, entry.Name)
			is.Equal(answer.Ran, entry.Ran)
			is.True(status >= 400)
			is.True(len(answer.Errors) > 0 && answer.Errors[0].Detail != "" && answer.Errors[0].Mend != "")
		})
	}
}

func TestBothFormsOfASubmissionAskTheSame(t *testing.T) {
	is := is.New(t)
	backend := &scripted{submit: &protocol.SubmitReply{Code: result.Held, Revision: 4, WaitsFor: []string{"x"}}}
	handler := serve(t, backend)
	status, answer := call(handler, "PUT", "/v1/files/a/f?expect=3&action=replace&operation="+operationID, "token-a", "text/yaml", content)
	is.Equal(status, http.StatusAccepted)
	is.Equal(answer.Operation, operationID)
	is.Equal(answer.WaitsFor, []string{"x"})
	first := backend.asked
	is.Equal(first.Partner, resource.Partner("a"))
	is.Equal(first.Expect, protocol.Expectation{Given: true, Revision: 3})
	envelope := `{"operation":"` + operationID + `","action":"replace","expect":3,"content":"partner: a\nname: f\n"}`
	status, _ = call(handler, "PUT", "/v1/files/a/f", "token-a", "application/json", envelope)
	is.Equal(status, http.StatusAccepted)
	is.Equal(backend.asked, first)
	status, _ = call(handler, "DELETE", "/v1/files/a/f?operation="+operationID, "token-a", "", "")
	is.Equal(status, http.StatusAccepted)
	is.Equal(backend.asked.Action, protocol.ActionWithdraw)
	is.Equal(backend.asked.Expect, protocol.Expectation{})
}

func TestOthersFilesShowOnlyExports(t *testing.T) {
	is := is.New(t)
	backend := &scripted{status: &protocol.StatusReply{Files: []protocol.FileStatus{
		{Partner: "a", Name: "own", Digest: "d1"},
		{Partner: "b", Name: "private", Digest: "d2"},
		{Partner: "b", Name: "held", Held: true, Exports: []protocol.ExportedService{{Name: "s", Partners: []resource.Partner{"a"}}}},
		{Partner: "b", Name: "shared", Digest: "d3", Exports: []protocol.ExportedService{
			{Name: "s", Partners: []resource.Partner{"a"}}, {Name: "t", Partners: []resource.Partner{"c"}},
		}, WaitsFor: []string{"hidden"}, Version: 7},
	}}}
	request := httptest.NewRequest(http.MethodGet, "/v1/files", nil)
	request.Header.Set("Authorization", "bearer token-a")
	recorder := httptest.NewRecorder()
	serve(t, backend).ServeHTTP(recorder, request)
	var files message.Files
	is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &files))
	is.Equal(len(files.Files), 2)
	is.Equal(files.Files[0].Digest, "d1")
	is.Equal(files.Files[1], message.File{Partner: "b", Name: "shared", State: message.FileAccepted, Version: 7, Exports: []string{"s"}})
	is.True(!strings.Contains(recorder.Body.String(), "hidden"))
}

func TestWithoutReaderOnlyWhatIsKnownIsTold(t *testing.T) {
	is := is.New(t)
	backend := &scripted{status: &protocol.StatusReply{Code: result.NoReader, Members: []protocol.Member{{ID: "n1"}}}}
	handler := serve(t, backend)
	for target, want := range map[string]int{"/v1/status": 200, "/v1/members": 200, "/v1/files": 503} {
		status, _ := call(handler, http.MethodGet, target, "token-a", "", "")
		is.Equal(status, want)
	}
	status, answer := call(handler, http.MethodPost, "/v1/diff", "token-a", "text/yaml", content)
	is.Equal(status, 503)
	is.Equal(answer.Code, result.NoReader)
}

func TestOpenAPIListsEveryOperation(t *testing.T) {
	is := is.New(t)
	recorder := httptest.NewRecorder()
	serve(t, &scripted{}).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/openapi.json", nil))
	is.Equal(recorder.Code, http.StatusOK)
	for _, id := range []string{"submit-file", "withdraw-file", "get-status", "list-files", "list-members", "validate-file", "compare-file"} {
		is.True(strings.Contains(recorder.Body.String(), id))
	}
}

func TestGrantsAreChecked(t *testing.T) {
	is := is.New(t)
	for _, grant := range []operator.Grant{
		{Partner: "A", TokenDigest: operator.TokenDigest("t")},
		{Partner: "a", TokenDigest: "t"},
		{Partner: "a", TokenDigest: "abcd"},
	} {
		_, err := operator.NewAccess([]operator.Grant{grant})
		is.True(err != nil)
	}
}
