package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/daemon"
	"github.com/springstack/springstack/internal/lab/catalogue"
	"github.com/springstack/springstack/internal/settings"
)

// anyPort listens on a free loopback port.
const anyPort = "127.0.0.1:0"

// realPoll is how often the version of a real daemon is looked at.
const realPoll = 2 * time.Millisecond

// startReal starts whole daemons, with data path and all five addresses, beside
// the hollow ones.
func (r *run) startReal() error {
	for number := range r.options.Real {
		given := settings.Default()
		given.Node = settings.Node{
			ID:     fmt.Sprintf("real-%02d", number),
			Region: catalogue.RegionName(number * 3),
			Zone:   catalogue.ZoneName(number * 3),
		}
		given.Listen = settings.Listen{
			Callers: anyPort, Gate: anyPort, Control: anyPort, Operators: anyPort, Admin: anyPort,
		}
		given.Mesh.Seeds = r.cluster.Seeds()
		given.Mesh.Partners = lo.Map(catalogue.Partners(), func(one resource.Partner, _ int) string { return string(one) })
		given.Platform.URL = r.cluster.PlatformURL()
		started := daemon.New(given, daemon.Overrides{RandomSeed: r.options.Seed + uint64(number)})
		if err := started.Start(); err != nil {
			return errors.Trace(err)
		}
		r.real = append(r.real, started)
	}
	return nil
}

// stopReal ends the whole daemons at once.
func (r *run) stopReal() {
	for _, one := range r.real {
		one.Kill()
	}
	r.real = nil
}

// awaitReal waits until the whole daemons hold a version as well.
func (r *run) awaitReal(ctx context.Context, version protocol.Version, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticker := time.NewTicker(realPoll)
	defer ticker.Stop()
	for _, one := range r.real {
		for one.State().Version < version {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return errors.Errorf("a whole daemon holds version %d and not %d after %v", one.State().Version, version, bound)
			}
		}
	}
	return nil
}
