package hosted

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/dissemination"
	"github.com/springstack/springstack/internal/core/following"
	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/core/roundtrip"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/settings"
)

// scriptedSource decodes documents by their text alone.
type scriptedSource struct{}

func (scriptedSource) Read(context.Context, authority.Freshness) authority.Reading {
	return authority.Reading{}
}
func (scriptedSource) Watch(context.Context, authority.Position, time.Duration) authority.Reading {
	return authority.Reading{}
}

func (scriptedSource) Decode(document authority.Document) (authority.Configuration, error) {
	service := resource.Service{Partner: authority.Owner, Name: "app", HealthPath: "/health"}
	route := resource.Route{Partner: authority.Owner, Name: "r", Split: []resource.Destination{{Service: serviceRef("app"), Weight: 1}}}
	decoded := authority.Configuration{Version: document.Version, Services: []resource.Service{service}, Routes: []resource.Route{route}}
	switch string(document.Body) {
	case "unreadable":
		return authority.Configuration{}, result.New(result.FileWrongType, "routes.timeout_ms")
	case "dangling":
		decoded.Services = nil
	}
	return decoded, nil
}

// follower is a configuration with what it did.
type testConfiguration struct {
	*configurationFollower
	appliedVersions []protocol.Version
	// announced tells of each announcement whether the version was polled.
	announcedAsPolled []bool
	log               bytes.Buffer
}

func newTestConfiguration() *testConfiguration {
	made := &testConfiguration{}
	clock := func() time.Duration { return time.Minute }
	made.configurationFollower = &configurationFollower{
		source: scriptedSource{}, clock: clock, calls: &storeCalls{}, contacts: newContactTimes(clock),
		events:          newEventLog(logging.NewTo(&made.log, log.InfoLevel), "n", clock),
		applySnapshot:   func(built *snapshot.Snapshot) { made.appliedVersions = append(made.appliedVersions, built.Version) },
		applyLimits:     func(authority.RequestLimits) {},
		announceVersion: func(polled bool) { made.announcedAsPolled = append(made.announcedAsPolled, polled) },
		follower:        following.New(following.DefaultConfig(), func() uint64 { return 0 }),
	}
	return made
}

func (f *testConfiguration) adoptDocument(version protocol.Version, body, source string) {
	f.adopt(following.Action{Source: source, Document: authority.Document{Version: version, Body: []byte(body)}})
}

func TestUnusableVersionLeavesPreviousInForce(t *testing.T) {
	check := is.New(t)
	held := newTestConfiguration()
	held.adoptDocument(3, "sound", following.SourceStore)
	held.adoptDocument(5, "unreadable", following.SourceStore)
	held.adoptDocument(6, "dangling", following.SourceStore)
	check.Equal(held.version(), protocol.Version(3))
	check.Equal(held.appliedVersions, []protocol.Version{3})
	check.Equal(strings.Count(held.log.String(), "event=configuration_refused"), 2)
	check.True(strings.Contains(held.log.String(), "routes.timeout_ms")) // the field is named
	held.adoptDocument(7, "sound", following.SourceStore)
	check.Equal(held.version(), protocol.Version(7))
	check.Equal(held.healthPath(serviceRef("app")), "/health")
	check.Equal(held.healthPath(serviceRef("other")), "")
}

func TestOnlyVersionsNotReadByWatchAreAnnounced(t *testing.T) {
	check := is.New(t)
	held := newTestConfiguration()
	held.adoptDocument(3, "sound", following.SourceStore)
	check.Equal(len(held.announcedAsPolled), 0)
	held.adoptDocument(4, "sound", following.SourcePoll)
	held.adoptDocument(5, "sound", following.SourcePeer)
	check.Equal(held.announcedAsPolled, []bool{true, false})
}

func TestPackedDocumentUnpacksWithinSizeLimit(t *testing.T) {
	check := is.New(t)
	held := newTestConfiguration()
	check.Equal(held.packedDocument(0), protocol.DocumentReply{}) // nothing is held
	held.adoptDocument(9, "sound", following.SourceStore)
	check.Equal(held.packedDocument(9), protocol.DocumentReply{}) // the peer has it
	packed := held.packedDocument(3)
	unpacked, err := unpackDocument(packed, 1<<20)
	check.NoErr(err)
	check.Equal(unpacked, authority.Document{Version: 9, Body: []byte("sound")})
	_, err = unpackDocument(packed, 3)
	check.True(err != nil) // more than a document may hold
	held.adoptDocument(10, "sound", following.SourceStore)
	check.Equal(held.packedDocument(9).Version, protocol.Version(10)) // not what was packed before
	packed.Compressed = packed.Compressed[:len(packed.Compressed)/2]
	_, err = unpackDocument(packed, 1<<20)
	check.True(err != nil)
}

// testReads makes calls to the store without a second try.
func testReads() *hedgedReads {
	return &hedgedReads{clock: func() time.Duration { return 0 }, running: &sync.WaitGroup{}, calls: &storeCalls{}}
}

// newTestMesh is a mesh of one daemon that knows others, and calls nobody.
func newTestMesh(zone string, others ...protocol.Member) *mesh {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no loop runs and nothing is sent
	made := &mesh{
		clock:        func() time.Duration { return 0 },
		contacts:     newContactTimes(func() time.Duration { return 0 }),
		reads:        testReads(),
		eras:         &eraTracker{clock: func() time.Duration { return 0 }},
		publishState: func(proxy.MeshState) {},
		harmful:      proxy.New(proxy.Config{Clock: func() time.Duration { return 0 }}),
		rollouts:     newRolloutTable(0),
		version:      func() protocol.Version { return 0 },
		context:      ctx,
		roster:       membership.NewRoster(),
		lostPeers:    map[protocol.NodeID]bool{},
		verifying:    map[protocol.NodeID]bool{},
		batch:        dissemination.NewBatch(minBroadcastInterval),
		roundTrips:   &roundtrip.Estimator{},
		self:         protocol.Member{ID: "m", Zone: zone, Incarnation: 5, Sequence: 1, State: protocol.MemberAlive},
	}
	made.roster.Merge(0, made.self, membership.SourceSubtree)
	for _, other := range others {
		made.roster.Merge(0, other, membership.SourceSubtree)
	}
	return made
}

func aliveMember(id protocol.NodeID, zone string) protocol.Member {
	return protocol.Member{ID: id, Zone: zone, Incarnation: 1, Sequence: 1, State: protocol.MemberAlive}
}

func TestPollersAreFirstAnsweringDaemonsOfZone(t *testing.T) {
	check := is.New(t)
	polls := func(held *mesh) bool {
		role, _ := held.currentPollRole()
		return role == polling
	}
	check.True(polls(newTestMesh("z1"))) // alone
	check.True(polls(newTestMesh("z1", aliveMember("a", "z1"), aliveMember("b", "z1"), aliveMember("c", "z1"))))
	check.True(!polls(newTestMesh("z1", aliveMember("a", "z1"), aliveMember("b", "z1"), aliveMember("c", "z1"), aliveMember("d", "z1"))))
	four := newTestMesh("z1", aliveMember("a", "z1"), aliveMember("b", "z2"), aliveMember("c", "z3"), aliveMember("d", "z4"))
	check.True(!polls(four)) // one a zone, and that is a
	four.lostPeers["a"] = true
	check.True(polls(four))
}

func TestPollRateIsIndependentOfZoneCount(t *testing.T) {
	check := is.New(t)
	var others []protocol.Member
	for zone := range 8 {
		others = append(others, aliveMember(protocol.NodeID(fmt.Sprint("n", zone)), fmt.Sprint("z", zone)))
		held := newTestMesh("z0", others...)
		pollers := max(targetPollers, zone+1)
		_, period := held.currentPollRole()
		check.Equal(time.Duration(pollers)*pollInterval/period, time.Duration(targetPollers))
	}
}

func TestDaemonRefutesRecordOfEarlierStart(t *testing.T) {
	check := is.New(t)
	held := newTestMesh("z1")
	earlier := held.self
	earlier.Incarnation = 9 // its clock was ahead then
	earlier.Endpoint = protocol.EndpointReady
	held.mergeCompared("z1", []protocol.Member{earlier})
	check.Equal(held.self.Incarnation, protocol.Incarnation(10))
	known, _ := held.roster.Get("m")
	check.Equal(known.Incarnation, protocol.Incarnation(10))
}

func TestComparisonReturnsOnlyDifferences(t *testing.T) {
	check := is.New(t)
	held := newTestMesh("z1", aliveMember("a", "z1"), aliveMember("b", "z2"))
	held.onPeerVersion = func(protocol.NodeID, protocol.Version) {}
	same := held.handleExchangeRequest(&protocol.ExchangeRequest{From: "x", Total: held.roster.BucketSums().Total()})
	check.Equal(len(same.Sums)+len(same.Members), 0)
	differs := held.handleExchangeRequest(&protocol.ExchangeRequest{From: "x", Total: 1})
	check.Equal(len(differs.Sums), membership.BucketCount)
	empty := membership.BucketSums{}
	whole := held.handleExchangeRequest(&protocol.ExchangeRequest{From: "x", Sums: empty[:]})
	check.Equal(len(whole.Members), 3)
	pushed := held.handleExchangeRequest(&protocol.ExchangeRequest{From: "x", Zone: "z1", Push: true, Total: 1, Members: []protocol.Member{aliveMember("c", "z1")}})
	check.Equal(len(pushed.Sums)+len(pushed.Members), 0)
	_, known := held.roster.Get("c")
	check.True(known)
	_, err := held.HandlePeer(context.Background(), control.Peer{}, &protocol.ExchangeRequest{Format: protocol.Format + 1})
	check.True(err != nil)
}

func TestSamplePeersReturnsDistinctPeers(t *testing.T) {
	check := is.New(t)
	peers := []dissemination.Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	for range 50 {
		two := samplePeers(peers, 2)
		check.Equal(len(two), 2)
		check.True(two[0].ID != two[1].ID)
	}
	check.Equal(len(samplePeers(peers, 9)), 3)
	check.Equal(len(samplePeers(nil, 2)), 0)
}

func TestStopFitsIntoGracePeriod(t *testing.T) {
	check := is.New(t)
	for _, grace := range []time.Duration{time.Second, 6 * time.Second, 30 * time.Second} {
		check.True(drainLinger(grace) < drainTimeout(grace))
		check.True(drainTimeout(grace) < grace)
	}
	check.True(drainTimeout(6*time.Second)+closeTimeout() < 6*time.Second)
}

func TestRetrySlackIsDividedAmongDaemons(t *testing.T) {
	check := is.New(t)
	daemon := &Daemon{settings: settings.Hosted{Retries: settings.HostedRetries{Ratio: 0.2, Slack: 64, WindowSeconds: 10}}}
	for _, daemons := range []int{0, 1, 12, 74, 300, 1000} {
		limits := daemon.retryLimits(daemons)
		check.True(limits.Part*float64(daemons) <= 64)
		check.True(limits.Ratio < 0.2)
		budget := retry.NewBudgetWithLimits(limits)
		for range 20 {
			budget.Deposit(time.Second, 0)
		}
		check.True(budget.Withdraw(time.Second, 0, 1, false)) // what calls earn allows one in any case
	}
}

func TestRequestLogIsRateLimited(t *testing.T) {
	check := is.New(t)
	var out bytes.Buffer
	clock := func() time.Duration { return time.Second }
	requests := newRequestLog(newEventLog(logging.NewTo(&out, log.InfoLevel), "n", clock))
	written := 0
	for range 10 * requestLogBurst {
		if requests.Wants("request_refused") {
			requests.Write(proxy.Event{Name: "request_refused", Fields: []proxy.EventField{{Key: "request", Value: "q"}}})
			written++
		}
	}
	check.Equal(written, requestLogBurst)
	check.Equal(strings.Count(out.String(), "event=request_refused node=n request=q"), written)
	check.Equal(requests.rate.Dropped(), uint64(9*requestLogBurst))
}

func TestReloadLogsItsResult(t *testing.T) {
	check := is.New(t)
	var out bytes.Buffer
	clock := func() time.Duration { return 0 }
	daemon := &Daemon{settings: settings.DefaultHosted(), events: newEventLog(logging.NewTo(&out, log.InfoLevel), "n", clock)}
	daemon.Reload(settings.DefaultHosted(), nil)
	changed := settings.DefaultHosted()
	changed.Drain.GraceSeconds = 7
	daemon.Reload(changed, nil)
	daemon.Reload(settings.Hosted{}, errors.New("2 mistakes"))
	for _, event := range []string{"settings_unchanged", "settings_changed", "settings_refused"} {
		check.Equal(strings.Count(out.String(), "event="+event), 1)
	}
}

// A daemon is ready only once what it has heard of its peers is in force, also when another
// publication has just been made.
func TestPeersArePublishedBeforeDaemonIsReady(t *testing.T) {
	check := is.New(t)
	held := newTestMesh("z1")
	now := time.Minute
	held.clock = func() time.Duration { return now }
	published := 0
	held.publishState = func(state proxy.MeshState) {
		check.True(!held.isJoined())
		published = len(state.Members)
	}
	held.publishAll() // of its own record
	held.mergeCompared("z1", []protocol.Member{aliveMember("a", "z1"), aliveMember("b", "z1")})
	check.Equal(published, 1) // it waits for its time
	held.recordComparison(dissemination.Peer{ID: "a", Zone: "z1"})
	check.True(held.isJoined())
	check.Equal(published, 3)
	held.recordComparison(dissemination.Peer{ID: "b", Zone: "z1"}) // nothing more
}
