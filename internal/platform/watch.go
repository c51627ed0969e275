package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

// Watch implements Port. The answer is one JSON object a line; an idle watch
// carries heartbeats, and one that stays silent counts as broken.
func (h *HTTP) Watch(ctx context.Context, prefix string, from object.Version, deliver func(object.Event)) object.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(h.config.WatchSilence, cancel)
	defer silence.Stop()
	response, err := h.openWatch(ctx, prefix, from)
	if err != nil {
		return object.Reply{Code: result.PlatformUnavailable}
	}
	defer response.Body.Close()
	alive := func() { silence.Reset(h.config.WatchSilence) }
	return object.Reply{Code: readWatch(ctx, response.Body, alive, deliver)}
}

// openWatch sends the request of a watch.
func (h *HTTP) openWatch(ctx context.Context, prefix string, from object.Version) (*http.Response, error) {
	query := url.Values{}
	query.Set(ParameterPrefix, prefix)
	query.Set(ParameterFrom, formatVersion(from))
	request, err := h.newRequest(ctx, http.MethodGet, PathWatch, query, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, errors.Errorf("watch answered with status %d", response.StatusCode)
	}
	return response, nil
}

// readWatch delivers the events of a stream and returns why it ended. alive is
// called for each line. A line that can't be decoded ends the watch, since an
// event would be missed otherwise.
func readWatch(ctx context.Context, stream io.Reader, alive func(), deliver func(object.Event)) result.Code {
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	for lines.Scan() {
		alive()
		line, err := decodeEvent(lines.Bytes())
		if err != nil || ctx.Err() != nil {
			return result.PlatformUnavailable
		}
		switch line.Kind {
		case WireHeartbeat:
		case WireEnd:
			return line.Code
		default:
			deliver(line.event())
		}
	}
	return result.PlatformUnavailable
}

// decodeEvent decodes and checks one line of a watch.
func decodeEvent(line []byte) (WireEvent, error) {
	var wire WireEvent
	if err := json.Unmarshal(line, &wire); err != nil {
		return WireEvent{}, errors.Trace(err)
	}
	switch wire.Kind {
	case WireHeartbeat:
	case WireEnd:
		if wire.Code == result.OK || !isPlatformCode(wire.Code) {
			return WireEvent{}, errors.NotValidf("end code %d", wire.Code)
		}
	case WirePut, WireDelete:
		if wire.Object == nil || wire.Object.Name == "" || wire.Object.Version == 0 {
			return WireEvent{}, errors.NotValidf("event without object")
		}
	default:
		return WireEvent{}, errors.NotValidf("event kind")
	}
	return wire, nil
}

// event returns the watch event of a put or delete line.
func (w WireEvent) event() object.Event {
	kind := object.EventPut
	if w.Kind == WireDelete {
		kind = object.EventDelete
	}
	return object.Event{Kind: kind, Object: w.Object.decode()}
}
