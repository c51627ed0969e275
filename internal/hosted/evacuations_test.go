package hosted

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/core/position"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/result"
)

// testOrderBound is the time within which evacuation orders take effect
// (evacuation.Timing.Within) in these tests.
const testOrderBound = 5 * time.Second

// zoneBackend monitors a back end whose zone is evacuated and used again.
type zoneBackend struct {
	*backendMonitor
	now       time.Duration
	evacuated bool
	// evacuationEnds counts the calls of onEvacuationEnd. reportedStates are the states reported to
	// the gate, announcedStates those announced to the mesh.
	evacuationEnds  int
	reportedStates  []protocol.EndpointState
	announcedStates []protocol.EndpointState
}

func newZoneBackend() *zoneBackend {
	zone := &zoneBackend{}
	zone.backendMonitor = &backendMonitor{
		config: backendMonitorConfig{
			healthPath:          func() string { return "" },
			knowsPeersAndOrders: func() bool { return false },
			isZoneEvacuated:     func() bool { return zone.evacuated },
			onEvacuationEnd:     func() { zone.evacuationEnds++ },
		},
		clock:          func() time.Duration { return zone.now },
		reportToGate:   func(report proxy.BackendReport) { zone.reportedStates = append(zone.reportedStates, report.State) },
		setColdUntil:   func(time.Duration) {},
		announceToMesh: func(view backend.View) { zone.announcedStates = append(zone.announcedStates, view.State) },
		context:        context.Background(),
		tracker:        backend.NewTracker(time.Hour),
	}
	report := backend.Report{Instance: "i", Sequence: 1, Slots: 6}
	zone.tracker.HandleReport(0, report)
	zone.tracker.HandleProbeResult(0, backend.ProbeResult{Instance: "i", Healthy: true})
	zone.setEvacuated(false)
	return zone
}

// setEvacuated starts or ends the evacuation of the zone.
func (s *zoneBackend) setEvacuated(evacuated bool) {
	s.evacuated = evacuated
	s.publishViewAsync()
	s.running.Wait()
}

func TestBackEndOfAnEvacuatedZoneAcceptsNoCalls(t *testing.T) {
	check := is.New(t)
	zone := newZoneBackend()
	zone.setEvacuated(true)
	zone.setEvacuated(true) // a repeated order changes nothing
	zone.setEvacuated(false)
	states := []protocol.EndpointState{protocol.EndpointReady, protocol.EndpointEvacuated, protocol.EndpointReady}
	check.Equal(zone.reportedStates, states)
	check.Equal(zone.announcedStates, states)
	check.Equal(zone.evacuationEnds, 1) // once per evacuation
}

func TestDrainingBackEndStaysClosedAfterEvacuation(t *testing.T) {
	check := is.New(t)
	zone := newZoneBackend()
	zone.setEvacuated(true)
	zone.Leave(protocol.BackendStart{Instance: "i"})
	zone.setEvacuated(false)
	check.Equal(zone.reportedStates[len(zone.reportedStates)-1], protocol.EndpointDraining)
	check.Equal(zone.evacuationEnds, 0)
}

// onEvacuationEnd is also called for a back end that was down at the end of the evacuation, once it
// accepts calls again: it may have become cold in the meantime.
func TestEvacuationEndHookRunsForABackEndThatWasDown(t *testing.T) {
	check := is.New(t)
	zone := newZoneBackend()
	zone.setEvacuated(true)
	zone.markUnreachable(protocol.BackendStart{Instance: "i"})
	zone.setEvacuated(false)
	check.Equal(zone.evacuationEnds, 0) // the back end accepts no calls yet
	zone.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6})
	check.Equal(zone.reportedStates[len(zone.reportedStates)-1], protocol.EndpointReady)
	check.Equal(zone.evacuationEnds, 1)
}

// If onEvacuationEnd is nil, the back end also accepts calls again after the evacuation.
func TestEvacuationEndsWithoutAHook(t *testing.T) {
	check := is.New(t)
	zone := newZoneBackend()
	zone.config.onEvacuationEnd = nil
	zone.setEvacuated(true)
	zone.setEvacuated(false)
	check.Equal(zone.reportedStates[len(zone.reportedStates)-1], protocol.EndpointReady)
}

// fakeOrderStore is a fake store of evacuation orders. It supports no watches.
type fakeOrderStore struct {
	orders evacuation.Orders
	faults map[string]error
	err    error
	// listCount counts the calls of List; onList, unless nil, is called by each.
	listCount int
	onList    func()
}

func (o *fakeOrderStore) List(context.Context) (evacuation.Orders, map[string]error, error) {
	o.listCount++
	if o.onList != nil {
		o.onList()
	}
	return o.orders, o.faults, o.err
}

func (o *fakeOrderStore) Watch(context.Context, authority.Position, time.Duration) (bool, authority.Position, error) {
	return false, authority.Position{}, result.New(result.PlatformUnavailable, "the fake store supports no watches")
}

// evacuationMesh is a mesh with a reader of a fake order store. It records the log and the states
// published to the data path.
type evacuationMesh struct {
	*mesh
	reader    *evacuationReader
	store     *fakeOrderStore
	now       time.Duration
	log       bytes.Buffer
	published []proxy.MeshState
}

func newEvacuationMesh() *evacuationMesh {
	return newEvacuationMeshWith(aliveMember("a", "z1"), aliveMember("b", "z2"))
}

func newEvacuationMeshWith(others ...protocol.Member) *evacuationMesh {
	m := &evacuationMesh{mesh: newTestMesh("z1", others...), store: &fakeOrderStore{}}
	m.clock = func() time.Duration { return m.now }
	m.storeCalls = &storeCalls{}
	m.client = control.NewClient(nil, controlLimits(), control.NewMeter())
	m.events = newEventLog(logging.NewTo(&m.log, log.InfoLevel), "m", m.clock)
	m.onZoneChange = func() {}
	m.publishState = func(state proxy.MeshState) { m.published = append(m.published, state) }
	m.reader = newEvacuationReader(m.mesh, m.store, testOrderBound)
	m.hasJoined.Store(true)
	return m
}

func TestOrderFromAPeerIsInForceAtOnce(t *testing.T) {
	check := is.New(t)
	m := newEvacuationMesh()
	m.handleEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z1"}), Known: true})
	check.Equal(m.published[0].Evacuations.Zones, []string{"z1"})
	check.True(m.isOwnZoneEvacuated())
	check.True(strings.Contains(m.log.String(), "event=evacuation_heard"))
	m.handleEvacuations(0, "b", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 6}, nil), Known: true}) // an older message that arrives late
	check.True(m.isOwnZoneEvacuated())
	m.store.orders = evacuation.NewOrders(position.Position{Revision: 9}, nil)
	_, err := m.reader.readAndShare()
	check.NoErr(err)
	check.True(!m.isOwnZoneEvacuated())
	check.True(strings.Contains(m.log.String(), "event=evacuation_withdrawn"))
	check.Equal(len(m.published), 2)
}

// Comparisons, pushes and replies all carry the orders.
func TestAllMessagesCarryOrders(t *testing.T) {
	check := is.New(t)
	m := newEvacuationMesh()
	m.onPeerVersion = func(protocol.NodeID, protocol.Version) {}
	m.store.orders = evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"})
	_, err := m.reader.readAndShare()
	check.NoErr(err)
	want := evacuation.SharedOrders{Orders: m.store.orders, Known: true}
	check.Equal(m.newComparisonRequest().Evacuations, want)
	check.Equal(m.newPushRequest(nil).Evacuations, want)
	check.Equal(m.handleExchangeRequest(&protocol.ExchangeRequest{From: "a", Zone: "z1", Push: true}).Evacuations, want)
}

// A daemon is not ready before it knows the orders or has waited for them for the bound for orders.
func TestReadinessWaitsForTheOrders(t *testing.T) {
	check := is.New(t)
	m := newEvacuationMesh()
	check.True(!m.reader.isOrderWaitOver())
	m.now = testOrderBound
	check.True(m.reader.isOrderWaitOver())
	m.now = 0
	m.handleEvacuations(0, "a", evacuation.SharedOrders{Known: true})
	check.True(m.reader.isOrderWaitOver())
}

func TestEarlierStorePositionWithdrawsNoOrder(t *testing.T) {
	check := is.New(t)
	m := newEvacuationMesh()
	m.store.orders = evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"})
	_, err := m.reader.readAndShare()
	check.NoErr(err)
	m.store.orders = evacuation.Orders{} // position 0, as of a store that does not know this kind of object
	_, err = m.reader.readAndShare()
	check.Equal(codeOf(err), result.PlatformUnknown)
	check.Equal(m.evacuations.Orders().Zones, []string{"z2"})
}

// If the store returns a position before the known one, as a restored store may, the orders are listed
// again only after a delay, because each list is a call to the store.
func TestStoreAtAnEarlierPositionIsNotListedAgainAtOnce(t *testing.T) {
	check := is.New(t)
	m := newEvacuationMeshWith() // without peers
	m.handleEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"}), Known: true})
	m.now = 2 * testOrderBound // the reading is due
	m.store.orders = evacuation.NewOrders(position.Position{Revision: 3}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), m.reader.timing.RelistInterval()/4)
	defer cancel()
	m.context = ctx
	m.store.onList = func() {
		if m.store.listCount > 1 {
			cancel() // a second list would be too many
		}
	}
	m.reader.refreshOrders()
	check.Equal(m.store.listCount, 1)
	check.Equal(m.evacuations.Orders().Zones, []string{"z2"})
}

// A list whose result is older than orders that a peer sent during the call does not fail: its
// position is compared with the one known before the call.
func TestListOlderThanAPeerReadingIsNoFailure(t *testing.T) {
	check := is.New(t)
	m := newEvacuationMesh()
	m.store.orders = evacuation.NewOrders(position.Position{Revision: 3}, nil)
	m.store.onList = func() {
		m.handleEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"}), Known: true})
	}
	_, err := m.reader.readAndShare()
	check.NoErr(err)
	check.Equal(m.evacuations.Orders().Zones, []string{"z2"})
}

// Failures before a newer reading was received from a peer do not lengthen the delay.
func TestOnlyConsecutiveFailuresLengthenWaits(t *testing.T) {
	check := is.New(t)
	m := newEvacuationMesh()
	m.store.err = result.New(result.PlatformUnavailable, "refused")
	check.Equal(m.reader.readCountingFailures(6, true), 7)
	check.Equal(m.reader.readCountingFailures(6, false), 1)
	m.store.err = nil
	check.Equal(m.reader.readCountingFailures(6, true), 0)
}

// If the store holds no orders, a watcher does not list them while the newest reading is fresh:
// refreshOrders reads often enough.
func TestAStoreWithoutOrdersIsListedOnce(t *testing.T) {
	check := is.New(t)
	m := newEvacuationMesh()
	for range 3 {
		at, err := m.reader.follower.list()
		check.NoErr(err)
		check.True(at.IsEraStart())
	}
	check.Equal(m.store.listCount, 1)
	m.now = testOrderBound
	_, err := m.reader.follower.list()
	check.NoErr(err)
	check.Equal(m.store.listCount, 2) // the newest reading is no longer fresh
}

// A daemon that starts while the store is down becomes ready after maxStartOrderWait, even if the bound
// for orders is longer.
func TestLongBoundDoesNotDelayReadiness(t *testing.T) {
	check := is.New(t)
	m := newEvacuationMesh()
	m.reader.timing.Within = 10 * time.Minute
	m.now = maxStartOrderWait
	check.True(m.reader.isOrderWaitOver())
}

func TestFaultyOrderIsLoggedOnceAndInForce(t *testing.T) {
	check := is.New(t)
	m := newEvacuationMesh()
	m.store.orders = evacuation.NewOrders(position.Position{Revision: 7}, []string{"z1", "z8"})
	m.store.faults = map[string]error{"z1": result.New(result.FileWrongType, "specification")}
	for range 3 {
		_, err := m.reader.readAndShare()
		check.NoErr(err)
	}
	check.Equal(strings.Count(m.log.String(), "event=evacuation_faulty"), 2) // z1 for its contents, z8 because it has no daemon
	check.True(m.isOwnZoneEvacuated())
	zones, _ := m.evacuatedZones()
	check.Equal(codeOf(m.reader.orderFault(zones[0])), result.FileWrongType)
	check.Equal(codeOf(m.reader.orderFault(zones[1])), result.FileBadReference)
}

// If the settings hold no bound for orders, evacuation is disabled and orders from peers are ignored.
func TestOrdersAreIgnoredWithoutABound(t *testing.T) {
	check := is.New(t)
	m := newEvacuationMesh()
	m.evacuationTiming = evacuation.Timing{}
	m.handleEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z1"}), Known: true})
	check.True(!m.isOwnZoneEvacuated())
}
