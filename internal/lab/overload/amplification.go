package overload

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
)

// The chain of calls whose leaf fails.
const (
	chainDepth = 7
	// chainCalls is small, since without any bound each makes thousands.
	chainCalls   = 24
	chainWorkers = 2
	chainTimeout = 10 * time.Second
	// leafSuffix ends the request ids of the deepest calls.
	leafSuffix = ".0"
)

// measureAmplification calls seven deep while the leaf answers 503, and counts
// how often the leaf ran. The calls may be repeated.
func measureAmplification(ctx context.Context, options Options, figures *Figures) error {
	options.Progress("retry_amplification")
	started, err := startRig(options, backend.Config{MeanService: backend.NoService}, func(rigOptions *rig.Options) {
		rigOptions.Deployment.RouteTimeout = chainTimeout
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer started.Close()
	kind := deployment().Calls[kindLow].Kind
	kind.Depth = chainDepth - 1
	kind.FailStatus = http.StatusServiceUnavailable
	kind.Timeout = chainTimeout
	report, err := load.Run(ctx, load.Plan{
		Kinds:   []load.Kind{kind},
		Targets: started.Targets(),
		Workers: chainWorkers,
		Calls:   chainCalls,
		Prefix:  "chain",
		Seed:    options.Seed,
		Origin:  started.Origin,
	})
	if err != nil {
		return errors.Trace(err)
	}
	figures.check(ctx, []load.Kind{kind}, report.Results, started)
	leafRuns := 0
	for request, runs := range started.Records() {
		if strings.HasSuffix(string(request), leafSuffix) {
			leafRuns += len(runs)
		}
	}
	figures.RetryAmplificationDepth7 = float64(leafRuns) / float64(len(report.Results))
	return nil
}
