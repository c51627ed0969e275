package proxy

import (
	"io"
	"net/http"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/routing"
	"github.com/springstack/springstack/internal/result"
)

// CallerHandler takes callers' requests.
func (p *Proxy) CallerHandler() http.Handler {
	return http.HandlerFunc(p.serveCaller)
}

func (p *Proxy) serveCaller(writer http.ResponseWriter, request *http.Request) {
	current := p.view.Load()
	if current.snapshot == nil || int64(p.config.Clock()) >= p.servingUntil.Load() {
		Refusal{Code: result.NotServing}.write(writer)
		return
	}
	path, canonical := routing.CanonicalPath(request.URL.EscapedPath())
	if !canonical {
		Refusal{Code: result.RequestMalformed}.write(writer)
		return
	}
	query := routing.Query{Method: request.Method, Host: request.Host, Path: path, Header: request.Header.Get}
	route := current.table.Find(query)
	if route == nil {
		Refusal{Code: result.NoRoute}.write(writer)
		return
	}
	address, found := current.address(route.Pick(0))
	if !found {
		Refusal{Code: result.NoEndpoint}.write(writer)
		return
	}
	p.forward(writer, request, address, route)
}

func (v *view) address(service resource.ServiceRef) (string, bool) {
	for _, backend := range v.snapshot.Backends[service] {
		for _, member := range v.members {
			if member.Backend == backend.Name && member.Service == service && member.Endpoint == protocol.EndpointReady {
				return member.DataAddress, true
			}
		}
	}
	for _, backend := range v.snapshot.Backends[service] {
		return backend.Address, true
	}
	return "", false
}

func (p *Proxy) forward(writer http.ResponseWriter, request *http.Request, address string, route *routing.Route) {
	outgoing := request.Clone(request.Context())
	outgoing.RequestURI = ""
	outgoing.URL.Scheme = "http"
	outgoing.URL.Host = address
	stripHopByHop(outgoing.Header)
	stripOwn(outgoing.Header)
	if route != nil {
		outgoing.Header.Set(headerHop, hopGate)
		if route.SecretHeader != "" {
			outgoing.Header.Set(route.SecretHeader, route.SecretText.Reveal())
		}
	}
	answer, err := p.transport.RoundTrip(outgoing)
	if err != nil {
		Refusal{Code: result.BrokenInFlight}.write(writer)
		return
	}
	defer answer.Body.Close()
	for name, values := range answer.Header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(answer.StatusCode)
	if _, err := io.Copy(writer, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
