package link

import (
	"sync"

	"github.com/springstack/springstack/internal/lab/precise"
)

// mostSleepers bounds the exact timers of a link, each of which takes a descriptor. More bytes
// are under way at a time only where the machine is too busy for exactness.
const mostSleepers = 8

// sleepers are exact timers that the connections of a link share.
type sleepers struct {
	mutex sync.Mutex
	idle  []*precise.Sleeper
	made  int
}

// take returns a timer that nobody uses; nil when as many as may be are in use.
func (s *sleepers) take() (*precise.Sleeper, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if last := len(s.idle) - 1; last >= 0 {
		taken := s.idle[last]
		s.idle = s.idle[:last]
		return taken, nil
	}
	if s.made == mostSleepers {
		return nil, nil
	}
	made, err := precise.NewSleeper()
	if err == nil {
		s.made++
	}
	return made, err
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
