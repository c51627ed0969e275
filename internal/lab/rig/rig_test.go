package rig

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/scenario"
)

func TestCallsGoThroughTheMeshAndNothingIsLeftBehind(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	deployment := scenario.Windhoek()
	for _, withoutLinks := range []bool{true, false} {
		started, err := Start(Options{
			Deployment:   deployment,
			Backend:      backend.Config{MeanService: backend.NoService},
			WithoutLinks: withoutLinks,
			Seed:         1,
		})
		is.NoErr(err)
		kinds := deployment.Kinds()
		kinds[0].Depth = 2
		report, err := load.Run(context.Background(), load.Plan{
			Kinds: kinds, Targets: started.Targets(), Workers: 2, Calls: 100,
			Prefix: "rig", Seed: 1, Origin: started.Origin,
		})
		is.NoErr(err)
		is.Equal(load.Count(report.Results, load.All).Good, len(report.Results))
		is.Equal(load.Judge(kinds, report.Results, started.Records()), load.Verdict{})
		is.Equal(len(started.WaitIdle(context.Background(), time.Minute)), 0)
		started.Close()
	}
}
