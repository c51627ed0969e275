package rolling

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
)

// static restarts data paths that get their configuration from the rig.
type static struct {
	rig *rig.Rig
}

// startStatic starts a rig.
func startStatic(options Options, config backend.Config) (system, error) {
	started, err := rig.Start(rig.Options{
		Deployment:   options.Deployment,
		Backend:      config,
		WithoutLinks: true,
		WithoutNews:  options.WithoutNews,
		Seed:         options.Seed,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &static{rig: started}, nil
}

func (s *static) origin() time.Time { return s.rig.Origin }

func (s *static) units() []unit {
	var units []unit
	for _, machine := range s.rig.Machines {
		units = append(units, unit{name: machine.Upstream.Name, service: machine.Upstream.Service, server: machine.Backend})
	}
	return units
}

func (s *static) targets() []load.Target { return s.rig.Targets() }

func (s *static) stopDaemon(ctx context.Context, number int) error {
	return s.rig.StopDaemon(ctx, s.rig.Machines[number])
}

func (s *static) startDaemon(_ context.Context, number int) error {
	return s.rig.StartDaemon(s.rig.Machines[number])
}

func (s *static) waitReady(ctx context.Context, number int) bool {
	return s.rig.WaitReady(ctx, s.rig.Machines[number], readyWait)
}

func (s *static) busy(ctx context.Context) []string { return s.rig.WaitIdle(ctx, idleWait) }

func (s *static) close() { s.rig.Close() }
