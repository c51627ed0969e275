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

// inRegions allows regions to a route, nil all, and two attempts to its calls.
func optionsWithRegions(regions []string) meshOptions {
	return meshOptions{changeRoute: func(route *resource.Route) { route.AllowedRegions, route.RetryAttempts = regions, 2 }}
}

// in puts a back end into a region.
func withRegion(region string, spec backendSpec) backendSpec {
	spec.region = region
	return spec
}

// failing is a back end that counts its runs and fails them.
func failingBackend(runs *atomic.Int64) backendSpec {
	return backendSpec{handler: func(writer http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}}
}

// force puts a version that allows regions in force on daemons; backends are declared by it.
func (m *mesh) applyRegions(version uint64, regions []string, daemons ...*Proxy) {
	made := testSnapshot(optionsWithRegions(regions), m.snapshot.Backends[testService])
	made.Version = protocol.Version(version)
	for _, daemon := range daemons {
		daemon.Swap(made)
	}
}

// Back ends next door get nothing of a call that is at home elsewhere, whatever its key.
func TestCallRunsInAllowedRegion(t *testing.T) {
	for _, headers := range [][]string{nil, {"X-Key", "k"}} {
		check := is.New(t)
		var near, home atomic.Int64
		options := meshOptions{changeRoute: func(route *resource.Route) {
			route.AllowedRegions = []string{"home"}
			route.RequestKeyHeader = "X-Key"
		}}
		mesh := startMesh(t, options, countingBackend(&near), withRegion("home", countingBackend(&home)))
		for range 20 {
			headers := append([]string{}, headers...)
			if len(headers) > 0 {
				headers[1] += string(rune('a' + home.Load()))
			}
			check.Equal(mesh.call(t, "POST", "/", "body", headers...).status, http.StatusOK)
		}
		check.Equal(near.Load(), int64(0))
		check.Equal(home.Load(), int64(20))
	}
}

// Also when every back end at home fails, and all are ejected.
func TestRetriesStayInAllowedRegions(t *testing.T) {
	check := is.New(t)
	var near, home atomic.Int64
	mesh := startMesh(t, optionsWithRegions([]string{"home"}), countingBackend(&near),
		withRegion("home", failingBackend(&home)), withRegion("home", backendSpec{address: closedAddress(t)}))
	for range 30 {
		got := mesh.call(t, "GET", "/", "")
		check.True(got.status != http.StatusOK)
	}
	check.Equal(near.Load(), int64(0))
	check.True(home.Load() > 0)
}

func TestCallWithoutAllowedBackEndIsRefusedUnsent(t *testing.T) {
	for _, regions := range [][]string{{}, {"nowhere"}} {
		check := is.New(t)
		var near atomic.Int64
		mesh := startMesh(t, optionsWithRegions(regions), countingBackend(&near))
		got := mesh.call(t, "POST", "/", "body")
		expectRefusal(check, got, result.RegionNotAllowed, result.RanNo)
		check.True(got.header.Get("Retry-After") != "")
		check.Equal(near.Load(), int64(0))
		check.Equal(mesh.caller.Counters().Attempts, uint64(0))
		check.Equal(mesh.caller.Counters().Refusals[result.RegionNotAllowed], uint64(1))
	}
}

// While a version that sets, moves or lifts a restriction is on its way, the stricter of the
// entry's and the gate's binds; the gate's refusal tells the entry where to send the call.
func TestStricterRegionVersionApplies(t *testing.T) {
	for _, given := range []struct {
		name        string
		entry, gate []string
		wanted      result.Code
	}{
		{"set, on its way to the entry", nil, []string{"home"}, result.OK},
		{"set, on its way to the gates", []string{"home"}, nil, result.OK},
		{"moved", []string{"r", "home"}, []string{"home"}, result.OK},
		{"moved elsewhere", []string{"r"}, []string{"home"}, result.RegionNotAllowed},
		{"barred everywhere", nil, []string{}, result.RegionNotAllowed},
	} {
		t.Run(given.name, func(t *testing.T) {
			check := is.New(t)
			var near, home atomic.Int64
			next := countingBackend(&near)
			mesh := startMesh(t, meshOptions{}, next, next, next, withRegion("home", countingBackend(&home)))
			mesh.applyRegions(2, given.entry, mesh.caller)
			mesh.applyRegions(2, given.gate, mesh.gates...)
			for range 10 {
				got := mesh.call(t, "POST", "/", "body")
				if given.wanted == result.OK {
					check.Equal(got.status, http.StatusOK)
					continue
				}
				expectRefusal(check, got, given.wanted, result.RanNo)
			}
			check.Equal(near.Load(), int64(0))
			check.True(mesh.caller.Counters().Attempts <= 2*10) // it learns at once where to send it
		})
	}
}

// A call that has waited at a gate for its turn is bound by the version in force when it begins
// to run, and is sent home in place of that.
func TestNewRegionVersionAppliesToQueuedCall(t *testing.T) {
	check := is.New(t)
	var near, home atomic.Int64
	begun, held := make(chan struct{}), make(chan struct{})
	slow := backendSpec{handler: func(http.ResponseWriter, *http.Request) {
		if near.Add(1) == 1 {
			close(begun)
		}
		<-held
	}}
	mesh := startMesh(t, meshOptions{slots: 1}, slow, withRegion("home", countingBackend(&home)))
	mesh.applyRegions(2, []string{"r"}, mesh.caller)
	answers := make(chan callResult, 2)
	ask := func() { answers <- mesh.call(t, "POST", "/", "body") }
	go ask()
	<-begun
	go ask()
	for mesh.gates[0].gate.Load().Queued == 0 {
		runtime.Gosched()
	}
	mesh.applyRegions(3, []string{"home"}, append(mesh.gates, mesh.caller)...)
	close(held)
	codes := []string{(<-answers).header.Get(headerCode), (<-answers).header.Get(headerCode)}
	check.True(slices.Contains(codes, itoa(int(result.RegionNotAllowed))))
	check.Equal(near.Load(), int64(1))
	for mesh.gates[0].gate.Load().Running > 0 { // its slot is given back
		runtime.Gosched()
	}
}

// A large body, which is announced, is refused before any of it was sent: by the gate and by
// the entry.
func TestBodyOutsideAllowedRegionIsNotRead(t *testing.T) {
	check := is.New(t)
	var runs atomic.Int64
	mesh := startMesh(t, meshOptions{}, countingBackend(&runs))
	mesh.applyRegions(2, []string{"home"}, append(mesh.gates, mesh.caller)...)
	hop := fmt.Sprintf("%s: %s\r\n%s: %s\r\n%s: a\r\n", headerHop, hopGate, headerService, testService, headerBackend)
	check.Equal(sendHead(t, mesh.members[0].DataAddress, hop), itoa(int(result.RegionNotAllowed)))
	check.Equal(sendHead(t, mesh.address, ""), itoa(int(result.RegionNotAllowed)))
	check.Equal(runs.Load(), int64(0))
}

// refusalOfHead sends the head of a request with a large body, and returns the code by which it
// is refused.
func sendHead(t *testing.T, address, headers string) string {
	t.Helper()
	check := is.New(t)
	conn, err := net.Dial("tcp", address)
	check.NoErr(err)
	defer conn.Close()
	check.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: %d\r\n%s\r\n", largeBodyBytes, headers)
	check.NoErr(err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	check.NoErr(err)
	return answer.Header.Get(headerCode)
}

// An entry's newest version binds each attempt, besides the one that the call came under.
func TestNewRegionVersionAppliesToNextAttempt(t *testing.T) {
	for _, given := range []struct {
		name          string
		before, after []string
		near, home    int64
	}{
		{"set", nil, []string{"home"}, 1, 1},
		{"moved", []string{"r"}, []string{"home"}, 1, 0},
		{"lifted", []string{"r"}, nil, 2, 0},
	} {
		t.Run(given.name, func(t *testing.T) {
			check := is.New(t)
			var near, home atomic.Int64
			var made *mesh
			swapping := backendSpec{handler: func(http.ResponseWriter, *http.Request) {
				near.Add(1)
				made.applyRegions(3, given.after, made.caller)
				panic(http.ErrAbortHandler)
			}}
			made = startMesh(t, meshOptions{}, swapping, swapping, withRegion("home", countingBackend(&home)))
			made.applyRegions(2, given.before, made.caller)
			made.call(t, "GET", "/", "")
			check.Equal(near.Load(), given.near)
			check.Equal(home.Load(), given.home)
		})
	}
}

// Canaries and the other version alike: where its regions have no back end that a roll-out
// lets take the call, none gets it.
func TestRolloutStaysInAllowedRegions(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, given := range []struct {
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
		t.Run(given.name, func(t *testing.T) {
			check := is.New(t)
			made := &service{allEndpoints: newRegionalSet()}
			made.applySplit(VersionSplit{Target: "v2", Stage: given.stage, CanaryShare: 0.5})
			pool := made.poolFor(region.NewAllowed(given.regions))
			seen := map[string]bool{}
			for range 200 {
				chosen := pool.canary.choose(0, random.Uint64(), random.Uint64())
				if chosen == nil && pool.set.UsableCount() > 0 {
					chosen = pool.set.Choose(0, random.Uint64(), nil)
				}
				if chosen != nil {
					check.Equal(chosen.Region, given.regions[0])
					seen[chosen.Software] = true
				}
			}
			check.Equal(len(seen), len(given.versions))
			for _, version := range given.versions {
				check.True(seen[version])
			}
		})
	}
}

// Neither way of choosing leaves the regions, whatever was tried or ejected before.
func TestEveryChoiceStaysInAllowedRegions(t *testing.T) {
	check := is.New(t)
	made := &service{allEndpoints: newRegionalSet()}
	made.applySplit(VersionSplit{})
	set := made.poolFor(region.NewAllowed([]string{"home"})).set
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

// A call of a restricted route allocates no more than another: its pool was made with the view.
func TestRegionRestrictionAddsNoAllocations(t *testing.T) {
	check := is.New(t)
	allocated := func(regions []string) float64 {
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
	check.Equal(allocated([]string{"home"}), allocated(nil))
}

// What lists cost is bounded by the regions in which a service has back ends, not by how many
// lists a configuration's routes name.
func TestEquivalentRegionListsShareOnePool(t *testing.T) {
	check := is.New(t)
	made := &service{allEndpoints: newRegionalSet()}
	made.applySplit(VersionSplit{})
	lists := lo.Times(3000, func(number int) region.Set {
		return region.NewAllowed([]string{[]string{"home", "old"}[number%2], fmt.Sprintf("elsewhere-%d", number)})
	})
	made.buildRestrictedPools(lists)
	pools := lo.Uniq(lo.Map(lists, func(allowed region.Set, _ int) *pool { return made.poolFor(allowed) }))
	check.Equal(len(pools), 2)
	check.Equal(made.poolFor(lists[0]).set.All[0].Region, "home")
	check.Equal(made.poolFor(lists[1]).set.All[0].Region, "old")
}

// regionalSet has back ends of two versions in a region, and of one in each of two others.
func newRegionalSet() *endpoint.Set {
	var members []protocol.Member
	var backends []resource.Backend
	for index, place := range []struct{ region, version string }{
		{"home", "v1"}, {"home", "v1"}, {"home", "v2"}, {"home", "v2"},
		{"old", "v1"}, {"old", "v1"}, {"new", "v2"}, {"new", "v2"},
	} {
		name := string(rune('a' + index))
		members = append(members, protocol.Member{
			ID: protocol.NodeID(name), Incarnation: 1, State: protocol.MemberAlive, Service: testService, Region: place.region,
			Backend: name, Endpoint: protocol.EndpointReady, Slots: 6, Software: place.version, DataAddress: name,
		})
		backends = append(backends, resource.Backend{
			Partner: testService.Partner, Name: name, Service: testService.Name, Slots: 6, Region: place.region,
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

// A name that can't be read bars more, never less.
func TestUnreadableRegionsHeaderAllowsNothing(t *testing.T) {
	check := is.New(t)
	check.True(parseRegions("%zz").Equal(region.NewAllowed([]string{})))
}
