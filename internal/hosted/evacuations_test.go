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

const testWithin = 5 * time.Second

// zoneSide is the side of a back end whose zone is emptied and taken back.
type zoneSide struct {
	*backendSide
	now       time.Duration
	evacuated bool
	// takenBack counts the calls of the hook, reported are the states told to the gate.
	takenBack int
	reported  []protocol.EndpointState
	announced []protocol.EndpointState
}

func newZoneSide() *zoneSide {
	made := &zoneSide{}
	made.backendSide = &backendSide{
		settings: hostedBackend{
			healthPath: func() string { return "" },
			joined:     func() bool { return false },
			evacuated:  func() bool { return made.evacuated },
			takenBack:  func() { made.takenBack++ },
		},
		clock:    func() time.Duration { return made.now },
		gate:     func(report proxy.BackendReport) { made.reported = append(made.reported, report.State) },
		cold:     func(time.Duration) {},
		announce: func(view backend.View) { made.announced = append(made.announced, view.State) },
		context:  context.Background(),
		tracker:  backend.NewTracker(time.Hour),
	}
	report := backend.Report{Instance: "i", Sequence: 1, Slots: 6}
	made.tracker.HandleReport(0, report)
	made.tracker.HandleProbe(0, backend.ProbeResult{Instance: "i", Healthy: true})
	made.zone(false)
	return made
}

// zone empties the zone or takes it back.
func (s *zoneSide) zone(evacuated bool) {
	s.evacuated = evacuated
	s.zoneChanged()
	s.running.Wait()
}

func TestTheBackEndOfAnEvacuatedZoneTakesNoWork(t *testing.T) {
	check := is.New(t)
	side := newZoneSide()
	side.zone(true)
	side.zone(true) // told twice
	side.zone(false)
	states := []protocol.EndpointState{protocol.EndpointReady, protocol.EndpointEvacuated, protocol.EndpointReady}
	check.Equal(side.reported, states)
	check.Equal(side.announced, states)
	check.Equal(side.takenBack, 1) // it may have become cold unseen
}

func TestABackEndThatLeftDoesNotComeBackWithItsZone(t *testing.T) {
	check := is.New(t)
	side := newZoneSide()
	side.zone(true)
	side.Leave(protocol.BackendStart{Instance: "i"})
	side.zone(false)
	check.Equal(side.reported[len(side.reported)-1], protocol.EndpointDraining)
	check.Equal(side.takenBack, 0)
}

// A back end that failed or came back while its zone was to be empty may have become cold too.
func TestTakingBackIsToldOfABackEndThatWasDown(t *testing.T) {
	check := is.New(t)
	side := newZoneSide()
	side.zone(true)
	side.unreachable(protocol.BackendStart{Instance: "i"})
	side.zone(false)
	check.Equal(side.takenBack, 0) // it takes no work yet
	side.Heartbeat(backend.Report{Instance: "i", Sequence: 2, Slots: 6})
	check.Equal(side.reported[len(side.reported)-1], protocol.EndpointReady)
	check.Equal(side.takenBack, 1)
}

// The hook is the word of another part; without it the back end counts as it was.
func TestTakingBackNeedsNoHook(t *testing.T) {
	check := is.New(t)
	side := newZoneSide()
	side.settings.takenBack = nil
	side.zone(true)
	side.zone(false)
	check.Equal(side.reported[len(side.reported)-1], protocol.EndpointReady)
}

// orderReader is a store of orders as a daemon reads it.
type orderReader struct {
	orders evacuation.Orders
	faults map[string]error
	err    error
	// listed counts the lists; onList is called for each one, nil for nothing.
	listed int
	onList func()
}

func (o *orderReader) List(context.Context) (evacuation.Orders, map[string]error, error) {
	o.listed++
	if o.onList != nil {
		o.onList()
	}
	return o.orders, o.faults, o.err
}

func (o *orderReader) Watch(context.Context, authority.Position, time.Duration) (bool, authority.Position, error) {
	return false, authority.Position{}, result.New(result.PlatformUnavailable, "nothing is watched here")
}

// evacuationMesh is a mesh that reads a store of orders, and what it logs.
type evacuationMesh struct {
	*mesh
	reader    *evacuationReader
	port      *orderReader
	now       time.Duration
	log       bytes.Buffer
	published []proxy.MeshState
}

func newEvacuationMesh() *evacuationMesh {
	return newEvacuationMeshAmong(member("a", "z1"), member("b", "z2"))
}

func newEvacuationMeshAmong(others ...protocol.Member) *evacuationMesh {
	made := &evacuationMesh{mesh: newTestMesh("z1", others...), port: &orderReader{}}
	made.clock = func() time.Duration { return made.now }
	made.calls = &storeCalls{}
	made.client = control.NewClient(nil, controlLimits(), control.NewMeter())
	made.events = newEventLog(logging.NewTo(&made.log, log.InfoLevel), "m", made.clock)
	made.zoneChanged = func() {}
	made.publish = func(state proxy.MeshState) { made.published = append(made.published, state) }
	made.reader = newEvacuationReader(made.mesh, made.port, testWithin)
	made.hasJoined.Store(true)
	return made
}

func TestNewsOfAnOrderIsInForceAtOnce(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.takeEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z1"}), Known: true})
	check.Equal(held.published[0].Evacuations.Zones, []string{"z1"})
	check.True(held.evacuated())
	check.True(strings.Contains(held.log.String(), "event=evacuation_heard"))
	held.takeEvacuations(0, "b", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 6}, nil), Known: true}) // crossed
	check.True(held.evacuated())
	held.port.orders = evacuation.NewOrders(position.Position{Revision: 9}, nil)
	_, err := held.reader.read()
	check.NoErr(err)
	check.True(!held.evacuated())
	check.True(strings.Contains(held.log.String(), "event=evacuation_withdrawn"))
	check.Equal(len(held.published), 2)
}

// All that daemons tell each other carries the orders.
func TestAllMessagesTellOfOrders(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.heardOf = func(protocol.NodeID, protocol.Version) {}
	held.port.orders = evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"})
	_, err := held.reader.read()
	check.NoErr(err)
	want := evacuation.SharedOrders{Orders: held.port.orders, Known: true}
	check.Equal(held.request().Evacuations, want)
	check.Equal(held.pushRequest(nil).Evacuations, want)
	check.Equal(held.answerExchange(&protocol.ExchangeRequest{From: "a", Zone: "z1", Push: true}).Evacuations, want)
}

// A daemon says that it is ready once it knows the orders, or has waited for them as long as
// they may take.
func TestReadinessWaitsForTheOrders(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	check.True(!held.reader.informed())
	held.now = testWithin
	check.True(held.reader.informed())
	held.now = 0
	held.takeEvacuations(0, "a", evacuation.SharedOrders{Known: true})
	check.True(held.reader.informed())
}

func TestAStoreThatShowsNoOrdersAnyMoreWithdrawsNone(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.port.orders = evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"})
	_, err := held.reader.read()
	check.NoErr(err)
	held.port.orders = evacuation.Orders{} // it does not know the kind
	_, err = held.reader.read()
	check.Equal(codeOf(err), result.PlatformUnknown)
	check.Equal(held.evacuations.Orders().Zones, []string{"z2"})
}

// A store that shows less than it did, as one that was restored does, is asked again after a
// while only: each list is a call.
func TestAStoreThatWentBackIsNotStormed(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMeshAmong() // nobody to ask
	held.takeEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"}), Known: true})
	held.now = 2 * testWithin // the reading is due
	held.port.orders = evacuation.NewOrders(position.Position{Revision: 3}, nil)
	running, end := context.WithTimeout(context.Background(), held.reader.timing.RelistInterval()/4)
	defer end()
	held.context = running
	held.port.onList = func() {
		if held.port.listed > 1 {
			end() // one too many
		}
	}
	held.reader.keepFresh()
	check.Equal(held.port.listed, 1)
	check.Equal(held.evacuations.Orders().Zones, []string{"z2"})
}

// A list that was overtaken by a peer's newer word is no failure: the store has not gone back.
func TestAListThatAPeerOvertookIsNoFailure(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.port.orders = evacuation.NewOrders(position.Position{Revision: 3}, nil)
	held.port.onList = func() {
		held.takeEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z2"}), Known: true})
	}
	_, err := held.reader.read()
	check.NoErr(err)
	check.Equal(held.evacuations.Orders().Zones, []string{"z2"})
}

// Failures of long ago make no wait longer: peers have told the daemon since.
func TestOnlyFailuresInARowMakeWaitsLonger(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.port.err = result.New(result.PlatformUnavailable, "refused")
	check.Equal(held.reader.readOnce(6, true), 7)
	check.Equal(held.reader.readOnce(6, false), 1)
	held.port.err = nil
	check.Equal(held.reader.readOnce(6, true), 0)
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
	check.Equal(held.port.listed, 1)
	held.now = testWithin
	_, err := held.reader.follower.list()
	check.NoErr(err)
	check.Equal(held.port.listed, 2) // nobody else seems to read
}

// A long bound does not keep a mesh that starts while the store is down from serving.
func TestALongBoundDoesNotHoldUpReadiness(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.reader.timing.Within = 10 * time.Minute
	held.now = longestOrderWait
	check.True(held.reader.informed())
}

func TestAFaultyOrderIsToldOnceAndBindsAll(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.port.orders = evacuation.NewOrders(position.Position{Revision: 7}, []string{"z1", "z8"})
	held.port.faults = map[string]error{"z1": result.New(result.FileWrongType, "specification")}
	for range 3 {
		_, err := held.reader.read()
		check.NoErr(err)
	}
	check.Equal(strings.Count(held.log.String(), "event=evacuation_faulty"), 2) // z1 for its text, z8 for its name
	check.True(held.evacuated())
	zones, _ := held.evacuatedZones()
	check.Equal(codeOf(held.reader.fault(zones[0])), result.FileWrongType)
	check.Equal(codeOf(held.reader.fault(zones[1])), result.FileBadReference)
}

// Where the settings have no bound, nothing that peers say is heeded.
func TestWithoutABoundNoWordIsHeeded(t *testing.T) {
	check := is.New(t)
	held := newEvacuationMesh()
	held.evacuationTiming = evacuation.Timing{}
	held.takeEvacuations(0, "a", evacuation.SharedOrders{Orders: evacuation.NewOrders(position.Position{Revision: 7}, []string{"z1"}), Known: true})
	check.True(!held.evacuated())
}
