package rolling

import (
	"context"
	"time"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/pause"
)

// system is what is restarted under load.
type system interface {
	// origin is where the times of records count from.
	origin() time.Time
	// units are the machines, in the order in which they are restarted.
	units() []unit
	// targets are the daemons as callers reach them.
	targets() []load.Target
	// stopDaemon stops a unit's daemon as planned; startDaemon starts it anew
	// and waits until it serves.
	stopDaemon(ctx context.Context, number int) error
	startDaemon(ctx context.Context, number int) error
	// waitReady waits until the mesh calls a unit's back end ready.
	waitReady(ctx context.Context, number int) bool
	// busy names the units whose gates do not return to idle.
	busy(ctx context.Context) []string
	close()
}

// unit is one machine: a back end with the daemon beside it.
type unit struct {
	name    string
	service string
	server  *backend.Server
}

// restartBackend has a back end signal its drain, stops it once nothing runs
// and starts it cold.
func restartBackend(ctx context.Context, server *backend.Server) error {
	server.Drain()
	pause.For(ctx, drainNotice)
	ctx, cancel := context.WithTimeout(ctx, stopBound)
	defer cancel()
	if err := server.Stop(ctx); err != nil {
		return err
	}
	return server.Restart()
}

// pollEvery is how often a wait looks.
const pollEvery = 20 * time.Millisecond

// until waits for a condition; false when it does not come true in time.
func until(ctx context.Context, bound time.Duration, condition func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
