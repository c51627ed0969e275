package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	machinehost "github.com/springstack/springstack/internal/lab/host"
	"github.com/springstack/springstack/internal/pause"
)

// resourcesPause is the time between two looks at what the soak itself uses, and
// descriptorsStep the descriptors more after which that is logged.
const (
	resourcesPause  = 250 * time.Millisecond
	descriptorsStep = 1000
)

// resources are what the soak's own process has used.
type resources struct {
	most, limit, logged int
	failures            int
}

// watchResources looks at the soak's descriptors until what it returns is called.
func (s *soak) watchResources(ctx context.Context) (end func()) {
	bounded, cancel := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Add(1)
	go func() {
		defer watching.Done()
		for pause.For(bounded, resourcesPause) {
			s.lookAtDescriptors()
		}
	}()
	return func() {
		cancel()
		watching.Wait()
	}
}

func (s *soak) lookAtDescriptors() {
	open, limit, err := machinehost.Descriptors()
	if err != nil {
		s.log("descriptors", err.Error())
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.resources.limit = limit
	s.resources.most = max(s.resources.most, open)
	if open >= s.resources.logged+descriptorsStep {
		s.resources.logged = open
		s.log("descriptors", fmt.Sprintf("%d of %d", open, limit))
	}
}

// linkFailed notes that a link could not relay a connection.
func (s *soak) linkFailed(err error) {
	s.mutex.Lock()
	s.resources.failures++
	first := s.resources.failures == 1
	s.mutex.Unlock()
	if first {
		s.log("link_failed", err.Error())
	}
}
