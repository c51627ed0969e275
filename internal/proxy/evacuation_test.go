package proxy

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/result"
)

// The gate is the second line: an entry that has not heard of the order is refused there and
// sends its call elsewhere.
func TestAnEvacuatedGateSendsCallsElsewhere(t *testing.T) {
	check := is.New(t)
	var emptied, others atomic.Int64
	mesh := startMesh(t, meshOptions{}, counting(&emptied), counting(&others))
	mesh.gates[0].gate.Evacuate()
	for range 20 {
		check.Equal(mesh.call(t, "POST", "/", "x").status, http.StatusOK)
	}
	check.Equal(emptied.Load(), int64(0))
	check.Equal(others.Load(), int64(20))
}

func TestTheOnlyGateInAnEvacuatedZoneRefusesAtOnce(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, counting(&runs))
	mesh.gates[0].gate.Evacuate()
	expectRefusal(check, mesh.call(t, "POST", "/", "x"), result.ZoneEvacuated, result.RanNo)
	check.Equal(runs.Load(), int64(0))
}

// Without a back end elsewhere a call is refused before anything is sent.
func TestCallsWithoutAnotherZoneAreRefusedAtOnce(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, counting(&runs), counting(&runs))
	mesh.caller.PublishState(MeshState{Members: mesh.members, Evacuations: evacuation.NewOrders(1, []string{"z"})})
	got := mesh.call(t, "POST", "/", "x")
	expectRefusal(check, got, result.ZoneEvacuated, result.RanNo)
	check.Equal(got.header.Get("Retry-After"), "1")
	check.Equal(mesh.caller.tally.attempts.Load(), uint64(0))
	mesh.caller.PublishState(MeshState{Members: mesh.members})
	check.Equal(mesh.call(t, "POST", "/", "x").status, http.StatusOK)
}

// A call that runs when the zone is emptied ends in peace, one that waits runs elsewhere.
func TestACallThatRunsIsNotCutAndOneThatWaitsMovesOn(t *testing.T) {
	check := is.New(t)
	backend := newBlocking()
	mesh := startMesh(t, meshOptions{slots: 1}, backend.spec())
	running, waiting := make(chan answered), make(chan answered)
	go func() { running <- mesh.call(t, "POST", "/", "x") }()
	<-backend.entered
	go func() { waiting <- mesh.call(t, "POST", "/", "x") }()
	for mesh.gates[0].gate.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	mesh.gates[0].gate.Evacuate()
	expectRefusal(check, <-waiting, result.ZoneEvacuated, result.RanNo)
	close(backend.release)
	check.Equal((<-running).body, "done")
}

// A body on its way to the gate when the zone is emptied reaches no back end there, and all
// of it the one elsewhere.
func TestABodyOnItsWayGoesElsewhere(t *testing.T) {
	check := is.New(t)
	var emptied, others atomic.Int64
	mesh := startMesh(t, meshOptions{}, counting(&emptied), counting(&others))
	body := &pausingReader{parts: []string{strings.Repeat("x", largeBody), strings.Repeat("y", largeBody)}, pause: func() {
		mesh.gates[0].gate.Evacuate()
	}}
	request, err := http.NewRequest(http.MethodPost, "http://"+mesh.address+"/", body)
	check.NoErr(err)
	request.ContentLength = 2 * largeBody
	got := mesh.send(t, request)
	check.Equal(got.status, http.StatusOK)
	check.Equal(emptied.Load(), int64(0))
	check.Equal(others.Load(), int64(1))
}

// pausingReader calls a function between its two parts.
type pausingReader struct {
	parts []string
	pause func()
}

func (r *pausingReader) Read(into []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	count := copy(into, r.parts[0])
	r.parts[0] = r.parts[0][count:]
	if r.parts[0] == "" {
		if r.parts = r.parts[1:]; len(r.parts) == 1 {
			r.pause()
		}
	}
	return count, nil
}
