package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/link"
	"github.com/springstack/springstack/internal/lab/rig"
	"github.com/springstack/springstack/internal/pause"
)

// injector draws one fault after the other. One goroutine uses it.
type injector struct {
	random *rand.Rand
	rig    *rig.Rig
	counts map[string]int
}

// Times of the faults.
const (
	faultGap = 120 * time.Millisecond
	cutFor   = 300 * time.Millisecond
	downFor  = 150 * time.Millisecond
)

// Byte classes of a connection: within the headers, within a small body or
// answer, and within a large one.
var byteClasses = []int64{0, 1, 40, 200, 700, 2 << 10, 20 << 10, 60 << 10}

// crashPoints are the points of a call at which a back end is made to die.
var crashPoints = []backend.CrashPoint{
	backend.CrashBeforeReading, backend.CrashMidWork, backend.CrashBeforeAnswering, backend.CrashMidAnswer,
}

// newInjector returns an injector of a rig.
func newInjector(seed uint64, started *rig.Rig) *injector {
	return &injector{
		random: rand.New(rand.NewPCG(seed, seed^0xa0761d6478bd642f)),
		rig:    started,
		counts: make(map[string]int),
	}
}

// run injects faults until the time is over and mends the last one.
func (i *injector) run(ctx context.Context, duration time.Duration) error {
	end := time.Now().Add(duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		machine := i.rig.Machines[i.random.IntN(len(i.rig.Machines))]
		if err := i.inject(ctx, machine); err != nil {
			return errors.Trace(err)
		}
		pause.For(ctx, faultGap)
	}
	return nil
}

// inject draws and carries out one fault at a machine.
func (i *injector) inject(ctx context.Context, machine *rig.Machine) error {
	switch i.random.IntN(5) {
	case 0:
		return errors.Trace(i.crashBackend(ctx, machine))
	case 1:
		return errors.Trace(i.killDaemon(ctx, machine))
	case 2:
		i.resetConnection(machine)
	case 3:
		i.cutLink(ctx, machine)
	case 4:
		i.resetAll(machine)
	}
	return nil
}

// crashBackend makes a back end die at a drawn point of its next call.
func (i *injector) crashBackend(ctx context.Context, machine *rig.Machine) error {
	point := crashPoints[i.random.IntN(len(crashPoints))]
	i.counts[fmt.Sprintf("backend_crash_point_%d", point)]++
	machine.Backend.With(func(model *backend.Model, _ time.Duration) { model.PlanCrash(point, 0) })
	pause.For(ctx, downFor)
	return errors.Annotate(machine.Backend.Restart(), machine.Upstream.Name)
}

// killDaemon kills the daemon beside a back end and starts it anew.
func (i *injector) killDaemon(ctx context.Context, machine *rig.Machine) error {
	i.counts["daemon_killed"]++
	i.rig.KillDaemon(machine)
	pause.For(ctx, downFor)
	return errors.Trace(i.rig.StartDaemon(machine))
}

// resetConnection resets one connection after a drawn number of bytes.
func (i *injector) resetConnection(machine *rig.Machine) {
	direction := i.direction()
	count := byteClasses[i.random.IntN(len(byteClasses))]
	i.counts[fmt.Sprintf("reset_direction_%d_byte_%d", direction, count)]++
	i.drawLink(machine).ResetAfter(direction, count)
}

// cutLink holds back one or both directions for a moment.
func (i *injector) cutLink(ctx context.Context, machine *rig.Machine) {
	chosen := i.drawLink(machine)
	direction := i.direction()
	both := i.random.IntN(2) == 0
	chosen.Cut(direction)
	if both {
		chosen.Cut(link.Forward)
		chosen.Cut(link.Backward)
	}
	i.counts[fmt.Sprintf("cut_direction_%d_both_%t", direction, both)]++
	pause.For(ctx, cutFor)
	chosen.Heal(link.Forward)
	chosen.Heal(link.Backward)
}

// resetAll resets all connections of one link at once.
func (i *injector) resetAll(machine *rig.Machine) {
	i.counts["reset_all"]++
	i.drawLink(machine).Reset()
}

// drawLink is the link to the back end or one of those between zones.
func (i *injector) drawLink(machine *rig.Machine) *link.Link {
	links := machine.Links()
	return links[i.random.IntN(len(links))]
}

// direction draws one way of a link.
func (i *injector) direction() link.Direction {
	if i.random.IntN(2) == 0 {
		return link.Forward
	}
	return link.Backward
}
