package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/platform"
	"github.com/springstack/springstack/internal/result"
)

// ReplayDepth is how many older events ReplayedEvent draws from.
const ReplayDepth = 16

// Service runs a Store with faults for many clients at once, on real time (or
// on the virtual time of a synctest bubble).
type Service struct {
	mutex  sync.Mutex
	store  *Store
	faults Faults
	random *rand.Rand
	start  time.Time
	// changed is closed and replaced whenever watches have to look again.
	changed chan struct{}
	rate    callRate
}

// NewService returns a service over an empty store. The seed makes the draws
// of its faults repeatable.
func NewService(limits Limits, seed uint64) *Service {
	return &Service{
		store:   NewStore(limits),
		random:  rand.New(rand.NewPCG(seed, seed)),
		start:   time.Now(),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the faults that are switched on.
func (s *Service) SetFaults(faults Faults) {
	s.locked(func(time.Duration) {
		s.faults = faults
		s.wakeWatches()
	})
}

// Faults returns the faults that are switched on.
func (s *Service) Faults() (faults Faults) {
	s.locked(func(time.Duration) { faults = s.faults })
	return faults
}

// SetMachines replaces the machine list.
func (s *Service) SetMachines(machines []object.Machine) {
	s.locked(func(now time.Duration) { s.store.SetMachines(now, machines) })
}

// SetReaderLimit changes how many readers are admitted; 0 means no limit.
func (s *Service) SetReaderLimit(limit int) {
	s.locked(func(time.Duration) { s.store.SetReaderLimit(limit) })
}

// Compact forgets all events so far; watches that lag behind end with
// PlatformCompacted.
func (s *Service) Compact() {
	s.locked(func(time.Duration) {
		s.store.Compact(s.store.Version())
		s.wakeWatches()
	})
}

// Counters returns what the service has counted.
func (s *Service) Counters() (counters Counters) {
	s.locked(func(now time.Duration) {
		counters = s.rate.counters()
		counters.Readers = s.store.Readers(now)
		counters.ReadersMax = s.store.HighestReaders()
		counters.Version = uint64(s.store.Version())
	})
	return counters
}

// locked runs an action under the lock, and wakes the watches when it has
// changed an object.
func (s *Service) locked(action func(now time.Duration)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.store.Version()
	action(time.Since(s.start))
	if s.store.Version() != before {
		s.wakeWatches()
	}
}

// wakeWatches makes all watches look for events again.
func (s *Service) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// outcome is what became of a call: its reply, or that the caller hears
// nothing of it.
type outcome struct {
	reply object.Reply
	lost  bool
}

// Do carries out a call of a client and answers as a caller sees it: a lost
// answer is PlatformUnknown.
func (s *Service) Do(ctx context.Context, client string, call object.Call) object.Reply {
	done := s.carryOut(ctx, client, call)
	if done.lost {
		return object.Reply{Code: result.PlatformUnknown}
	}
	return done.reply
}

// carryOut applies the faults and the call.
func (s *Service) carryOut(ctx context.Context, client string, call object.Call) outcome {
	var decision Decision
	s.locked(func(now time.Duration) {
		s.rate.call(now, call)
		decision = s.faults.Decide(s.random, call)
	})
	if !pause.For(ctx, decision.Before) {
		return outcome{lost: true}
	}
	if decision.Refuse {
		return outcome{reply: object.Reply{Code: result.PlatformUnavailable}}
	}
	if decision.Silent {
		<-ctx.Done()
	}
	if decision.LoseRequest {
		return outcome{lost: true}
	}
	var reply object.Reply
	s.locked(func(now time.Duration) {
		reply = s.store.Apply(now, client, call, decision.Lag)
		s.rate.answer(reply)
	})
	if !pause.For(ctx, decision.After) || decision.LoseAnswer {
		return outcome{lost: true}
	}
	return outcome{reply: reply}
}

// Watch delivers events under prefix after a version until ctx ends or the
// watch breaks, and returns why: see platform.Port.
func (s *Service) Watch(ctx context.Context, client, prefix string, from object.Version, deliver func(object.Event)) object.Reply {
	var admitted, refused bool
	s.locked(func(now time.Duration) {
		s.rate.watch(now)
		refused = s.faults.Outage == OutageRefusing
		admitted = !refused && s.store.OpenWatch(now, client)
	})
	if refused {
		return object.Reply{Code: result.PlatformUnavailable}
	}
	if !admitted {
		return object.Reply{Code: result.PlatformTooManyReaders}
	}
	defer s.locked(func(now time.Duration) { s.store.CloseWatch(now, client) })
	return s.follow(ctx, prefix, from, deliver)
}

// follow delivers until the watch ends.
func (s *Service) follow(ctx context.Context, prefix string, from object.Version, deliver func(object.Event)) object.Reply {
	for {
		batch := s.nextEvents(prefix, from)
		for _, event := range batch.events {
			if ctx.Err() != nil {
				break
			}
			deliver(event)
		}
		if batch.code != result.OK {
			return object.Reply{Code: batch.code}
		}
		from = batch.through
		select {
		case <-ctx.Done():
			return object.Reply{Code: result.PlatformUnavailable}
		case <-batch.changed:
		}
	}
}

// eventBatch is one delivery of a watch.
type eventBatch struct {
	events  []object.Event
	through object.Version
	code    result.Code
	// changed is closed when there may be more.
	changed <-chan struct{}
}

// nextEvents draws the next delivery of a watch.
func (s *Service) nextEvents(prefix string, from object.Version) eventBatch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	batch := eventBatch{through: from, code: result.OK, changed: s.changed}
	if s.faults.Outage == OutageSilent {
		return batch
	}
	if s.faults.Outage == OutageRefusing {
		batch.code = result.PlatformUnavailable
		return batch
	}
	fresh, through, code := s.store.Events(prefix, from)
	if code != result.OK {
		batch.code = code
		return batch
	}
	if len(fresh) == 0 {
		batch.through = through
		return batch
	}
	if s.faults.Breaks(s.random) {
		batch.code = result.PlatformUnavailable
		return batch
	}
	batch.through = through
	batch.events = s.faults.Deliver(s.random, fresh, s.store.Recent(prefix, from, ReplayDepth))
	s.rate.events(batch.events)
	return batch
}

// Port returns the service as the platform port of one client, in memory.
func (s *Service) Port(client string) platform.Port { return NewPort(s, client) }

// port is the in-memory platform.Port of one client.
type port struct {
	service *Service
	client  string
}

// NewPort returns the in-memory port of one client of a service.
func NewPort(service *Service, client string) platform.Port {
	return &port{service: service, client: client}
}

// Do implements platform.Port.
func (p *port) Do(ctx context.Context, call object.Call) object.Reply {
	return p.service.Do(ctx, p.client, call)
}

// Watch implements platform.Port.
func (p *port) Watch(ctx context.Context, prefix string, from object.Version, deliver func(object.Event)) object.Reply {
	return p.service.Watch(ctx, p.client, prefix, from, deliver)
}
