package proxy

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// coldRateOptions describes a service with a warm-up rate of two calls per second at a cold
// back end.
var coldRateOptions = meshOptions{service: resource.Service{WarmUp: resource.WarmUp{PerSecond: 2}}}

func TestCallIsRefusedWhenAllBackEndsAreCold(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, coldRateOptions, countingBackend(&runs), countingBackend(&runs))
	gateCalls := func() uint64 { return mesh.gates[0].Counters().GateCalls + mesh.gates[1].Counters().GateCalls }
	for range 3 {
		got := mesh.call(t, http.MethodPost, "/", "body")
		expectRefusal(check, got, result.WarmingUp, result.RanNo)
		seconds, err := strconv.Atoi(got.header.Get("Retry-After"))
		check.NoErr(err)
		check.True(seconds >= 1 && seconds <= 2)
	}
	check.Equal(runs.Load(), int64(0))
	check.Equal(gateCalls(), uint64(2)) // the first call tried both gates, the others none
	check.True(mesh.gates[0].Counters().Cold)
}

func TestCallRefusedByColdGateRunsAtWarmGate(t *testing.T) {
	check := is.New(t)
	var coldRuns, warmRuns atomic.Int64
	mesh := startMesh(t, coldRateOptions, countingBackend(&coldRuns), countingBackend(&warmRuns))
	mesh.gates[1].SetColdUntil(0)
	for range 20 {
		check.Equal(mesh.call(t, http.MethodPost, "/", "body").status, http.StatusOK)
	}
	check.Equal(coldRuns.Load(), int64(0))
	check.Equal(warmRuns.Load(), int64(20))
}

func TestServiceWithoutWarmUpRateIsNotLimited(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	check.Equal(mesh.call(t, http.MethodPost, "/", "body").status, http.StatusOK)
	check.True(!mesh.gates[0].Counters().Cold)
}

// recordColdRefusal records at the callers' side that a gate has refused a call of the given
// priority because its back end is cold.
func (m *mesh) recordColdRefusal(gate int, priority resource.Priority) {
	set := m.caller.view.Load().services[testService].allEndpoints
	set.All[gate].RecordStartRefusal(testClock(), time.Second, int(priority))
}

// urgentColdRateOptions is coldRateOptions with a route that makes all calls urgent.
func urgentColdRateOptions() meshOptions {
	options := coldRateOptions
	options.changeRoute = func(route *resource.Route) { route.Priority = resource.PriorityHigh }
	return options
}

func TestUrgentCallTriesGateThatRefusedLessUrgentCall(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, urgentColdRateOptions(), countingBackend(&runs))
	mesh.gates[0].SetColdUntil(0) // warm: accepts the call
	mesh.recordColdRefusal(0, resource.PriorityLow)
	check.Equal(mesh.call(t, http.MethodPost, "/", "body").status, http.StatusOK)
	mesh.recordColdRefusal(0, resource.PriorityHigh)
	expectRefusal(check, mesh.call(t, http.MethodPost, "/", "body"), result.WarmingUp, result.RanNo)
	check.Equal(runs.Load(), int64(1))
}

func TestUrgentCallRetriesAtGateThatRefusedLessUrgentCall(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, urgentColdRateOptions(), countingBackend(&runs), countingBackend(&runs))
	mesh.gates[1].SetColdUntil(0) // warm: accepts the call, which the first gate refuses
	mesh.recordColdRefusal(1, resource.PriorityLow)
	check.Equal(mesh.call(t, http.MethodPost, "/", "body").status, http.StatusOK)
	check.Equal(runs.Load(), int64(1))
}
