package platformtest

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/result"
)

// never is longer than any test runs.
const never = time.Hour

func testLostAnswer(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	harness.Service.SetFaults(standin.Faults{LostAnswer: 1})
	is.Equal(c.create("head", "1").Code, result.PlatformUnknown)
	is.Equal(c.get("head").Code, result.PlatformUnknown)
	harness.Service.SetFaults(standin.Faults{})
	is.Equal(string(c.get("head").Object.Data), "1") // it had its effect
}

func testLostRequest(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	harness.Service.SetFaults(standin.Faults{LostRequest: 1})
	is.Equal(c.create("head", "1").Code, result.PlatformUnknown)
	harness.Service.SetFaults(standin.Faults{})
	is.Equal(c.get("head").Code, result.PlatformNotFound)
}

func testLeaseLapse(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	lease := c.create(standin.LeasePrefix+"windhoek/0", "holder")
	harness.Service.SetFaults(standin.Faults{LeaseLapse: 1})
	is.Equal(c.update(lease.Object.Name, "renewed", lease.Object.Version).Code, result.PlatformUnknown)
	is.Equal(c.create("head", "1").Code, result.OK) // only leases are concerned
	is.Equal(c.get(lease.Object.Name).Object.Version, lease.Object.Version)
}

func testRefusingOutage(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	harness.Service.SetFaults(standin.Faults{Outage: standin.OutageRefusing})
	is.Equal(c.create("head", "1").Code, result.PlatformUnavailable)
	is.Equal(c.do(object.Call{Kind: object.CallMachines}).Code, result.PlatformUnavailable)
	harness.Service.SetFaults(standin.Faults{})
	is.Equal(c.get("head").Code, result.PlatformNotFound)
}

func testSilentOutage(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	harness.Service.SetFaults(standin.Faults{Outage: standin.OutageSilent})
	create := object.Call{Kind: object.CallCreate, Name: "head", Data: []byte("1")}
	is.Equal(c.doBriefly(create).Code, result.PlatformUnknown)
	harness.Service.SetFaults(standin.Faults{})
	is.Equal(c.get("head").Code, result.PlatformNotFound)
}

func testSlowness(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	harness.Service.SetFaults(standin.Faults{Slowness: never})
	is.Equal(c.doBriefly(object.Call{Kind: object.CallGet, Name: "head"}).Code, result.PlatformUnknown)
	harness.Service.SetFaults(standin.Faults{Slowness: 2 * time.Millisecond, Jitter: time.Millisecond})
	is.Equal(c.create("head", "1").Code, result.OK)
}

func testLag(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	c.create("head", "1")
	harness.Service.SetMachines([]object.Machine{{ID: "m"}})
	harness.Service.SetFaults(standin.Faults{ListLag: never, MachineLag: never})
	list := c.do(object.Call{Kind: object.CallList})
	is.Equal(list.Code, result.OK)
	is.Equal(len(list.Objects), 0)
	is.Equal(list.ListVersion, object.Version(0)) // a watch from here sees what the list missed
	is.Equal(len(c.do(object.Call{Kind: object.CallMachines}).Machines), 0)
	is.Equal(string(c.get("head").Object.Data), "1")
}

func testReaderLimit(t *testing.T, start Starter) {
	is := is.New(t)
	limits := standin.DefaultLimits()
	limits.Readers = 2
	limits.ReaderWindow = never
	harness := start(t, limits)
	a, b, c := newClient(t, harness, "a"), newClient(t, harness, "b"), newClient(t, harness, "c")
	is.Equal(a.get("head").Code, result.PlatformNotFound)
	watch := startWatch(b, "", 0)
	a.create("head", "1")
	watch.next() // the watch is open
	is.Equal(c.get("head").Code, result.PlatformTooManyReaders)
	is.Equal(startWatch(c, "", 0).end(), result.PlatformTooManyReaders)
	is.Equal(a.get("head").Code, result.OK)      // who reads already may go on
	is.Equal(c.create("b", "2").Code, result.OK) // writing is no reading
	is.Equal(harness.Service.Counters().Readers, 2)
	is.Equal(harness.Service.Counters().ReadersMax, 2)
}
