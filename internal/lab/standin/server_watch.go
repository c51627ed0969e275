package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/platform"
)

// DefaultHeartbeat is how often an idle watch carries a heartbeat, and
// watchWriteTimeout is how long a client may take to accept one line.
const (
	DefaultHeartbeat  = 4 * time.Second
	watchWriteTimeout = 10 * time.Second
)

type watchInput struct {
	ClientInput
	Prefix string `query:"prefix"`
	From   uint64 `query:"from" required:"true"`
}

// registerWatch registers the watch, a stream of one JSON object a line.
func (s *Server) registerWatch(api huma.API) {
	huma.Register(api, operation("watch-objects", http.MethodGet, platform.PathWatch),
		func(_ context.Context, input *watchInput) (*huma.StreamResponse, error) {
			return &huma.StreamResponse{Body: func(ctx huma.Context) { s.stream(ctx, input) }}, nil
		})
}

// stream runs one watch until it ends or the client goes away.
func (s *Server) stream(humaContext huma.Context, input *watchInput) {
	_, response := humago.Unwrap(humaContext)
	ctx, cancel := context.WithCancel(humaContext.Context())
	defer cancel()
	response.Header().Set("Content-Type", "application/x-ndjson")
	lines := &lineWriter{response: response, cancel: cancel}
	s.sendHeartbeat(lines)
	var beats sync.WaitGroup
	beats.Go(func() { s.beat(ctx, lines) })
	reply := s.service.Watch(ctx, input.Client, input.Prefix, object.Version(input.From), func(event object.Event) {
		lines.write(platform.EncodeEvent(event))
	})
	lines.write(platform.WireEvent{Kind: platform.WireEnd, Code: reply.Code})
	cancel()
	beats.Wait()
}

// beat sends heartbeats until ctx ends.
func (s *Server) beat(ctx context.Context, lines *lineWriter) {
	ticker := time.NewTicker(s.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.sendHeartbeat(lines)
		}
	}
}

// sendHeartbeat writes a heartbeat, except in a silent outage.
func (s *Server) sendHeartbeat(lines *lineWriter) {
	if s.service.Faults().Outage != OutageSilent {
		lines.write(platform.WireEvent{Kind: platform.WireHeartbeat})
	}
}

// lineWriter writes whole lines, one at a time; a failure ends the watch.
type lineWriter struct {
	mutex    sync.Mutex
	response http.ResponseWriter
	cancel   context.CancelFunc
}

func (w *lineWriter) write(event platform.WireEvent) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	controller := http.NewResponseController(w.response)
	controller.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	if json.NewEncoder(w.response).Encode(event) != nil || controller.Flush() != nil {
		w.cancel()
	}
}
