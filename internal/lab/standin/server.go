package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/platform"
	"github.com/springstack/springstack/internal/result"
)

// The bounds of the HTTP server. A body may be larger than the object limit,
// so that values beyond the limit are refused by their code.
const (
	maxBodyBytes      = 64 << 20
	bodyReadTimeout   = 30 * time.Second
	headerReadTimeout = 10 * time.Second
)

// Server serves a Service over HTTP.
type Server struct {
	service   *Service
	handler   http.Handler
	server    *http.Server
	heartbeat time.Duration
}

// NewServer returns a server; nothing is listened on yet.
func NewServer(service *Service) *Server {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("Springstack platform stand-in", "1")
	config.CreateHooks = nil // no $schema member in answers
	api := humago.New(mux, config)
	s := &Server{service: service, handler: mux, heartbeat: DefaultHeartbeat}
	s.registerCalls(api)
	s.registerWatch(api)
	s.registerLab(api)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerReadTimeout}
	return s
}

// Handler returns the HTTP handler, for servers of the caller's own.
func (s *Server) Handler() http.Handler { return s.handler }

// Start listens on an address such as 127.0.0.1:0 and serves until Close. It
// returns the base URL.
func (s *Server) Start(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Annotate(err, "listening")
	}
	go s.server.Serve(listener)
	return "http://" + listener.Addr().String(), nil
}

// Close ends the server and all its connections.
func (s *Server) Close() error { return s.server.Close() }

// ClientInput is the header by which readers are counted. The embedded inputs
// are exported because huma fills in no others.
type ClientInput struct {
	Client string `header:"Platform-Client" default:"unnamed"`
}

// NameInput names one object.
type NameInput struct {
	ClientInput
	Name string `query:"name" required:"true" minLength:"1"`
}

type prefixInput struct {
	ClientInput
	Prefix string `query:"prefix"`
}

// CreateInput carries the value of one object.
type CreateInput struct {
	NameInput
	Body platform.WireValue
}

type updateInput struct {
	CreateInput
	Expect uint64 `query:"expect" required:"true"`
}

type deleteInput struct {
	NameInput
	Expect uint64 `query:"expect" required:"true"`
}

type replyOutput struct {
	Status int
	Body   platform.WireReply
}

// registerCalls registers the object API and the machine list.
func (s *Server) registerCalls(api huma.API) {
	huma.Register(api, operation("get-object", http.MethodGet, platform.PathObject),
		func(ctx context.Context, input *NameInput) (*replyOutput, error) {
			return s.answer(ctx, input.Client, object.Call{Kind: object.CallGet, Name: input.Name})
		})
	huma.Register(api, operation("list-objects", http.MethodGet, platform.PathObjects),
		func(ctx context.Context, input *prefixInput) (*replyOutput, error) {
			return s.answer(ctx, input.Client, object.Call{Kind: object.CallList, Name: input.Prefix})
		})
	huma.Register(api, operation("list-machines", http.MethodGet, platform.PathMachines),
		func(ctx context.Context, input *ClientInput) (*replyOutput, error) {
			return s.answer(ctx, input.Client, object.Call{Kind: object.CallMachines})
		})
	huma.Register(api, operation("create-object", http.MethodPost, platform.PathObject),
		func(ctx context.Context, input *CreateInput) (*replyOutput, error) {
			call := object.Call{Kind: object.CallCreate, Name: input.Name, Data: input.Body.Data}
			return s.answer(ctx, input.Client, call)
		})
	huma.Register(api, operation("update-object", http.MethodPut, platform.PathObject),
		func(ctx context.Context, input *updateInput) (*replyOutput, error) {
			call := object.Call{Kind: object.CallUpdate, Name: input.Name, Data: input.Body.Data, Expect: object.Version(input.Expect)}
			return s.answer(ctx, input.Client, call)
		})
	huma.Register(api, operation("delete-object", http.MethodDelete, platform.PathObject),
		func(ctx context.Context, input *deleteInput) (*replyOutput, error) {
			call := object.Call{Kind: object.CallDelete, Name: input.Name, Expect: object.Version(input.Expect)}
			return s.answer(ctx, input.Client, call)
		})
}

func operation(id, method, path string) huma.Operation {
	return huma.Operation{
		OperationID:     id,
		Method:          method,
		Path:            path,
		MaxBodyBytes:    maxBodyBytes,
		BodyReadTimeout: bodyReadTimeout,
	}
}

// answer carries out a call. A lost answer breaks the connection, as a real
// platform's failure would.
func (s *Server) answer(ctx context.Context, client string, call object.Call) (*replyOutput, error) {
	done := s.service.carryOut(ctx, client, call)
	if done.lost {
		panic(http.ErrAbortHandler)
	}
	entry, _ := result.Lookup(done.reply.Code)
	return &replyOutput{Status: entry.HTTPStatus, Body: platform.EncodeReply(done.reply)}, nil
}
