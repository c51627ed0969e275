package proxy

import (
	"io"
	"maps"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/core/position"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
	"github.com/springstack/springstack/internal/result"
)

// The gate is the second line: an entry that has not heard of the order is refused there and
// sends its call elsewhere.
func TestCallsRefusedByEvacuatedGateAreRetried(t *testing.T) {
	check := is.New(t)
	var emptied, others atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&emptied), countingBackend(&others))
	mesh.gates[0].gate.Evacuate()
	for range 20 {
		check.Equal(mesh.call(t, "POST", "/", "x").status, http.StatusOK)
	}
	check.Equal(emptied.Load(), int64(0))
	check.Equal(others.Load(), int64(20))
}

func TestOnlyGateInEvacuatedZoneRefuses(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	mesh.gates[0].gate.Evacuate()
	expectRefusal(check, mesh.call(t, "POST", "/", "x"), result.ZoneEvacuated, result.RanNo)
	check.Equal(runs.Load(), int64(0))
}

// Without a back end elsewhere a call is refused before anything is sent.
func TestCallsWithOnlyEvacuatedZonesAreRefusedUnsent(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs), countingBackend(&runs))
	mesh.caller.PublishState(MeshState{Members: mesh.members, Evacuations: evacuation.NewOrders(position.Position{Revision: 1}, []string{"z"})})
	got := mesh.call(t, "POST", "/", "x")
	expectRefusal(check, got, result.ZoneEvacuated, result.RanNo)
	check.Equal(got.header.Get("Retry-After"), "1")
	check.Equal(mesh.caller.counters.attempts.Load(), uint64(0))
	mesh.caller.PublishState(MeshState{Members: mesh.members})
	check.Equal(mesh.call(t, "POST", "/", "x").status, http.StatusOK)
}

// The weights of a route hold while the zones of one part are empty: its calls are refused, not
// moved to the other part.
func TestRoutePartWithEvacuatedZonesIsRefused(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	emptied := resource.ServiceRef{Partner: "k", Name: "emptied"}
	mesh := startMesh(t, meshOptions{changeRoute: func(route *resource.Route) {
		route.Split = append(route.Split, resource.Destination{Service: emptied, Weight: 1})
	}}, countingBackend(&runs))
	held := *mesh.snapshot
	held.Services, held.Backends = maps.Clone(held.Services), maps.Clone(held.Backends)
	held.Services[emptied] = resource.Service{Partner: emptied.Partner, Name: emptied.Name}
	held.Backends[emptied] = []resource.Backend{{Partner: "k", Name: "b", Service: emptied.Name, Zone: "other", Slots: 6}}
	members := append(mesh.members, protocol.Member{
		ID: "gate-b", Incarnation: 7, Sequence: 1, State: protocol.MemberAlive, DataAddress: "127.0.0.1:1", Zone: "other",
		Service: emptied, Backend: "b", Endpoint: protocol.EndpointReady, Slots: 6,
	})
	mesh.caller.Swap(&held)
	mesh.caller.PublishState(MeshState{Members: members, Evacuations: evacuation.NewOrders(position.Position{Revision: 1}, []string{"other"})})
	const calls = 200
	refused := 0
	for range calls {
		if got := mesh.call(t, "POST", "/", "x"); got.status != http.StatusOK {
			expectRefusal(check, got, result.ZoneEvacuated, result.RanNo)
			refused++
		}
	}
	check.True(refused > calls*35/100 && refused < calls*65/100) // half, by chance
	check.Equal(int(runs.Load()), calls-refused)
}

// A call that runs when the zone is emptied ends in peace, one that waits runs elsewhere.
func TestEvacuationKeepsRunningAndRefusesQueuedCalls(t *testing.T) {
	check := is.New(t)
	backend := newBlockingBackend()
	mesh := startMesh(t, meshOptions{slots: 1}, backend.spec())
	running, waiting := make(chan callResult), make(chan callResult)
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

// A body that the gate is taking in when the zone is emptied reaches no back end there.
func TestEvacuationRefusesCallDuringBodyTransfer(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	gate := mesh.gates[0]
	body := &pausingReader{parts: []string{strings.Repeat("x", largeBodyBytes), strings.Repeat("y", largeBodyBytes)}, pause: func() {
		for len(gate.transfers.turns) == 0 {
			runtime.Gosched() // the gate has yet to begin
		}
		gate.gate.Evacuate()
	}}
	request, err := http.NewRequest(http.MethodPost, "http://"+mesh.members[0].DataAddress+"/", body)
	check.NoErr(err)
	request.ContentLength = 2 * largeBodyBytes
	for header, value := range map[string]string{
		headerHop: hopGate, headerService: testService.String(), headerBackend: "a", headerIncarnation: "7", headerRequest: "r1",
	} {
		request.Header.Set(header, value)
	}
	expectRefusal(check, mesh.send(t, request), result.ZoneEvacuated, result.RanNo)
	check.Equal(runs.Load(), int64(0))
}

// pausingReader calls a function before the second of its parts.
type pausingReader struct {
	parts []string
	pause func()
	part  int
}

func (r *pausingReader) Read(into []byte) (int, error) {
	if r.part == len(r.parts) {
		return 0, io.EOF
	}
	if r.part == 1 && r.pause != nil {
		r.pause()
		r.pause = nil
	}
	count := copy(into, r.parts[r.part])
	if r.parts[r.part] = r.parts[r.part][count:]; r.parts[r.part] == "" {
		r.part++
	}
	return count, nil
}

// Canaries in a zone that is to be empty get nothing; the calls go to the other version.
func TestCanariesInEvacuatedZoneGetNoCalls(t *testing.T) {
	check := is.New(t)
	made := &service{allEndpoints: newVersionedSet(10, 10)}
	made.applySplit(VersionSplit{Target: "v2", Stage: rollout.StageCanary, CanaryShare: 0.5})
	before, _ := countByVersion(made, 1000)
	check.True(before["v2"] > 0)
	emptied := &service{allEndpoints: newVersionedSetFor(endpoint.Locality{Evacuations: evacuation.NewOrders(position.Position{Revision: 1}, []string{"new"})}, 10, 10)}
	emptied.applySplit(VersionSplit{Target: "v2", Stage: rollout.StageCanary, CanaryShare: 0.5})
	after, _ := countByVersion(emptied, 1000)
	check.Equal(after, map[string]int{"v1": 1000})
}
