package main

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// draining is a daemon whose stop lasts until the test ends it or its context is done.
type draining struct {
	started chan struct{}
	stopped chan struct{}
	drained chan struct{}
	// cut is closed when the stop was ended early.
	cut chan struct{}
}

func newDraining() *draining {
	return &draining{
		started: make(chan struct{}), stopped: make(chan struct{}),
		drained: make(chan struct{}), cut: make(chan struct{}),
	}
}

func (d *draining) Start() error {
	close(d.started)
	return nil
}

func (d *draining) Stop(ctx context.Context) error {
	close(d.stopped)
	select {
	case <-d.drained:
	case <-ctx.Done():
		close(d.cut)
	}
	return nil
}

// signalTime is how long a signal may take to arrive where it must not do anything.
const signalTime = 100 * time.Millisecond

func send(t *testing.T, signal syscall.Signal) {
	t.Helper()
	is.New(t).NoErr(syscall.Kill(os.Getpid(), signal))
}

// A platform may send its order to stop again, as when two rollouts overlap. The drain
// goes on: ending it would cut the calls that run.
func TestAnOrderToStopThatIsRepeatedCutsNothing(t *testing.T) {
	check := is.New(t)
	daemon := newDraining()
	ended := make(chan error, 1)
	go func() { ended <- untilSignal(context.Background(), daemon) }()
	<-daemon.started
	for range 3 {
		send(t, syscall.SIGTERM)
		<-daemon.stopped
	}
	select {
	case <-daemon.cut:
		t.Fatal("the drain was ended")
	case <-time.After(signalTime):
	}
	close(daemon.drained)
	check.NoErr(<-ended)
}

// Whoever sits at a terminal can end the drain.
func TestAnInterruptDuringTheDrainEndsIt(t *testing.T) {
	check := is.New(t)
	daemon := newDraining()
	ended := make(chan error, 1)
	go func() { ended <- untilSignal(context.Background(), daemon) }()
	<-daemon.started
	send(t, syscall.SIGINT)
	<-daemon.stopped
	send(t, syscall.SIGINT)
	<-daemon.cut
	check.NoErr(<-ended)
}

// A hangup that comes before the daemon has started ends nothing, and is heeded once.
func TestAHangupDuringTheStartIsHeeded(t *testing.T) {
	check := is.New(t)
	hangups, stop := notifyHangups()
	defer stop()
	send(t, syscall.SIGHUP)
	changed := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchSettings(ctx, filepath.Join(t.TempDir(), "none"), hangups, func() { changed <- struct{}{} })
	}()
	<-changed
	cancel()
	<-ended
	check.Equal(len(hangups), 0)
}
