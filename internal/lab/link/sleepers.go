package link

import (
	"sync"

	"github.com/springstack/springstack/internal/lab/precise"
)

// sleepers are exact timers that the connections of a link share: each takes a descriptor, and
// few connections have bytes under way at a time.
type sleepers struct {
	mutex sync.Mutex
	idle  []*precise.Sleeper
}

// take returns a timer that nobody uses.
func (s *sleepers) take() (*precise.Sleeper, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if last := len(s.idle) - 1; last >= 0 {
		taken := s.idle[last]
		s.idle = s.idle[:last]
		return taken, nil
	}
	return precise.NewSleeper()
}

// give returns a timer that was taken.
func (s *sleepers) give(taken *precise.Sleeper) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.idle = append(s.idle, taken)
}

// close frees all timers.
func (s *sleepers) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, one := range s.idle {
		one.Close()
	}
	s.idle = nil
}
