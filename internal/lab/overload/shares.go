package overload

import (
	"context"
	"math"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
	"github.com/springstack/springstack/internal/lab/scenario"
)

// The two partners' loads: the greedy one offers much more than its half, the
// other somewhat more than its half.
const (
	guestPartner = resource.Partner("adomako")
	guestHost    = "guest"
	greedyWeight = 25
	guestWeight  = 10
	sharesLoad   = float64(greedyWeight+guestWeight) / 10
	dueShare     = 0.5
)

// measureShares has two partners want the same service with calls of the same
// priority.
func measureShares(ctx context.Context, options Options, figures *Figures) error {
	options.Progress("partner_shares")
	made := deployment()
	greedy := mixed(made.Calls[kindLow], greedyWeight)
	guest := mixed(made.Calls[kindLow], guestWeight)
	guest.Host = guestHost
	started, err := startRig(options, backend.Config{MeanService: meanService}, func(rigOptions *rig.Options) {
		rigOptions.Deployment.Calls = []scenario.Call{greedy}
		rigOptions.ExtraRoutes = []resource.Route{made.Route(guestPartner, guest)}
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer started.Close()
	kinds := []load.Kind{greedy.Kind, guest.Kind}
	report, err := step(ctx, options, started, kinds, sharesLoad, "shares")
	if err != nil {
		return errors.Trace(err)
	}
	figures.check(ctx, kinds, report.Results, started)
	include := steady(report)
	good := func(kind int) float64 {
		ofKind := func(outcome load.Result) bool { return include(outcome) && outcome.Kind == kind }
		return float64(load.Count(report.Results, ofKind).Good)
	}
	total := good(0) + good(1)
	if total == 0 {
		return errors.New("no call of either partner was answered")
	}
	figures.PartnerShareError = math.Abs(good(1)/total-dueShare) / dueShare
	return nil
}
