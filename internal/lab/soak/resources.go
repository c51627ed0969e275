package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

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

// promiseOfResources is held by the soak itself, not by the mesh: what is judged after it was
// broken may be the soak's own doing.
const promiseOfResources = "the soak has what it needs"

// shortages are the errors of a process that lacks something.
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

func isShortage(err error) bool {
	return slices.ContainsFunc(shortages, func(one error) bool { return errors.Is(err, one) })
}

// linkFailed notes that a link could not relay a connection.
func (s *soak) linkFailed(err error) {
	s.mutex.Lock()
	s.resources.failures++
	first := s.resources.failures == 1
	s.mutex.Unlock()
	if first {
		s.log("unrelayed", err.Error())
	}
	if isShortage(err) {
		s.oracle.Lacks(err)
	}
}

// Lacks notes, once, that the soak's own process lacks something.
func (o *Oracle) Lacks(err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.lacks {
		o.lacks = true
		o.violate(promiseOfResources, "%v; what is told after this may be the soak's own doing", err)
	}
}
