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

const testOrderBound = 5 * time.Second

// zoneSide is the side of a back end whose zone is emptied and taken back.
type zoneBackend struct {
	*backendMonitor
	now       time.Duration
	evacuated bool
	// takenBack counts the calls of the hook, reported are the states told to the gate.
	evacuationEnds  int
	reportedStates  []protocol.EndpointState
	announcedStates []protocol.EndpointState
}

func newZoneBackend() *zoneBackend {
	made := &zoneBackend{}
	made.backendMonitor = &backendMonitor{
		config: backendMonitorConfig{
			healthPath:      func() string { return "" },
			hasJoinedMesh:   func() bool { return false },
			isZoneEvacuated: func() bool { return made.evacuated },
			onEvacuationEnd: func() { made.evacuationEnds++ },
		},
		clock:          func() time.Duration { return made.now },
		reportToGate:   func(report proxy.BackendReport) { made.reportedStates = append(made.reportedStates, report.State) },
		setColdUntil:   func(time.Duration) {},
		announceToMesh: func(view backend.View) { made.announcedStates = append(made.announcedStates, view.State) },
		context:        context.Background(),
		tracker:        backend.NewTracker(time.Hour),
	}
	report := backend.Report{Instance: "i", Sequence: 1, Slots: 6}
	made.tracker.HandleReport(0, report)
	made.tracker.HandleProbe(0, backend.ProbeResult{Instance: "i", Healthy: true})
	made.setEvacuated(false)
	return made
}

// zone empties the zone or takes it back.
func (s *zoneBackend) setEvacuated(evacuated bool) {
	s.evacuated = evacuated
	s.recheckZone()
	s.running.Wait()
}

func TestBackEndOfAnEvacuatedZoneAcceptsNoCalls(t *testing.T) {
	check := is.New(t)
	side := newZoneBackend()
	side.setEvacuated(true)
	side.setEvacuated(true) // told twice
	side.setEvacuated(false)
	states := []protocol.EndpointState{protocol.EndpointReady, protocol.EndpointEvacuated, protocol.EndpointReady}
	check.Equal(side.reportedStates, states)
	check.Equal(side.announcedStates, states)
	check.Equal(side.evacuationEnds, 1) // it may have become cold unseen
}

func TestDrainingBackEndStaysClosedAfterEvacuation(t *testing.T) {
	check := is.New(t)
	side := newZoneBackend()
	side.setEvacuated(true)
	side.Leave(protocol.BackendStart{Instance: "i"})
	side.setEvacuated(false)
	check.Equal(side.reportedStates[len(side.reportedStates)-1], protocol.EndpointDraining)
	check.Equal(side.evacuationEnds, 0)
}

// A back end that failed or came back while its zone was to be empty may have become cold too.
func TestEvacuationEndHookRunsForABackEndThatWasDown(t *testing.T) {
	check := is.New(t)
	side := newZoneBackend()
	side.setEvacuated(true)
	side.markUnreachable(protocol.BackendStart{Instance: "i"})
	side.setEvacuated(false)
	check.Equal(side.evacuationEnds, 0) // it takes no work yet
	side.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6})
	check.Equal(side.reportedStates[len(side.reportedStates)-1], protocol.EndpointReady)
	check.Equal(side.evacuationEnds, 1)
}

// The hook is the word of another part; without it the back end counts as it was.
func TestEvacuationEndsWithoutAHook(t *testing.T) {
	check := is.New(t)
	side := newZoneBackend()
	side.config.onEvacuationEnd = nil
	side.setEvacuated(true)
	side.setEvacuated(false)
	check.Equal(side.reportedStates[len(side.reportedStates)-1], protocol.EndpointReady)
}

// orderReader is a store of orders as a daemon reads it.
type fakeOrderStore struct {
	orders evacuation.Orders
	faults map[string]error
	err    error
	// listed counts the lists; onList is called for each one, nil for nothing.
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
	return false, authority.Position{}, result.New(result.PlatformUnavailable, "nothing is watched here")
}

// evacuationMesh is a mesh that reads a store of orders, and what it logs.
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
	made := &evacuationMesh{mesh: newTestMesh("z1", others...), store: &fakeOrderStore{}}
	made.clock = func() time.Duration { return made.now }
	made.storeCalls = &storeCalls{}
	made.client = control.NewClient(nil, controlLimits(), control.NewMeter())
	made.events = newEventLog(logging.NewTo(&made.log, log.InfoLevel), "m", made.clock)
	made.onZoneChange = func() {}
	made.publishState = func(state proxy.MeshState) { made.published = append(made.published, state) }
	made.reader = newEvacuationReader(made.mesh, made.store, testOrderBound)
	made.hasJoined.Store(true)
	return made
}

func TestOrderFromAPeerIsInForceAtOnce(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.handleEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z1"}), Known: true})
	check.Equal(held.published[0].Evacuations.Zones, []string{"z1"})
	check.True(held.isOwnZoneEvacuated())
	check.True(strings.Contains(held.log.String(), "event=evacuation_heard"))
	held.handleEvacuations(0, "b", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 6}, nil), Known: true}) // crossed
	check.True(held.isOwnZoneEvacuated())
	held.store.orders = evacuation.NewOrders(position.Position{Revision: 9}, nil)
	_, err := held.reader.readAndShare()
	check.NoErr(err)
	check.True(!held.isOwnZoneEvacuated())
	check.True(strings.Contains(held.log.String(), "event=evacuation_withdrawn"))
	check.Equal(len(held.published), 2)
}

// All that daemons tell each other carries the orders.
func TestAllMessagesCarryOrders(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.onPeerVersion = func(protocol.NodeID, protocol.Version) {}
	held.store.orders = evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"})
	_, err := held.reader.readAndShare()
	check.NoErr(err)
	want := evacuation.SharedOrders{Orders: held.store.orders, Known: true}
	check.Equal(held.newComparisonRequest().Evacuations, want)
	check.Equal(held.newPushRequest(nil).Evacuations, want)
	check.Equal(held.handleExchangeRequest(&protocol.ExchangeRequest{From: "a", Zone: "z1", Push: true}).Evacuations, want)
}

// A daemon says that it is ready once it knows the orders, or has waited for them as long as
// they may take.
func TestReadinessWaitsForTheOrders(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	check.True(!held.reader.isOrderWaitOver())
	held.now = testOrderBound
	check.True(held.reader.isOrderWaitOver())
	held.now = 0
	held.handleEvacuations(0, "a", evacuation.SharedOrders{Known: true})
	check.True(held.reader.isOrderWaitOver())
}

func TestEarlierStorePositionWithdrawsNoOrder(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.store.orders = evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"})
	_, err := held.reader.readAndShare()
	check.NoErr(err)
	held.store.orders = evacuation.Orders{} // it does not know the kind
	_, err = held.reader.readAndShare()
	check.Equal(codeOf(err), result.PlatformUnknown)
	check.Equal(held.evacuations.Orders().Zones, []string{"z2"})
}

// A store that shows less than it did, as one that was restored does, is asked again after a
// while only: each list is a call.
func TestStoreAtAnEarlierPositionIsNotListedAgainAtOnce(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMeshWith() // nobody to ask
	held.handleEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"}), Known: true})
	held.now = 2 * testOrderBound // the reading is due
	held.store.orders = evacuation.NewOrders(position.Position{Revision: 3}, nil)
	running, end := context.WithTimeout(context.Background(), held.reader.timing.RelistInterval()/4)
	defer end()
	held.context = running
	held.store.onList = func() {
		if held.store.listCount > 1 {
			end() // one too many
		}
	}
	held.reader.refreshOrders()
	check.Equal(held.store.listCount, 1)
	check.Equal(held.evacuations.Orders().Zones, []string{"z2"})
}

// A list that was overtaken by a peer's newer word is no failure: the store has not gone back.
func TestListOlderThanAPeerReadingIsNoFailure(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.store.orders = evacuation.NewOrders(position.Position{Revision: 3}, nil)
	held.store.onList = func() {
		held.handleEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"}), Known: true})
	}
	_, err := held.reader.readAndShare()
	check.NoErr(err)
	check.Equal(held.evacuations.Orders().Zones, []string{"z2"})
}

// Failures of long ago make no wait longer: peers have told the daemon since.
func TestOnlyConsecutiveFailuresLengthenWaits(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.store.err = result.New(result.PlatformUnavailable, "refused")
	check.Equal(held.reader.readCountingFailures(6, true), 7)
	check.Equal(held.reader.readCountingFailures(6, false), 1)
	held.store.err = nil
	check.Equal(held.reader.readCountingFailures(6, true), 0)
}

// Where the store knows no orders at all, the reader that keeps them fresh is enough.
func TestAStoreWithoutOrdersIsListedOnce(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	for range 3 {
		at, err := held.reader.follower.list()
		check.NoErr(err)
		check.True(at.IsEraStart())
	}
	check.Equal(held.store.listCount, 1)
	held.now = testOrderBound
	_, err := held.reader.follower.list()
	check.NoErr(err)
	check.Equal(held.store.listCount, 2) // nobody else seems to read
}

// A long bound does not keep a mesh that starts while the store is down from serving.
func TestLongBoundDoesNotDelayReadiness(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.reader.timing.Within = 10 * time.Minute
	held.now = maxStartOrderWait
	check.True(held.reader.isOrderWaitOver())
}

func TestFaultyOrderIsLoggedOnceAndInForce(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.store.orders = evacuation.NewOrders(position.Position{Revision: 7}, []string{"z1", "z8"})
	held.store.faults = map[string]error{"z1": result.New(result.FileWrongType, "specification")}
	for range 3 {
		_, err := held.reader.readAndShare()
		check.NoErr(err)
	}
	check.Equal(strings.Count(held.log.String(), "event=evacuation_faulty"), 2) // z1 for its text, z8 for its name
	check.True(held.isOwnZoneEvacuated())
	zones, _ := held.evacuatedZones()
	check.Equal(codeOf(held.reader.orderFault(zones[0])), result.FileWrongType)
	check.Equal(codeOf(held.reader.orderFault(zones[1])), result.FileBadReference)
}

// Where the settings have no bound, nothing that peers say is heeded.
func TestOrdersAreIgnoredWithoutABound(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.evacuationTiming = evacuation.Timing{}
	held.handleEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z1"}), Known: true})
	check.True(!held.isOwnZoneEvacuated())
}
