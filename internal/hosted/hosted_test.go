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
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/retry"
	"github.com/springstack/springstack/internal/core/roundtrip"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/settings"
)

// scriptedSource decodes a document to a fixed configuration; the document's text selects a fault.
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

// testConfiguration is a configuration follower that records what it applies, announces and logs.
type testConfiguration struct {
	*configurationFollower
	appliedVersions []protocol.Version
	// announcedAsPolled holds the argument polled of each announcement.
	announcedAsPolled []bool
	log               bytes.Buffer
}

func newTestConfiguration() *testConfiguration {
	fake := &testConfiguration{}
	clock := func() time.Duration { return time.Minute }
	fake.configurationFollower = &configurationFollower{
		source: scriptedSource{}, clock: clock, calls: &storeCalls{}, contacts: newContactTimes(clock),
		events:          newEventLog(logging.NewTo(&fake.log, log.InfoLevel), "n", clock),
		applySnapshot:   func(built *snapshot.Snapshot) { fake.appliedVersions = append(fake.appliedVersions, built.Version) },
		applyLimits:     func(authority.RequestLimits) {},
		announceVersion: func(polled bool) { fake.announcedAsPolled = append(fake.announcedAsPolled, polled) },
		follower:        following.New(following.DefaultConfig(), func() uint64 { return 0 }),
	}
	return fake
}

func (c *testConfiguration) adoptDocument(version protocol.Version, body, source string) {
	c.adopt(following.Action{Source: source, Document: authority.Document{Version: version, Body: []byte(body)}})
}

func TestUnusableVersionLeavesPreviousInForce(t *testing.T) {
	check := is.New(t)
	configuration := newTestConfiguration()
	configuration.adoptDocument(3, "sound", following.SourceStore)
	configuration.adoptDocument(5, "unreadable", following.SourceStore)
	configuration.adoptDocument(6, "dangling", following.SourceStore)
	check.Equal(configuration.version(), protocol.Version(3))
	check.Equal(configuration.appliedVersions, []protocol.Version{3})
	check.Equal(strings.Count(configuration.log.String(), "event=configuration_refused"), 2)
	check.True(strings.Contains(configuration.log.String(), "routes.timeout_ms")) // names the invalid field
	configuration.adoptDocument(7, "sound", following.SourceStore)
	check.Equal(configuration.version(), protocol.Version(7))
	check.Equal(configuration.healthPath(serviceRef("app")), "/health")
	check.Equal(configuration.healthPath(serviceRef("other")), "")
}

func TestOnlyVersionsNotReadByWatchAreAnnounced(t *testing.T) {
	check := is.New(t)
	configuration := newTestConfiguration()
	configuration.adoptDocument(3, "sound", following.SourceStore)
	check.Equal(len(configuration.announcedAsPolled), 0)
	configuration.adoptDocument(4, "sound", following.SourcePoll)
	configuration.adoptDocument(5, "sound", following.SourcePeer)
	check.Equal(configuration.announcedAsPolled, []bool{true, false})
}

func TestPackedDocumentUnpacksWithinSizeLimit(t *testing.T) {
	check := is.New(t)
	configuration := newTestConfiguration()
	check.Equal(configuration.packedDocument(0), protocol.DocumentReply{}) // there is no configuration yet
	configuration.adoptDocument(9, "sound", following.SourceStore)
	check.Equal(configuration.packedDocument(9), protocol.DocumentReply{}) // the peer has it
	packed := configuration.packedDocument(3)
	unpacked, err := unpackDocument(packed, 1<<20)
	check.NoErr(err)
	check.Equal(unpacked, authority.Document{Version: 9, Body: []byte("sound")})
	_, err = unpackDocument(packed, 3)
	check.True(err != nil) // exceeds the size limit
	configuration.adoptDocument(10, "sound", following.SourceStore)
	check.Equal(configuration.packedDocument(9).Version, protocol.Version(10)) // not the cached reply
	packed.Compressed = packed.Compressed[:len(packed.Compressed)/2]
	_, err = unpackDocument(packed, 1<<20)
	check.True(err != nil)
}

// testReads returns a hedgedReads that makes calls to the store without hedging them.
func testReads() *hedgedReads {
	return &hedgedReads{clock: func() time.Duration { return 0 }, running: &sync.WaitGroup{}, calls: &storeCalls{}}
}

// newTestMesh returns a mesh of one daemon with the records of others. It makes no calls.
func newTestMesh(zone string, others ...protocol.Member) *mesh {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // runs no loops and sends nothing
	mesh := &mesh{
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
		verifying:    map[protocol.NodeID]chan struct{}{},
		batch:        dissemination.NewBatch[protocol.NodeID](minBroadcastInterval),
		harmfulBatch: dissemination.NewBatch[uint64](minHarmfulInterval),
		roundTrips:   &roundtrip.Estimator{},
		self:         protocol.Member{ID: "m", Zone: zone, Incarnation: 5, Sequence: 1, State: protocol.MemberAlive},
	}
	mesh.roster.Merge(0, mesh.self, membership.SourceSubtree)
	for _, other := range others {
		mesh.roster.Merge(0, other, membership.SourceSubtree)
	}
	return mesh
}

func aliveMember(id protocol.NodeID, zone string) protocol.Member {
	return protocol.Member{ID: id, Zone: zone, Incarnation: 1, Sequence: 1, State: protocol.MemberAlive}
}

func TestPollersAreFirstReachableDaemonsOfZone(t *testing.T) {
	check := is.New(t)
	polls := func(mesh *mesh) bool {
		role, _ := mesh.currentPollRole()
		return role == polling
	}
	check.True(polls(newTestMesh("z1"))) // alone
	check.True(polls(newTestMesh("z1", aliveMember("a", "z1"), aliveMember("b", "z1"), aliveMember("c", "z1"))))
	check.True(!polls(newTestMesh("z1", aliveMember("a", "z1"), aliveMember("b", "z1"), aliveMember("c", "z1"), aliveMember("d", "z1"))))
	fourZones := newTestMesh("z1", aliveMember("a", "z1"), aliveMember("b", "z2"), aliveMember("c", "z3"), aliveMember("d", "z4"))
	check.True(!polls(fourZones)) // the only poller of the zone is a
	fourZones.lostPeers["a"] = true
	check.True(polls(fourZones))
}

func TestPollRateIsIndependentOfZoneCount(t *testing.T) {
	check := is.New(t)
	var others []protocol.Member
	for zone := range 8 {
		others = append(others, aliveMember(protocol.NodeID(fmt.Sprint("n", zone)), fmt.Sprint("z", zone)))
		mesh := newTestMesh("z0", others...)
		pollers := max(targetPollers, zone+1)
		_, period := mesh.currentPollRole()
		check.Equal(time.Duration(pollers)*pollInterval/period, time.Duration(targetPollers))
	}
}

func TestDaemonRefutesRecordOfEarlierStart(t *testing.T) {
	check := is.New(t)
	mesh := newTestMesh("z1")
	earlier := mesh.self
	earlier.Incarnation = 9 // the clock was ahead at the earlier start
	earlier.Endpoint = protocol.EndpointReady
	mesh.mergeCompared("z1", []protocol.Member{earlier})
	check.Equal(mesh.self.Incarnation, protocol.Incarnation(10))
	known, _ := mesh.roster.Get("m")
	check.Equal(known.Incarnation, protocol.Incarnation(10))
}

func TestComparisonReturnsOnlyDifferences(t *testing.T) {
	check := is.New(t)
	mesh := newTestMesh("z1", aliveMember("a", "z1"), aliveMember("b", "z2"))
	mesh.onPeerVersion = func(protocol.NodeID, protocol.Version) {}
	equalReply := mesh.handleExchangeRequest(&protocol.ExchangeRequest{From: "x", Total: mesh.roster.BucketSums().Total()})
	check.Equal(len(equalReply.Sums)+len(equalReply.Members), 0)
	sumsReply := mesh.handleExchangeRequest(&protocol.ExchangeRequest{From: "x", Total: 1})
	check.Equal(len(sumsReply.Sums), membership.BucketCount)
	noSums := membership.BucketSums{}
	allReply := mesh.handleExchangeRequest(&protocol.ExchangeRequest{From: "x", Sums: noSums[:]})
	check.Equal(len(allReply.Members), 3)
	pushReply := mesh.handleExchangeRequest(&protocol.ExchangeRequest{From: "x", Zone: "z1", Push: true, Total: 1, Members: []protocol.Member{aliveMember("c", "z1")}})
	check.Equal(len(pushReply.Sums)+len(pushReply.Members), 0)
	_, known := mesh.roster.Get("c")
	check.True(known)
	_, err := mesh.HandlePeer(context.Background(), control.Peer{}, &protocol.ExchangeRequest{Format: protocol.Format + 1})
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
		check.True(budget.Withdraw(time.Second, 0, 1, false)) // 20 calls allow one retry without the slack
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

// Guards against a daemon that reports itself ready before its data path has the records of its
// peers, because their publication is delayed by a recent one.
func TestPeersArePublishedBeforeDaemonIsReady(t *testing.T) {
	check := is.New(t)
	mesh := newTestMesh("z1")
	now := time.Minute
	mesh.clock = func() time.Duration { return now }
	published := 0
	mesh.publishState = func(state proxy.MeshState) {
		check.True(!mesh.isJoined())
		published = len(state.Members)
	}
	mesh.publishAll() // with its own record only
	mesh.mergeCompared("z1", []protocol.Member{aliveMember("a", "z1"), aliveMember("b", "z1")})
	check.Equal(published, 1) // the next publication is scheduled
	mesh.recordComparison(dissemination.Peer{ID: "a", Zone: "z1"})
	check.True(mesh.isJoined())
	check.Equal(published, 3)
	mesh.recordComparison(dissemination.Peer{ID: "b", Zone: "z1"}) // publishes nothing
}

// harmfulRecord returns the record of a request under which an instance ended.
func harmfulRecord(number byte) quarantine.Record {
	return quarantine.Record{
		Signature: quarantine.Signature{Head: quarantine.Hash{1, number}, Body: quarantine.Hash{1}}, Ends: []string{"i-1"},
	}
}

// Guards against records that daemons send on to all others because a reply brought them: at 985
// daemons 25 ends of back ends caused 173 pushes a second at each daemon.
func TestReplyToAPushBringsNoHarmfulRecords(t *testing.T) {
	check := is.New(t)
	mesh := newTestMesh("z1")
	mesh.mergeHarmful("a", []quarantine.Record{harmfulRecord(1)})
	check.True(mesh.harmful.HarmfulSum() != 0)
	check.Equal(len(mesh.buildExchangeReply(&protocol.ExchangeRequest{Push: true}).Harmful), 0)
	check.Equal(len(mesh.buildExchangeReply(&protocol.ExchangeRequest{}).Harmful), 1) // a comparison repairs what was missed
	check.Equal(len(mesh.harmful.UnsentHarmful()), 0)
}

// Guards against one broadcast in the zone for each daemon that reports a harmful request.
func TestRelayBroadcastsHarmfulRecordsInBatches(t *testing.T) {
	check := is.New(t)
	mesh := newTestMesh("z1", aliveMember("a", "z1"))
	for number := range byte(50) {
		mesh.handlePush(&protocol.ExchangeRequest{Push: true, Relay: true, Harmful: []quarantine.Record{harmfulRecord(number)}})
	}
	// The first was broadcast at once, the others wait for one broadcast.
	check.Equal(len(mesh.harmfulBatch.Take(0)), 49)
}

// Guards against a daemon that stays excluded until the next check although it has started again.
func TestRestartEndsTheWaitForAnUnreachableDaemon(t *testing.T) {
	check := is.New(t)
	mesh := newTestMesh("z1", aliveMember("a", "z1"))
	restarted := make(chan struct{}, 1)
	mesh.verifying["a"] = restarted
	same := aliveMember("a", "z1")
	same.Sequence++
	mesh.mergeCompared("z1", []protocol.Member{same})
	check.Equal(len(restarted), 0)
	next := same
	next.Incarnation++
	mesh.mergeCompared("z1", []protocol.Member{next})
	check.Equal(len(restarted), 1)
}
