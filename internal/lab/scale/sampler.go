package scale

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/hollow"
	"github.com/springstack/springstack/internal/lab/host"
)

// samplePeriod is the time between looks at every daemon's traffic.
const samplePeriod = time.Second

// sampler looks for the daemon with the most bytes in any one second, and ends
// a run that takes too much memory.
type sampler struct {
	cluster *hollow.Cluster
	cancel  context.CancelCauseFunc
	ended   chan struct{}
	running sync.WaitGroup

	mutex   sync.Mutex
	busiest float64
}

func startSampler(cluster *hollow.Cluster, cancel context.CancelCauseFunc) *sampler {
	s := &sampler{cluster: cluster, cancel: cancel, ended: make(chan struct{})}
	s.running.Go(s.run)
	return s
}

func (s *sampler) stop() {
	close(s.ended)
	s.running.Wait()
}

// mark forgets the busiest second so far.
func (s *sampler) mark() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.busiest = 0
}

// busiestSinceMark is in bytes a second.
func (s *sampler) busiestSinceMark() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.busiest
}

func (s *sampler) run() {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	last := make([]uint64, len(s.cluster.Nodes))
	lastAt := time.Now()
	for {
		select {
		case <-s.ended:
			return
		case <-ticker.C:
		}
		if resident := host.ResidentBytes(); resident > MaxResident {
			s.cancel(errors.Errorf("%d bytes are resident; the bound is %d", resident, uint64(MaxResident)))
		}
		elapsed := time.Since(lastAt).Seconds()
		lastAt = time.Now()
		for index, one := range s.cluster.Nodes {
			traffic := one.Traffic()
			total := traffic.BytesIn + traffic.BytesOut
			s.see(float64(total-min(last[index], total)) / elapsed)
			last[index] = total
		}
	}
}

func (s *sampler) see(rate float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.busiest = max(s.busiest, rate)
}
