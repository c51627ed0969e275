package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

var update = object.Call{Kind: object.CallUpdate, Name: "head", Data: []byte("1"), Expect: 7}

// portTo returns the adapter for a handler, and counts the requests it sees.
func portTo(t *testing.T, handler http.HandlerFunc) (*HTTP, *atomic.Int32) {
	t.Helper()
	var seen atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		seen.Add(1)
		handler(response, request)
	}))
	t.Cleanup(server.Close)
	return newPort(t, HTTPConfig{URL: server.URL, Client: "a"}), &seen
}

func newPort(t *testing.T, config HTTPConfig) *HTTP {
	t.Helper()
	port, err := NewHTTP(config)
	is.New(t).NoErr(err)
	t.Cleanup(port.Close)
	return port
}

func TestRefusedConnectionHadNoEffect(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	port := newPort(t, HTTPConfig{URL: "http://" + address})
	is.Equal(port.Do(t.Context(), update).Code, result.PlatformUnavailable)
	is.Equal(port.Watch(t.Context(), "", 0, nil).Code, result.PlatformUnavailable)
}

// TestAnswersThatProveNothing holds that a change whose answer does not come
// from the platform itself may have had its effect, and is sent only once.
func TestAnswersThatProveNothing(t *testing.T) {
	tests := map[string]http.HandlerFunc{
		"connection closed": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"no JSON": func(response http.ResponseWriter, _ *http.Request) {
			http.Error(response, "bad gateway", http.StatusBadGateway)
		},
		"another's JSON": func(response http.ResponseWriter, _ *http.Request) {
			response.WriteHeader(http.StatusServiceUnavailable)
			response.Write([]byte(`{"code":500}`))
		},
		"code of no platform": func(response http.ResponseWriter, _ *http.Request) {
			response.Write([]byte(`{"answered":true,"code":403}`))
		},
		"cut short": func(response http.ResponseWriter, _ *http.Request) {
			response.Header().Set("Content-Length", "100")
			response.Write([]byte(`{"answered":true,"code":0`))
		},
		"redirect": func(response http.ResponseWriter, request *http.Request) {
			http.Redirect(response, request, "/elsewhere", http.StatusTemporaryRedirect)
		},
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			port, seen := portTo(t, handler)
			is.Equal(port.Do(t.Context(), update).Code, result.PlatformUnknown)
			is.Equal(seen.Load(), int32(1))
		})
	}
}

// TestReusedConnectionThatDies holds that a change is not sent again when a
// connection that has worked before dies under it.
func TestReusedConnectionThatDies(t *testing.T) {
	is := is.New(t)
	port, seen := portTo(t, func(response http.ResponseWriter, request *http.Request) {
		if request.Method == http.MethodPut {
			panic(http.ErrAbortHandler)
		}
		response.Write([]byte(`{"answered":true,"code":502}`))
	})
	is.Equal(port.Do(t.Context(), object.Call{Kind: object.CallGet, Name: "head"}).Code, result.PlatformNotFound)
	is.Equal(port.Do(t.Context(), update).Code, result.PlatformUnknown)
	is.Equal(seen.Load(), int32(2))
}

func TestRefusalByCodeHadNoEffect(t *testing.T) {
	is := is.New(t)
	port, _ := portTo(t, func(response http.ResponseWriter, _ *http.Request) {
		response.WriteHeader(http.StatusServiceUnavailable)
		response.Write([]byte(`{"answered":true,"code":500}`))
	})
	is.Equal(port.Do(t.Context(), update).Code, result.PlatformUnavailable)
}

func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	port, _ := portTo(t, func(response http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(response, `{"answered":true,"code":0,"object":{"name":%q}}`, bytes.Repeat([]byte("a"), 1000))
	})
	port.config.ReplyBytes = 500
	is.Equal(port.Do(t.Context(), update).Code, result.PlatformUnknown)
}

func TestWatchThatStaysSilentBreaks(t *testing.T) {
	is := is.New(t)
	port, _ := portTo(t, func(response http.ResponseWriter, request *http.Request) {
		json.NewEncoder(response).Encode(WireEvent{Kind: WireHeartbeat})
		http.NewResponseController(response).Flush()
		<-request.Context().Done()
	})
	port.config.WatchSilence = 50 * time.Millisecond
	is.Equal(port.Watch(t.Context(), "", 0, nil).Code, result.PlatformUnavailable)
}

// FuzzReadWatch holds that no stream panics, that only whole events are
// delivered, and that the end is always told by a code of the platform.
func FuzzReadWatch(f *testing.F) {
	f.Add([]byte("{\"kind\":\"heartbeat\"}\n{\"kind\":\"put\",\"object\":{\"name\":\"head\",\"version\":3,\"data\":\"MQ==\"}}\n"))
	f.Add([]byte("{\"kind\":\"delete\",\"object\":{\"name\":\"head\",\"version\":4}}\n{\"kind\":\"end\",\"code\":506}\n"))
	f.Add([]byte("{\"kind\":\"end\",\"code\":0}\n"))
	f.Add([]byte("{\"kind\":\"put\"}\n"))
	f.Add([]byte("[\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		code := readWatch(t.Context(), bytes.NewReader(stream), func() {}, func(event object.Event) {
			if event.Object.Name == "" || event.Object.Version == 0 {
				t.Fatalf("event without object: %+v", event)
			}
			again, err := json.Marshal(EncodeEvent(event))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := decodeEvent(again); err != nil {
				t.Fatalf("a delivered event can't be decoded again: %v", err)
			}
		})
		if code == result.OK || !isPlatformCode(code) {
			t.Fatalf("the watch ended with code %d", code)
		}
	})
}

// FuzzReadReply holds that no answer panics, and that each has a code of the
// platform.
func FuzzReadReply(f *testing.F) {
	f.Add([]byte(`{"answered":true,"code":0,"object":{"name":"head","version":3,"data":"MQ=="}}`))
	f.Add([]byte(`{"answered":true,"code":0,"objects":[{"name":"a"}],"machines":[{"id":"m"}],"list_version":9}`))
	f.Add([]byte(`{"code":500}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		reply, err := readReply(bytes.NewReader(body), DefaultReplyBytes)
		if err == nil && !isPlatformCode(reply.Code) {
			t.Fatalf("answer with code %d", reply.Code)
		}
	})
}
