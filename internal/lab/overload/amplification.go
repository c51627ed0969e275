package overload

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
	"github.com/springstack/springstack/internal/lab/scenario"
)

// The chain of calls whose leaf fails.
const (
	chainDepth = 7
	// chainUpstreams is how many back ends each of the services has.
	chainUpstreams = 3
	chainCalls     = 150
	// chainBound ends the run without any bound on retries, where each call
	// makes thousands.
	chainBound   = 8 * time.Second
	chainWorkers = 4
	chainTimeout = 8 * time.Second
	// leafSuffix ends the request ids of the deepest calls.
	leafSuffix = ".0"
)

// measureAmplification calls seven deep while the leaf fails, and counts how
// often the leaf ran. The calls may be repeated.
func measureAmplification(ctx context.Context, options Options, figures *Figures) error {
	var err error
	options.Progress("retry_amplification_answered")
	figures.AmplificationAnswered, err = amplification(ctx, options, figures, http.StatusServiceUnavailable)
	if err != nil {
		return errors.Trace(err)
	}
	options.Progress("retry_amplification_broken")
	figures.RetryAmplificationDepth7, err = amplification(ctx, options, figures, backend.FailBreak)
	return errors.Trace(err)
}

// amplification is how often the leaf ran for each call.
func amplification(ctx context.Context, options Options, figures *Figures, failure int) (float64, error) {
	started, err := startRig(options, backend.Config{MeanService: backend.NoService}, func(rigOptions *rig.Options) {
		rigOptions.Deployment = chainDeployment()
		rigOptions.Tune = nil
	})
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer started.Close()
	kind := chainDeployment().Calls[0].Kind
	kind.Depth = chainDepth - 1
	kind.Chain = chainHosts()[1:]
	kind.FailStatus = failure
	kind.Timeout = chainTimeout + time.Second
	report, err := load.Run(ctx, load.Plan{
		Kinds:    []load.Kind{kind},
		Targets:  started.Targets(),
		Workers:  chainWorkers,
		Calls:    chainCalls,
		Duration: chainBound,
		Prefix:   "chain",
		Seed:     options.Seed,
		Origin:   started.Origin,
	})
	if err != nil {
		return 0, errors.Trace(err)
	}
	figures.check(ctx, []load.Kind{kind}, report.Results, started)
	leafRuns := 0
	for request, runs := range started.Records() {
		if strings.HasSuffix(string(request), leafSuffix) {
			leafRuns += len(runs)
		}
	}
	return float64(leafRuns) / float64(len(report.Results)), nil
}

// chainHosts are the services of the chain, which are also their hosts.
func chainHosts() []string {
	hosts := make([]string, chainDepth)
	for level := range hosts {
		hosts[level] = fmt.Sprintf("level-%d", level+1)
	}
	return hosts
}

// chainDeployment has a service for each level of the chain, so that calls of
// one level never wait for slots that the level above holds.
func chainDeployment() scenario.Deployment {
	made := deployment()
	lookup := made.Calls[kindLow]
	made.Applications = nil
	made.Calls = nil
	made.RouteTimeout = chainTimeout
	for _, host := range chainHosts() {
		made.Applications = append(made.Applications, scenario.Application{Name: host, Upstreams: chainUpstreams})
		call := lookup
		call.Service = host
		call.Host = host
		made.Calls = append(made.Calls, call)
	}
	return made
}
