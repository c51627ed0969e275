package demo

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/mesh"
	"github.com/springstack/springstack/internal/result"
)

// meshMachine shortens signatures.
type meshMachine = mesh.Machine

// drainCallers is how many callers call one after the other during the drain.
const drainCallers = 4

// drainBackend stops the daemon beside one of two back ends while callers send
// calls that may not be repeated: none may be cut, and the back end gets none
// after the drain.
func drainBackend(ctx context.Context, d *demo) error {
	leaving := d.mesh.Machines()[1]
	callers := d.startCallers(ctx)
	err := d.until(ctx, "the back end has work", func() bool { return len(leaving.Backend.Runs()) > 0 })
	if err != nil {
		callers.stop()
		return err
	}
	began := time.Now()
	err = d.mesh.Stop(ctx, leaving)
	runs := len(leaving.Backend.Runs())
	calls, failed := callers.stop()
	d.tell("backend_drained", "id", leaving.ID, "stop_ms", time.Since(began).Milliseconds(),
		"calls_meanwhile", calls, "failed", failed)
	if err != nil {
		return err
	}
	if failed > 0 {
		return errors.Errorf("%d of %d calls failed during the drain: %v", failed, calls, callers.example())
	}
	if late := len(leaving.Backend.Runs()) - runs; late > 0 {
		return errors.Errorf("%d calls ran on %s after it had left", late, leaving.ID)
	}
	return d.reaches(ctx, secondPath, renewals)
}

// drainLoad is the callers at work.
type drainLoad struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	calls   atomic.Int64
	failed  atomic.Int64
	first   atomic.Value
}

// startCallers starts callers that send POSTs through the entry.
func (d *demo) startCallers(ctx context.Context) *drainLoad {
	ctx, cancel := context.WithCancel(ctx)
	load := &drainLoad{cancel: cancel}
	address := d.entry.Daemon.Addresses().Callers
	for range drainCallers {
		load.running.Go(func() {
			for ctx.Err() == nil {
				// The call itself is not cancelled: it must end whole.
				got, err := d.calls.do(context.WithoutCancel(ctx), http.MethodPost, address, secondPath+"/charge")
				load.count(got, err)
			}
		})
	}
	return load
}

func (l *drainLoad) count(got outcome, err error) {
	l.calls.Add(1)
	if err == nil && got.status == http.StatusOK {
		return
	}
	l.failed.Add(1)
	if err == nil {
		err = errors.Errorf("status %d code %d %s ran=%s", got.status, got.code, result.Code(got.code).Name(), got.ran)
	}
	l.first.CompareAndSwap(nil, err.Error())
}

// stop ends the callers and returns how many calls they made and how many
// failed.
func (l *drainLoad) stop() (calls, failed int64) {
	l.cancel()
	l.running.Wait()
	return l.calls.Load(), l.failed.Load()
}

// example describes one failure.
func (l *drainLoad) example() any { return l.first.Load() }
