// Package platformtest is the conformance test of platform ports. Run holds a
// port to the same behaviour whatever carries it: in memory, HTTP, or the
// adapter of another object API.
package platformtest

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/platform"
	"github.com/springstack/springstack/internal/result"
)

// Harness is one platform under test.
type Harness struct {
	// Service is the platform behind the ports; faults are switched on here.
	Service *standin.Service
	// Port returns the port of a client.
	Port func(client string) platform.Port
}

// Starter starts an empty platform with limits. It stops it by t.Cleanup.
type Starter func(t *testing.T, limits standin.Limits) Harness

// patience bounds what a test waits for that has to come; silence is how long
// a caller waits for an answer that never comes.
const (
	patience = 20 * time.Second
	silence  = 100 * time.Millisecond
)

// Run runs the whole conformance test.
func Run(t *testing.T, start Starter) {
	tests := []struct {
		name string
		run  func(t *testing.T, start Starter)
	}{
		{"object life cycle", testLifeCycle},
		{"values and names round trip", testRoundTrip},
		{"lists and machine list", testLists},
		{"object size limit", testSizeLimit},
		{"one of many updates wins", testOneWins},
		{"lost answer after effect", testLostAnswer},
		{"lost request", testLostRequest},
		{"lease lapse", testLeaseLapse},
		{"refusing outage", testRefusingOutage},
		{"silent outage", testSilentOutage},
		{"slowness", testSlowness},
		{"lag", testLag},
		{"reader limit", testReaderLimit},
		{"watch delivers changes", testWatch},
		{"watch after compaction", testWatchCompacted},
		{"watch in a refusing outage", testWatchOutage},
		{"watch with faulty delivery", testWatchFaults},
		{"watch breaks", testWatchBreaks},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.run(t, start) })
	}
}

// client is a port with short hands for the calls.
type client struct {
	t    *testing.T
	port platform.Port
}

func newClient(t *testing.T, harness Harness, id string) client {
	return client{t: t, port: harness.Port(id)}
}

func (c client) do(call object.Call) object.Reply {
	ctx, cancel := context.WithTimeout(c.t.Context(), patience)
	defer cancel()
	return c.port.Do(ctx, call)
}

// doBriefly gives up soon, for calls that are never answered.
func (c client) doBriefly(call object.Call) object.Reply {
	ctx, cancel := context.WithTimeout(c.t.Context(), silence)
	defer cancel()
	return c.port.Do(ctx, call)
}

func (c client) get(name string) object.Reply {
	return c.do(object.Call{Kind: object.CallGet, Name: name})
}

func (c client) create(name, data string) object.Reply {
	return c.do(object.Call{Kind: object.CallCreate, Name: name, Data: []byte(data)})
}

func (c client) update(name, data string, expect object.Version) object.Reply {
	return c.do(object.Call{Kind: object.CallUpdate, Name: name, Data: []byte(data), Expect: expect})
}

func (c client) remove(name string, expect object.Version) object.Reply {
	return c.do(object.Call{Kind: object.CallDelete, Name: name, Expect: expect})
}

func testLifeCycle(t *testing.T, start Starter) {
	is := is.New(t)
	c := newClient(t, start(t, standin.DefaultLimits()), "a")
	is.Equal(c.get("head").Code, result.PlatformNotFound)
	is.Equal(c.update("head", "1", 1).Code, result.PlatformNotFound)
	is.Equal(c.remove("head", 1).Code, result.PlatformNotFound)
	first := c.create("head", "1")
	is.Equal(first.Code, result.OK)
	is.Equal(c.create("head", "2").Code, result.PlatformExists)
	second := c.update("head", "2", first.Object.Version)
	is.Equal(second.Code, result.OK)
	is.True(second.Object.Version > first.Object.Version)
	is.Equal(c.update("head", "2", first.Object.Version).Code, result.PlatformConflict)
	is.Equal(c.remove("head", first.Object.Version).Code, result.PlatformConflict)
	got := c.get("head")
	is.Equal(string(got.Object.Data), "2")
	is.Equal(got.Object.Version, second.Object.Version)
	is.Equal(c.remove("head", second.Object.Version).Code, result.OK)
	is.Equal(c.get("head").Code, result.PlatformNotFound)
	is.True(c.create("head", "3").Object.Version > second.Object.Version) // a new object never has an old version
}

func testRoundTrip(t *testing.T, start Starter) {
	is := is.New(t)
	c := newClient(t, start(t, standin.DefaultLimits()), "a")
	all := make([]byte, 256)
	for i := range all {
		all[i] = byte(i)
	}
	for _, name := range []string{"head", "content/4f2a", "lease/a b/é?&=#%2F", "../up"} {
		for _, data := range []string{"", string(all)} {
			created := c.create(name, data)
			is.Equal(created.Code, result.OK)
			got := c.get(name)
			is.Equal(got.Object.Name, name)
			is.Equal(string(got.Object.Data), data)
			is.Equal(c.remove(name, got.Object.Version).Code, result.OK)
		}
	}
}

func testLists(t *testing.T, start Starter) {
	is := is.New(t)
	harness := start(t, standin.DefaultLimits())
	c := newClient(t, harness, "a")
	c.create("content/b", "2")
	c.create("content/a", "1")
	last := c.create("head", "3")
	list := c.do(object.Call{Kind: object.CallList, Name: "content/"})
	is.Equal(list.Code, result.OK)
	is.Equal(len(list.Objects), 2)
	is.Equal(list.Objects[0].Name, "content/a")
	is.Equal(string(list.Objects[0].Data), "1")
	is.Equal(list.ListVersion, last.Object.Version)
	machine := object.Machine{ID: "m", Address: "10.0.0.1:1", Region: "windhoek", Zone: "klein-hall", Leaving: true}
	harness.Service.SetMachines([]object.Machine{machine})
	machines := c.do(object.Call{Kind: object.CallMachines})
	is.Equal(machines.Code, result.OK)
	is.Equal(machines.Machines, []object.Machine{machine})
}

func testSizeLimit(t *testing.T, start Starter) {
	is := is.New(t)
	limits := standin.DefaultLimits()
	c := newClient(t, start(t, limits), "a")
	largest := string(make([]byte, limits.ObjectBytes))
	created := c.create("head", largest)
	is.Equal(created.Code, result.OK)
	is.Equal(len(c.get("head").Object.Data), limits.ObjectBytes)
	is.Equal(c.update("head", largest+"x", created.Object.Version).Code, result.PlatformTooLarge)
	is.Equal(c.get("head").Object.Version, created.Object.Version)
}

func testOneWins(t *testing.T, start Starter) {
	is := is.New(t)
	c := newClient(t, start(t, standin.DefaultLimits()), "a")
	first := c.create("head", "1")
	const rivals = 8
	codes := make(chan result.Code, rivals)
	for range rivals {
		go func() { codes <- c.update("head", "2", first.Object.Version).Code }()
	}
	won := 0
	for range rivals {
		switch code := <-codes; code {
		case result.OK:
			won++
		default:
			is.Equal(code, result.PlatformConflict)
		}
	}
	is.Equal(won, 1)
}
