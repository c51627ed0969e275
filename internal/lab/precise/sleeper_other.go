//go:build !linux

// Package precise sleeps as exactly as the system's timers allow.
package precise

import (
	"sync"
	"time"
)

// Sleeper sleeps on the runtime's timer. One goroutine may use it at a time;
// Close may be called from any.
type Sleeper struct {
	closed chan struct{}
	close  sync.Once
}

// NewSleeper returns a sleeper; the caller closes it.
func NewSleeper() (*Sleeper, error) {
	return &Sleeper{closed: make(chan struct{})}, nil
}

// Sleep waits for a time; it returns false when the sleeper was closed.
func (s *Sleeper) Sleep(wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closed:
		return false
	}
}

// SleepUntil waits until a time; it returns false when the sleeper was closed.
func (s *Sleeper) SleepUntil(due time.Time) bool {
	return s.Sleep(time.Until(due))
}

// Close wakes a sleeping goroutine.
func (s *Sleeper) Close() {
	s.close.Do(func() { close(s.closed) })
}
