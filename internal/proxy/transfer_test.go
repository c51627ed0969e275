package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// TestLargeBodiesComeFewAtATime: a gate tells only some senders at once to go on,
// and small calls pass by those that wait.
func TestLargeBodiesComeFewAtATime(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, backendSpec{handler: func(writer http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		body, _ := io.ReadAll(request.Body)
		_, _ = writer.Write(body)
	}})
	transfers := mesh.gates[0].transfers
	for range transferLimit {
		check.True(transfers.await(t.Context()))
	}
	large := strings.Repeat("x", largeBody)
	ended := make(chan answered, 3)
	for range 3 {
		go func() { ended <- mesh.call(t, "POST", "/", large) }()
	}
	for transfers.waiting.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	check.Equal(mesh.call(t, "POST", "/", "small").body, "small")
	check.Equal(runs.Load(), int64(1)) // no large one holds a slot
	check.True(strings.HasPrefix(mesh.gates[0].loadText(), "0 3 "))
	transfers.done(time.Millisecond)
	for range 3 {
		check.True((<-ended).body == large)
	}
	transfers.done(time.Millisecond)
	check.Equal(len(transfers.tokens), 0)
}

// TestABodyThatWouldComeTooLateIsRefusedUnsent: at once, as not run; too late for
// its deadline, or for its route's target.
func TestABodyThatWouldComeTooLateIsRefusedUnsent(t *testing.T) {
	for name, route := range map[string]func(*resource.Route){
		"deadline": nil,
		"target":   func(route *resource.Route) { route.Target = time.Second },
	} {
		t.Run(name, func(t *testing.T) { refusesUnsent(t, route) })
	}
}

func refusesUnsent(t *testing.T, route func(*resource.Route)) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{route: route}, counting(&runs))
	transfers := mesh.gates[0].transfers
	transfers.waiting.Add(4)
	transfers.mean.Store(int64(time.Minute))
	if route != nil {
		transfers.mean.Store(int64(800 * time.Millisecond)) // within the deadline's share
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+mesh.address+"/",
		strings.NewReader(strings.Repeat("x", largeBody)))
	check.NoErr(err)
	answer, err := mesh.client.Do(request)
	check.NoErr(err)
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	check.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	check.Equal(answer.Header.Get(headerRan), "no")
	check.Equal(runs.Load(), int64(0))
}

// A gate that takes no more work says so before it takes a large body in.
func TestAClosedGateTakesInNoLargeBody(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	limits := Limits{DrainLinger: time.Millisecond}
	mesh := startMesh(t, meshOptions{limits: limits}, counting(&runs))
	mesh.gates[0].StartDrain()
	<-mesh.gates[0].Drained()
	body := make([]byte, 48<<10)
	for index := range body {
		body[index] = 'x'
	}
	got := mesh.call(t, "POST", "/", string(body))
	check.Equal(got.code(), itoa(int(result.Draining)))
	check.Equal(mesh.gates[0].transfers.meanTime(), time.Duration(0)) // a body was taken in
}
