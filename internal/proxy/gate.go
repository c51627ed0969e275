package proxy

import (
	"net/http"

	"github.com/springstack/springstack/internal/result"
)

// GateHandler takes calls from other daemons to the back end beside this one.
func (p *Proxy) GateHandler() http.Handler {
	return http.HandlerFunc(p.serveGate)
}

func (p *Proxy) serveGate(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get(headerHop) != hopGate || p.config.Backend == "" {
		Refusal{Code: result.WrongBackend}.write(writer)
		return
	}
	p.running.Add(1)
	defer func() {
		p.running.Add(-1)
		p.checkDrained()
	}()
	if p.draining.Load() {
		Refusal{Code: result.Draining}.write(writer)
		return
	}
	p.forward(writer, request, p.config.BackendAddress, nil)
}
