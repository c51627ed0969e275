package requestpath

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
	"github.com/springstack/springstack/internal/lab/scenario"
)

// ways are the two plans of one run: through the mesh and straight.
type ways struct {
	mesh   load.Plan
	direct load.Plan
}

// bothWays plans the same calls for both ways: the same seed draws the same
// arrivals and kinds.
func bothWays(started *rig.Rig, options Options) ways {
	kinds := options.Deployment.Kinds()
	plan := load.Plan{Kinds: kinds, Rate: options.Rate, Seed: options.Seed, Origin: started.Origin}
	both := ways{mesh: plan, direct: plan}
	both.mesh.Targets = started.Targets()
	both.direct.Targets, both.direct.Dispatch = directTargets(started, options.Deployment)
	return both
}

// directTargets are the back ends with a dispatch that finds, for each kind of
// call, those of its service in turn.
func directTargets(started *rig.Rig, deployment scenario.Deployment) ([]load.Target, func(sequence, kind int) int) {
	var targets []load.Target
	byService := make(map[string][]int)
	for _, application := range deployment.Applications {
		for _, target := range started.DirectTargets(application.Name) {
			byService[application.Name] = append(byService[application.Name], len(targets))
			targets = append(targets, target)
		}
	}
	dispatch := func(sequence, kind int) int {
		candidates := byService[deployment.Calls[kind].Service]
		return candidates[sequence%len(candidates)]
	}
	return targets, dispatch
}

// runBoth runs the two plans side by side, the direct one half a gap later.
func runBoth(ctx context.Context, both ways, duration time.Duration, prefix string) (mesh, direct *load.Report, err error) {
	both.mesh.Duration = duration
	both.mesh.Prefix = prefix + "-mesh"
	both.direct.Duration = duration
	both.direct.Prefix = prefix + "-direct"
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		mesh, err = load.Run(ctx, both.mesh)
		return errors.Trace(err)
	})
	group.Go(func() (err error) {
		time.Sleep(time.Duration(float64(time.Second) / both.direct.Rate / 2))
		direct, err = load.Run(ctx, both.direct)
		return errors.Trace(err)
	})
	err = group.Wait()
	return mesh, direct, errors.Trace(err)
}
