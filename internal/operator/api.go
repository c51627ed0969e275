package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/operator/message"
	"github.com/springstack/springstack/internal/result"
)

// Backend carries changes and questions to a reader.
type Backend interface {
	// Submit carries out a change. It answers OutcomeUnknown, or nil, when the
	// context ends before the outcome is known.
	Submit(ctx context.Context, request *protocol.SubmitRequest) *protocol.SubmitReply
	// Status answers a question; nil when the context ends first.
	Status(ctx context.Context, request *protocol.StatusRequest) *protocol.StatusReply
}

// Bounds of one call.
const (
	// SubmitTimeout is how long a change may take before its outcome is unknown.
	// It is longer than a reader and the way to it take to say that a change
	// was not accepted.
	SubmitTimeout = 14 * time.Second
	// StatusTimeout is how long a question may take.
	StatusTimeout = 5 * time.Second
	// maxBody leaves room for a whole file quoted in JSON.
	maxBody = 1 << 20
	// bearer names the security scheme in the OpenAPI document.
	bearer = "bearer"
)

// API is the operators' API.
type API struct {
	backend Backend
	access  *Access
}

// New returns the handler of the operators' API, with its OpenAPI document at
// /openapi.json.
func New(backend Backend, access *Access) http.Handler {
	api := &API{backend: backend, access: access}
	installErrors()
	config := huma.DefaultConfig("springstack operators' API", "1")
	config.DocsPath = ""
	config.SchemasPath = ""
	config.CreateHooks = nil
	config.Components.SecuritySchemes = map[string]*huma.SecurityScheme{
		bearer: {Type: "http", Scheme: "bearer", Description: "A partner's token"},
	}
	mux := http.NewServeMux()
	served := humago.New(mux, config)
	served.UseMiddleware(api.authenticate)
	api.registerChanges(served)
	api.registerQuestions(served)
	return mux
}

// partnerKey is the context key of the authenticated partner.
type partnerKey struct{}

// authenticate refuses calls without a known token.
func (a *API) authenticate(ctx huma.Context, next func(huma.Context)) {
	partner, known := a.access.Partner(ctx.Header("Authorization"))
	if !known {
		refusal := newFailure(message.Refusal(result.Unauthenticated, "no known bearer token was given"))
		ctx.SetHeader("WWW-Authenticate", "Bearer")
		writeFailure(ctx, refusal)
		return
	}
	next(huma.WithValue(ctx, partnerKey{}, partner))
}

func callerOf(ctx context.Context) resource.Partner {
	partner, _ := ctx.Value(partnerKey{}).(resource.Partner)
	return partner
}

// operation returns what all operations of the API share.
func operation(id, method, path, summary string) huma.Operation {
	return huma.Operation{
		OperationID:  id,
		Method:       method,
		Path:         path,
		Summary:      summary,
		MaxBodyBytes: maxBody,
		Security:     []map[string][]string{{bearer: {}}},
	}
}
