// Package precise sleeps more exactly than time.Sleep, whose wake-ups Linux
// rounds up to whole milliseconds when a process is otherwise idle. The lab's
// links and callers need latencies of half a millisecond to be true.
package precise

import (
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Sleeper sleeps on a kernel timer. One goroutine may use it at a time; Close
// may be called from any.
type Sleeper struct {
	file  *os.File
	close sync.Once
}

// NewSleeper returns a sleeper; the caller closes it.
func NewSleeper() (*Sleeper, error) {
	descriptor, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return nil, errors.Annotate(err, "timer")
	}
	return &Sleeper{file: os.NewFile(uintptr(descriptor), "timerfd")}, nil
}

// Sleep waits for a time; it returns false when the sleeper was closed.
func (s *Sleeper) Sleep(wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	connection, err := s.file.SyscallConn()
	if err != nil {
		return false
	}
	setting := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(wait))}
	err = connection.Control(func(descriptor uintptr) {
		// A failure leaves the timer unset and shows in the read's deadline.
		_ = unix.TimerfdSettime(int(descriptor), 0, &setting, nil)
	})
	if err != nil {
		return false
	}
	var expirations [8]byte
	_, err = s.file.Read(expirations[:])
	return err == nil
}

// SleepUntil waits until a time; it returns false when the sleeper was closed.
func (s *Sleeper) SleepUntil(due time.Time) bool {
	return s.Sleep(time.Until(due))
}

// Close wakes a sleeping goroutine and frees the timer.
func (s *Sleeper) Close() {
	// Closing a timer cannot fail in a way that matters here.
	s.close.Do(func() { _ = s.file.Close() })
}
