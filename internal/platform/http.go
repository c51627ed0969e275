package platform

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

// HTTPConfig configures the HTTP adapter. Zero fields take their defaults.
type HTTPConfig struct {
	// URL is the base of the platform's service, such as http://10.0.0.1:7000.
	URL string
	// Client is the id by which the platform counts readers.
	Client string
	// TLS is used for https; nil means the system's authorities.
	TLS *tls.Config
	// Timeout bounds one call; the default is 10 s.
	Timeout time.Duration
	// WatchSilence is how long a watch may be silent, heartbeats included,
	// before it counts as broken; the default is 15 s.
	WatchSilence time.Duration
	// ReplyBytes bounds an answer; the default is 256 MiB, since a list carries
	// many objects.
	ReplyBytes int64
}

// The defaults of HTTPConfig, and the bound of a watch event's line.
const (
	DefaultTimeout      = 10 * time.Second
	DefaultWatchSilence = 15 * time.Second
	DefaultReplyBytes   = 256 << 20
	// MaxEventBytes bounds one line of a watch: an object of 1 MiB in base64,
	// with room for its name.
	MaxEventBytes = 2 << 20
)

// HTTP is the Port of a platform that is reached over HTTP.
type HTTP struct {
	config HTTPConfig
	base   *url.URL
	client *http.Client
}

// NewHTTP returns the adapter. It opens no connection yet.
func NewHTTP(config HTTPConfig) (*HTTP, error) {
	base, err := url.Parse(config.URL)
	if err != nil {
		return nil, errors.Annotate(err, "platform URL")
	}
	config.setDefaults()
	transport := &http.Transport{
		TLSClientConfig:     config.TLS,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
		TLSHandshakeTimeout: config.Timeout,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return &HTTP{config: config, base: base, client: client}, nil
}

func (c *HTTPConfig) setDefaults() {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.WatchSilence == 0 {
		c.WatchSilence = DefaultWatchSilence
	}
	if c.ReplyBytes == 0 {
		c.ReplyBytes = DefaultReplyBytes
	}
}

// refuseRedirect hands a redirect back as it is: following one could send a
// change twice.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Do implements Port. The code is PlatformUnavailable only if the request
// never got a connection or the platform itself says so; in every other
// failure it may have had its effect, and the code is PlatformUnknown.
func (h *HTTP) Do(ctx context.Context, call object.Call) object.Reply {
	ctx, cancel := context.WithTimeout(ctx, h.config.Timeout)
	defer cancel()
	var left atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, leavingTrace(&left))
	request, err := h.request(ctx, call)
	if err != nil {
		return object.Reply{Code: result.Internal}
	}
	response, err := h.client.Do(request)
	if err != nil {
		return object.Reply{Code: failureCode(left.Load())}
	}
	defer response.Body.Close()
	reply, err := readReply(response.Body, h.config.ReplyBytes)
	if err != nil {
		return object.Reply{Code: result.PlatformUnknown}
	}
	return reply
}

// leavingTrace notes whether the request may have left. net/http asks for a
// second connection for a POST, PUT or DELETE only if it wrote nothing to the
// first, so GetConn takes the note back.
func leavingTrace(left *atomic.Bool) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { left.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { left.Store(true) },
	}
}

// failureCode is the code of a call without an answer.
func failureCode(left bool) result.Code {
	if left {
		return result.PlatformUnknown
	}
	return result.PlatformUnavailable
}

// request builds the HTTP request of a call.
func (h *HTTP) request(ctx context.Context, call object.Call) (*http.Request, error) {
	query := url.Values{}
	switch call.Kind {
	case object.CallGet:
		query.Set(ParameterName, call.Name)
		return h.newRequest(ctx, http.MethodGet, PathObject, query, nil)
	case object.CallList:
		query.Set(ParameterPrefix, call.Name)
		return h.newRequest(ctx, http.MethodGet, PathObjects, query, nil)
	case object.CallMachines:
		return h.newRequest(ctx, http.MethodGet, PathMachines, query, nil)
	case object.CallCreate:
		query.Set(ParameterName, call.Name)
		return h.newRequest(ctx, http.MethodPost, PathObject, query, call.Data)
	case object.CallUpdate:
		setExpected(query, call)
		return h.newRequest(ctx, http.MethodPut, PathObject, query, call.Data)
	case object.CallDelete:
		setExpected(query, call)
		return h.newRequest(ctx, http.MethodDelete, PathObject, query, nil)
	default:
		return nil, errors.NotSupportedf("platform call %d", call.Kind)
	}
}

func setExpected(query url.Values, call object.Call) {
	query.Set(ParameterName, call.Name)
	query.Set(ParameterExpect, formatVersion(call.Expect))
}

func formatVersion(version object.Version) string { return strconv.FormatUint(uint64(version), 10) }

// newRequest builds a request; only POST and PUT carry a value.
func (h *HTTP) newRequest(ctx context.Context, method, path string, query url.Values, data []byte) (*http.Request, error) {
	target := h.base.JoinPath(path)
	target.RawQuery = query.Encode()
	var body io.Reader
	if method == http.MethodPost || method == http.MethodPut {
		encoded, err := json.Marshal(WireValue{Data: data})
		if err != nil {
			return nil, errors.Trace(err)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set(ClientHeader, h.config.Client)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// readReply decodes an answer of at most limit bytes.
func readReply(body io.Reader, limit int64) (object.Reply, error) {
	var wire WireReply
	if err := json.NewDecoder(io.LimitReader(body, limit)).Decode(&wire); err != nil {
		return object.Reply{}, errors.Trace(err)
	}
	if !wire.Answered || !isPlatformCode(wire.Code) {
		return object.Reply{}, errors.NotValidf("answer of the platform")
	}
	return wire.decode(), nil
}

// isPlatformCode tells whether a code may answer a platform call.
func isPlatformCode(code result.Code) bool {
	return code == result.OK || (code >= result.PlatformUnavailable && code <= result.PlatformTooManyReaders)
}
