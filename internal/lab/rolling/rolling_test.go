package rolling

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
)

func TestLatenessLooksOnlyBetweenNoticeAndStop(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	server, err := backend.Start("b", "127.0.0.1:0", backend.Config{}, time.Now(), nil)
	is.NoErr(err)
	defer server.Crash()
	arrive := func(at time.Duration) {
		server.With(func(model *backend.Model, _ time.Duration) { model.Arrive(at, "r") })
	}
	leaving := departure{unit: unit{server: server}, notice: time.Second, gone: 10 * time.Second}
	arrive(time.Second / 2)
	is.Equal(leaving.lateness(), time.Duration(0))
	arrive(3 * time.Second)
	arrive(11 * time.Second)
	is.Equal(leaving.lateness(), 2*time.Second)
}

// fake is a system of one back end without a mesh.
type fake struct {
	system
	server *backend.Server
}

func (f fake) units() []unit { return []unit{{name: "b", server: f.server}} }

func TestCutCallsAndLateWorkAreViolations(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	server, err := backend.Start("b", "127.0.0.1:0", backend.Config{}, time.Now(), nil)
	is.NoErr(err)
	defer server.Crash()
	server.With(func(model *backend.Model, _ time.Duration) { model.Arrive(9*time.Second, "late") })
	leaving := departure{unit: unit{name: "b", server: server}, notice: time.Second, gone: 10 * time.Second}
	report := &load.Report{Results: []load.Result{{Request: "r", Fault: load.FaultBroken}}}
	var figures Figures
	figures.fill([]load.Kind{{}}, report, fake{server: server}, []departure{leaving})
	figures.sumUp()
	is.Equal(figures.Cut, 1)
	is.Equal(figures.LateNewWork, 8000.0)
	is.Equal(figures.Violations, 2)
}

func TestUntilEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	is.True(until(context.Background(), time.Minute, func() bool { return true }))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(!until(ended, time.Minute, func() bool { return false }))
}
