package proxy

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/endpoint"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/region"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
	"github.com/springstack/springstack/internal/result"
)

// optionsWithRegions sets the allowed regions of the route, nil for all, and allows its calls two
// attempts.
func optionsWithRegions(regions []string) meshOptions {
	return meshOptions{changeRoute: func(route *resource.Route) { route.AllowedRegions, route.RetryAttempts = regions, 2 }}
}

// withRegion sets the region of a back end.
func withRegion(region string, spec backendSpec) backendSpec {
	spec.region = region
	return spec
}

// failingBackend returns a back end that counts its calls and breaks their connections.
func failingBackend(runs *atomic.Int64) backendSpec {
	return backendSpec{handler: func(writer http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}}
}

// applyRegions puts a version with the given allowed regions in force at some daemons, with the
// same back ends.
func (m *mesh) applyRegions(version uint64, regions []string, daemons ...*Proxy) {
	next := testSnapshot(optionsWithRegions(regions), m.snapshot.Backends[testService])
	next.Version = protocol.Version(version)
	for _, daemon := range daemons {
		daemon.Swap(next)
	}
}

// Back ends outside the allowed region must get no calls, with any request key.
func TestCallRunsInAllowedRegion(t *testing.T) {
	for _, headers := range [][]string{nil, {"X-Key", "k"}} {
		check := is.New(t)
		var nearCalls, homeCalls atomic.Int64
		options := meshOptions{changeRoute: func(route *resource.Route) {
			route.AllowedRegions = []string{"home"}
			route.RequestKeyHeader = "X-Key"
		}}
		mesh := startMesh(t, options, countingBackend(&nearCalls), withRegion("home", countingBackend(&homeCalls)))
		for range 20 {
			headers := append([]string{}, headers...)
			if len(headers) > 0 {
				headers[1] += string(rune('a' + homeCalls.Load()))
			}
			check.Equal(mesh.call(t, "POST", "/", "body", headers...).status, http.StatusOK)
		}
		check.Equal(nearCalls.Load(), int64(0))
		check.Equal(homeCalls.Load(), int64(20))
	}
}

// Retries stay in the allowed region even when every back end there fails and is ejected.
func TestRetriesStayInAllowedRegions(t *testing.T) {
	check := is.New(t)
	var nearCalls, homeCalls atomic.Int64
	mesh := startMesh(t, optionsWithRegions([]string{"home"}), countingBackend(&nearCalls),
		withRegion("home", failingBackend(&homeCalls)), withRegion("home", backendSpec{address: closedAddress(t)}))
	for range 30 {
		got := mesh.call(t, "GET", "/", "")
		check.True(got.status != http.StatusOK)
	}
	check.Equal(nearCalls.Load(), int64(0))
	check.True(homeCalls.Load() > 0)
}

func TestCallWithoutAllowedBackEndIsRefusedUnsent(t *testing.T) {
	for _, regions := range [][]string{{}, {"nowhere"}} {
		check := is.New(t)
		var nearCalls atomic.Int64
		mesh := startMesh(t, optionsWithRegions(regions), countingBackend(&nearCalls))
		got := mesh.call(t, "POST", "/", "body")
		expectRefusal(check, got, result.RegionNotAllowed, result.RanNo)
		check.True(got.header.Get("Retry-After") != "")
		check.Equal(nearCalls.Load(), int64(0))
		check.Equal(mesh.caller.Counters().Attempts, uint64(0))
		check.Equal(mesh.caller.Counters().Refusals[result.RegionNotAllowed], uint64(1))
	}
}

// While a version that sets, moves or lifts a restriction is being distributed, the stricter of two
// versions applies: that of the caller's daemon and that of the gate. The gate's refusal lists the
// regions to which the call may be sent.
func TestStricterRegionVersionApplies(t *testing.T) {
	for _, testCase := range []struct {
		name                       string
		callerRegions, gateRegions []string
		wantedCode                 result.Code
	}{
		{"set, on its way to the entry", nil, []string{"home"}, result.OK},
		{"set, on its way to the gates", []string{"home"}, nil, result.OK},
		{"moved", []string{"r", "home"}, []string{"home"}, result.OK},
		{"moved elsewhere", []string{"r"}, []string{"home"}, result.RegionNotAllowed},
		{"barred everywhere", nil, []string{}, result.RegionNotAllowed},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			check := is.New(t)
			var nearCalls, homeCalls atomic.Int64
			otherRegion := countingBackend(&nearCalls)
			mesh := startMesh(t, meshOptions{}, otherRegion, otherRegion, otherRegion, withRegion("home", countingBackend(&homeCalls)))
			mesh.applyRegions(2, testCase.callerRegions, mesh.caller)
			mesh.applyRegions(2, testCase.gateRegions, mesh.gates...)
			for range 10 {
				got := mesh.call(t, "POST", "/", "body")
				if testCase.wantedCode == result.OK {
					check.Equal(got.status, http.StatusOK)
					continue
				}
				expectRefusal(check, got, testCase.wantedCode, result.RanNo)
			}
			check.Equal(nearCalls.Load(), int64(0))
			check.True(mesh.caller.Counters().Attempts <= 2*10) // one refusal per call is enough to learn the allowed regions
		})
	}
}

// A call that was queued at a gate is subject to the version in force when it leaves the queue. If
// that version does not allow the gate's region, the call is refused there and not run.
func TestNewRegionVersionAppliesToQueuedCall(t *testing.T) {
	check := is.New(t)
	var nearCalls, homeCalls atomic.Int64
	started, release := make(chan struct{}), make(chan struct{})
	slowBackEnd := backendSpec{handler: func(http.ResponseWriter, *http.Request) {
		if nearCalls.Add(1) == 1 {
			close(started)
		}
		<-release
	}}
	mesh := startMesh(t, meshOptions{slots: 1}, slowBackEnd, withRegion("home", countingBackend(&homeCalls)))
	mesh.applyRegions(2, []string{"r"}, mesh.caller)
	answers := make(chan callResult, 2)
	sendCall := func() { answers <- mesh.call(t, "POST", "/", "body") }
	go sendCall()
	<-started
	go sendCall()
	for mesh.gates[0].gate.Load().Queued == 0 {
		runtime.Gosched()
	}
	mesh.applyRegions(3, []string{"home"}, append(mesh.gates, mesh.caller)...)
	close(release)
	codes := []string{(<-answers).header.Get(headerCode), (<-answers).header.Get(headerCode)}
	check.True(slices.Contains(codes, itoa(int(result.RegionNotAllowed))))
	check.Equal(nearCalls.Load(), int64(1))
	for mesh.gates[0].gate.Load().Running > 0 { // the refused call must release its slot
		runtime.Gosched()
	}
}

// A large body, which is announced by Expect, is refused by the gate and by the caller's daemon
// before any of it is sent.
func TestBodyOutsideAllowedRegionIsNotRead(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	mesh.applyRegions(2, []string{"home"}, append(mesh.gates, mesh.caller)...)
	gateHeaders := fmt.Sprintf("%s: %s\r\n%s: %s\r\n%s: a\r\n", headerHop, hopGate, headerService, testService, headerBackend)
	check.Equal(sendHead(t, mesh.members[0].DataAddress, gateHeaders), itoa(int(result.RegionNotAllowed)))
	check.Equal(sendHead(t, mesh.address, ""), itoa(int(result.RegionNotAllowed)))
	check.Equal(runs.Load(), int64(0))
}

// sendHead sends the head of a request with a large body and returns the code of the refusal.
func sendHead(t *testing.T, address, headers string) string {
	t.Helper()
	check := is.New(t)
	conn, err := net.Dial("tcp", address)
	check.NoErr(err)
	defer conn.Close()
	check.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n%s\r\n", minLargeBodyBytes, headers)
	check.NoErr(err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	check.NoErr(err)
	return answer.Header.Get(headerCode)
}

// Each attempt is subject to the newest version at the caller's daemon, in addition to the version
// in force when the call arrived.
func TestNewRegionVersionAppliesToNextAttempt(t *testing.T) {
	for _, testCase := range []struct {
		name                 string
		before, after        []string
		nearCalls, homeCalls int64
	}{
		{"set", nil, []string{"home"}, 1, 1},
		{"moved", []string{"r"}, []string{"home"}, 1, 0},
		{"lifted", []string{"r"}, nil, 2, 0},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			check := is.New(t)
			var nearCalls, homeCalls atomic.Int64
			var testMesh *mesh
			changingVersion := backendSpec{handler: func(http.ResponseWriter, *http.Request) {
				nearCalls.Add(1)
				testMesh.applyRegions(3, testCase.after, testMesh.caller)
				panic(http.ErrAbortHandler)
			}}
			testMesh = startMesh(t, meshOptions{}, changingVersion, changingVersion, withRegion("home", countingBackend(&homeCalls)))
			testMesh.applyRegions(2, testCase.before, testMesh.caller)
			testMesh.call(t, "GET", "/", "")
			check.Equal(nearCalls.Load(), testCase.nearCalls)
			check.Equal(homeCalls.Load(), testCase.homeCalls)
		})
	}
}

// During a roll-out both canaries and back ends of the other version are chosen only from the
// allowed regions. If these have no back end that the roll-out's stage allows, none is chosen.
func TestRolloutStaysInAllowedRegions(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, testCase := range []struct {
		name     string
		regions  []string
		stage    rollout.Stage
		versions []string
	}{
		{"canaries at home", []string{"home"}, rollout.StageCanary, []string{"v1", "v2"}},
		{"only stable ones at home", []string{"old"}, rollout.StageCanary, []string{"v1"}},
		{"only canaries at home", []string{"new"}, rollout.StageCanary, nil},
		{"only the target at home, rolled back", []string{"new"}, rollout.StageRolledBack, nil},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			check := is.New(t)
			testedService := &service{allEndpoints: newRegionalSet()}
			testedService.applySplit(VersionSplit{Target: "v2", Stage: testCase.stage, CanaryShare: 0.5})
			pool := testedService.poolFor(region.NewAllowed(testCase.regions))
			seen := map[string]bool{}
			for range 200 {
				chosen := pool.canary.choose(0, random.Uint64(), random.Uint64())
				if chosen == nil && pool.set.UsableCount() > 0 {
					chosen = pool.set.Choose(0, random.Uint64(), nil)
				}
				if chosen != nil {
					check.Equal(chosen.Region, testCase.regions[0])
					seen[chosen.Software] = true
				}
			}
			check.Equal(len(seen), len(testCase.versions))
			for _, version := range testCase.versions {
				check.True(seen[version])
			}
		})
	}
}

// No method of choosing an endpoint may leave the allowed regions, whichever endpoints were tried
// or ejected before.
func TestEveryChoiceStaysInAllowedRegions(t *testing.T) {
	check := is.New(t)
	testedService := &service{allEndpoints: newRegionalSet()}
	testedService.applySplit(VersionSplit{})
	set := testedService.poolFor(region.NewAllowed([]string{"home"})).set
	random := rand.New(rand.NewPCG(3, 4))
	var tried endpoint.Tried
	for range 3 * len(set.All) {
		for _, chosen := range []*endpoint.Endpoint{
			set.Choose(0, random.Uint64(), tried), set.ChooseByRequestKey(0, random.Uint64(), tried),
			set.ChooseByContentHash(0, random.Uint64(), tried), set.ChooseRoundRobin(0, random.Uint64(), tried),
		} {
			check.Equal(chosen.Region, "home")
			chosen.Begin()
			chosen.End(0, endpoint.Unreachable) // ejected
			tried = append(tried, chosen)
		}
	}
}

// A call of a restricted route needs no more allocations than another: its pool is built with the
// view.
func TestRegionRestrictionAddsNoAllocations(t *testing.T) {
	check := is.New(t)
	allocations := func(regions []string) float64 {
		proxy := New(Config{Clock: testClock, NodeID: "caller", Region: "r", Zone: "z"})
		t.Cleanup(proxy.Close)
		proxy.Swap(testSnapshot(optionsWithRegions(regions), []resource.Backend{
			{Partner: "k", Name: "a", Service: "plans", Address: "127.0.0.1:1", Region: "r", Zone: "z", Slots: 6},
			{Partner: "k", Name: "b", Service: "plans", Address: "127.0.0.1:2", Region: "home", Zone: "z", Slots: 6},
		}))
		proxy.ExtendServing(1 << 62)
		request := httptest.NewRequest(http.MethodGet, "http://host/", nil)
		return testing.AllocsPerRun(100, func() {
			call, _, _ := proxy.acceptCall(request)
			current := proxy.view.Load()
			call.applyRegions(current)
			call.chooseEndpoint(current.services[call.service].poolFor(call.regions), quarantine.Trusted, testClock())
		})
	}
	check.Equal(allocations([]string{"home"}), allocations(nil))
}

// The cost of region lists must depend on the regions in which the service has back ends, not on
// the number of lists that routes name.
func TestEquivalentRegionListsShareOnePool(t *testing.T) {
	check := is.New(t)
	testedService := &service{allEndpoints: newRegionalSet()}
	testedService.applySplit(VersionSplit{})
	lists := lo.Times(3000, func(number int) region.Set {
		return region.NewAllowed([]string{[]string{"home", "old"}[number%2], fmt.Sprintf("elsewhere-%d", number)})
	})
	testedService.buildRestrictedPools(lists)
	pools := lo.Uniq(lo.Map(lists, func(allowed region.Set, _ int) *pool { return testedService.poolFor(allowed) }))
	check.Equal(len(pools), 2)
	check.Equal(testedService.poolFor(lists[0]).set.All[0].Region, "home")
	check.Equal(testedService.poolFor(lists[1]).set.All[0].Region, "old")
}

// newRegionalSet returns a set with back ends of two versions in region home, and of one version in
// each of two other regions.
func newRegionalSet() *endpoint.Set {
	var members []protocol.Member
	var backends []resource.Backend
	for index, location := range []struct{ region, version string }{
		{"home", "v1"}, {"home", "v1"}, {"home", "v2"}, {"home", "v2"},
		{"old", "v1"}, {"old", "v1"}, {"new", "v2"}, {"new", "v2"},
	} {
		name := string(rune('a' + index))
		members = append(members, protocol.Member{
			ID: protocol.NodeID(name), Incarnation: 1, State: protocol.MemberAlive, Service: testService, Region: location.region,
			Backend: name, Endpoint: protocol.EndpointReady, Slots: 6, Software: location.version, DataAddress: name,
		})
		backends = append(backends, resource.Backend{
			Partner: testService.Partner, Name: name, Service: testService.Name, Slots: 6, Region: location.region,
		})
	}
	return endpoint.Build(nil, endpoint.Locality{Region: "old"}, backends, members, 0)
}

func TestRegionsHeaderRoundTrip(t *testing.T) {
	for _, names := range [][]string{{}, {"north"}, {"north", "south"}, {"a,b", "c d", "é"}} {
		check := is.New(t)
		check.True(parseRegions(formatRegions(region.NewAllowed(names))).Equal(region.NewAllowed(names)))
	}
}

// An unreadable name must make the restriction stricter, never weaker.
func TestUnreadableRegionsHeaderAllowsNothing(t *testing.T) {
	check := is.New(t)
	check.True(parseRegions("%zz").Equal(region.NewAllowed([]string{})))
}
