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

// A callers' side that has not received an evacuation order yet must send the calls that the
// evacuated gate refuses to another gate.
func TestCallsRefusedByEvacuatedGateAreRetried(t *testing.T) {
	check := is.New(t)
	var evacuatedRuns, otherRuns atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&evacuatedRuns), countingBackend(&otherRuns))
	mesh.gates[0].gate.Evacuate()
	for range 20 {
		check.Equal(mesh.call(t, "POST", "/", "x").status, http.StatusOK)
	}
	check.Equal(evacuatedRuns.Load(), int64(0))
	check.Equal(otherRuns.Load(), int64(20))
}

func TestOnlyGateInEvacuatedZoneRefuses(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	mesh.gates[0].gate.Evacuate()
	expectRefusal(check, mesh.call(t, "POST", "/", "x"), result.ZoneEvacuated, result.RanNo)
	check.Equal(runs.Load(), int64(0))
}

// If all back ends are in evacuated zones, a call must be refused without an attempt.
func TestCallsWithOnlyEvacuatedZonesAreRefusedUnsent(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs), countingBackend(&runs))
	mesh.caller.PublishState(MeshState{Members: mesh.members, Evacuations: evacuation.NewOrders(position.Position{Revision: 1}, []string{"z"})})
	refused := mesh.call(t, "POST", "/", "x")
	expectRefusal(check, refused, result.ZoneEvacuated, result.RanNo)
	check.Equal(refused.header.Get("Retry-After"), "1")
	check.Equal(mesh.caller.counters.attempts.Load(), uint64(0))
	mesh.caller.PublishState(MeshState{Members: mesh.members})
	check.Equal(mesh.call(t, "POST", "/", "x").status, http.StatusOK)
}

// The weights of a route must stay in force while all zones of one destination are evacuated: its
// calls are refused, not sent to the other destination.
func TestRoutePartWithEvacuatedZonesIsRefused(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	evacuated := resource.ServiceRef{Partner: "k", Name: "emptied"}
	mesh := startMesh(t, meshOptions{changeRoute: func(route *resource.Route) {
		route.Split = append(route.Split, resource.Destination{Service: evacuated, Weight: 1})
	}}, countingBackend(&runs))
	snap := *mesh.snapshot
	snap.Services, snap.Backends = maps.Clone(snap.Services), maps.Clone(snap.Backends)
	snap.Services[evacuated] = resource.Service{Partner: evacuated.Partner, Name: evacuated.Name}
	snap.Backends[evacuated] = []resource.Backend{{Partner: "k", Name: "b", Service: evacuated.Name, Zone: "other", Slots: 6}}
	members := append(mesh.members, protocol.Member{
		ID: "gate-b", Incarnation: 7, Sequence: 1, State: protocol.MemberAlive, DataAddress: "127.0.0.1:1", Zone: "other",
		Service: evacuated, Backend: "b", Endpoint: protocol.EndpointReady, Slots: 6,
	})
	mesh.caller.Swap(&snap)
	mesh.caller.PublishState(MeshState{Members: members, Evacuations: evacuation.NewOrders(position.Position{Revision: 1}, []string{"other"})})
	const calls = 200
	refused := 0
	for range calls {
		if got := mesh.call(t, "POST", "/", "x"); got.status != http.StatusOK {
			expectRefusal(check, got, result.ZoneEvacuated, result.RanNo)
			refused++
		}
	}
	check.True(refused > calls*35/100 && refused < calls*65/100) // about half: the weights are equal
	check.Equal(int(runs.Load()), calls-refused)
}

// When a zone is evacuated, running calls must end normally, and queued calls must be refused as
// not run, so that they can be sent elsewhere.
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

// A call whose body the gate is receiving when the zone is evacuated must not reach the back end.
func TestEvacuationRefusesCallDuringBodyTransfer(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	gate := mesh.gates[0]
	body := &pausingReader{parts: []string{strings.Repeat("x", minLargeBodyBytes), strings.Repeat("y", minLargeBodyBytes)}, pause: func() {
		for len(gate.bodyQueue.turns) == 0 {
			runtime.Gosched() // until the gate starts to receive the body
		}
		gate.gate.Evacuate()
	}}
	request, err := http.NewRequest(http.MethodPost, "http://"+mesh.members[0].DataAddress+"/", body)
	check.NoErr(err)
	request.ContentLength = 2 * minLargeBodyBytes
	for header, value := range map[string]string{
		headerHop: hopGate, headerService: testService.String(), headerBackend: "a", headerIncarnation: "7", headerRequest: "r1",
	} {
		request.Header.Set(header, value)
	}
	expectRefusal(check, mesh.send(t, request), result.ZoneEvacuated, result.RanNo)
	check.Equal(runs.Load(), int64(0))
}

// pausingReader returns its parts one after another, and calls pause before the second one.
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

// Canaries in an evacuated zone must get no calls; all go to the stable version.
func TestCanariesInEvacuatedZoneGetNoCalls(t *testing.T) {
	check := is.New(t)
	normal := &service{allEndpoints: newVersionedSet(10, 10)}
	normal.applySplit(VersionSplit{Target: "v2", Stage: rollout.StageCanary, CanaryShare: 0.5})
	before, _ := countByVersion(normal, 1000)
	check.True(before["v2"] > 0)
	evacuated := &service{allEndpoints: newVersionedSetFor(endpoint.Locality{Evacuations: evacuation.NewOrders(position.Position{Revision: 1}, []string{"new"})}, 10, 10)}
	evacuated.applySplit(VersionSplit{Target: "v2", Stage: rollout.StageCanary, CanaryShare: 0.5})
	after, _ := countByVersion(evacuated, 1000)
	check.Equal(after, map[string]int{"v1": 1000})
}
