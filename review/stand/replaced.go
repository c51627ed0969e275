package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/springstack/springstack/platform/standin"
)

// The bounds of the deployment with roll-outs.
const (
	exposureShare    = 0.1
	exposureSlack    = 50
	rollbackBound    = 5 * time.Second
	badAnswersNeeded = 50
)

// The orders. The second comes some moments after the first was rolled back, while the upstreams of
// the first version still run; these drain later.
const (
	firstDuration      = 16 * time.Second
	nextDuration       = 8 * time.Second
	nextOrderAfter     = 500 * time.Millisecond
	drainAfterRollback = 5 * time.Second
	firstBadShare      = 0.5
	nextBadShare       = 0.25
	requestsPerSecond  = 60
	machinesPerVersion = 6
	loadAfterNextOrder = 12 * time.Second
)

// order is one order, and the machines with the upstreams of its version.
type order struct {
	version  string
	at       time.Time
	duration time.Duration
	machines []*machine
	// badAnswers are the times of the failures that the version has answered.
	badAnswers []time.Time
}

// rolloutLoad sends requests and keeps what became of them.
type rolloutLoad struct {
	stand   *stand
	senders sync.WaitGroup

	mutex  sync.Mutex
	sent   int
	sentAt map[string]time.Time
}

// playReplaced orders a version, waits until the order has ended, and orders the next version while
// the upstreams of a bad first one still run. Both versions are bad with trouble, else good.
func playReplaced(s *stand, trouble bool) (bool, error) {
	s.extra = fmt.Sprintf("rollouts: {exposure_share: %g}\n", exposureShare)
	if err := s.startStore(); err != nil {
		return false, err
	}
	s.store.Operate(standin.Configuration{
		Version: 1, Services: []string{"gridserve"},
		Routes: []standin.Route{{
			Name: "forecast", Host: "mesh.example", Prefix: "/forecast/", Kind: "safe", Service: "gridserve", Timeout: 1500, Attempts: 2,
		}},
		BodyBytes: 1 << 20, HeaderBytes: 16 << 10, IdleTimeout: 60000, HeaderTimeout: 5000,
	})
	zones := []string{"delft", "leiden", "gouda"}
	for index := range 3 * machinesPerVersion {
		if _, err := s.addMachine(zones[index%len(zones)], "gridserve"); err != nil {
			return false, err
		}
	}
	old := s.machines[:machinesPerVersion]
	first := &order{version: "v2", duration: firstDuration, machines: s.machines[machinesPerVersion : 2*machinesPerVersion]}
	next := &order{version: "v3", duration: nextDuration, machines: s.machines[2*machinesPerVersion:]}
	load := &rolloutLoad{stand: s, sentAt: map[string]time.Time{}}
	if err := s.startThese(old, load.version(&order{version: "v1"}, 0)); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load.start(ctx, old)
	time.Sleep(3 * time.Second)

	firstBad, nextBad := 0.0, 0.0
	if trouble {
		firstBad, nextBad = firstBadShare, nextBadShare
	}
	if err := load.place(first, firstBad); err != nil {
		return false, err
	}
	state, ended := load.awaitEnd(first)
	if !ended {
		return false, fmt.Errorf("the order of %s has not ended", first.version)
	}
	endedAt := time.Now()
	running := old
	if state == "completed" {
		// The old upstreams stop immediately, with no draining.
		s.stop(old)
		running = first.machines
	}
	time.Sleep(nextOrderAfter)
	if err := load.place(next, nextBad); err != nil {
		return false, err
	}
	if state == "rolled_back" {
		running = slices.Concat(running, first.machines)
		time.AfterFunc(time.Until(endedAt.Add(drainAfterRollback)), func() {
			for _, machine := range first.machines {
				machine.upstream.Drain()
			}
			s.record.note("the upstreams of %s drain", first.version)
		})
	}
	if state, ended = load.awaitEnd(next); ended && state == "completed" {
		s.stop(running)
	}
	time.Sleep(time.Until(next.at.Add(loadAfterNextOrder)))
	cancel()
	load.senders.Wait()
	brokenFirst, brokenNext := load.judge(first), load.judge(next)
	return brokenFirst || brokenNext, nil
}

// place writes an order and starts the upstreams of its version beside the old ones.
func (l *rolloutLoad) place(o *order, badShare float64) error {
	o.at = time.Now()
	l.stand.store.Order(standin.Rollout{Service: "gridserve", Target: o.version, Duration: o.duration.Seconds()})
	l.stand.record.note("version %s is ordered, within %s; %g of its answers are failures", o.version, o.duration, badShare)
	return l.stand.startThese(o.machines, l.version(o, badShare))
}

// stop ends the upstreams of some machines.
func (s *stand) stop(machines []*machine) {
	for _, machine := range machines {
		machine.upstream.Crash()
	}
	s.record.note("%d upstreams of other versions are stopped", len(machines))
}

// awaitEnd waits until an order has ended, at most until its deadline, and returns how.
func (l *rolloutLoad) awaitEnd(o *order) (state string, ended bool) {
	for time.Since(o.at) < o.duration {
		status := l.stand.store.RolloutOf("gridserve")
		if status.Target == o.version && (status.State == "rolled_back" || status.State == "completed") {
			l.stand.record.note("%s is %s, %.2f s after its order", o.version, status.State, time.Since(o.at).Seconds())
			return status.State, true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "", false
}

// version returns what the upstreams of a version do.
func (l *rolloutLoad) version(o *order, badShare float64) func(*standin.Upstream) {
	return func(u *standin.Upstream) {
		u.Version = o.version
		u.Answer = func(writer http.ResponseWriter, request *http.Request) {
			id := request.Header.Get("Request-Id")
			time.Sleep(10 * time.Millisecond)
			writer.Header().Set(standin.SignatureHeader, standin.Signature(u.Instance, id))
			if rand.Float64() < badShare {
				l.mutex.Lock()
				o.badAnswers = append(o.badAnswers, time.Now())
				l.mutex.Unlock()
				writer.WriteHeader(http.StatusInternalServerError)
				return
			}
			_, _ = io.WriteString(writer, standin.BodyOf(u.Instance, id))
		}
	}
}

// start sends requests to the machines until the context ends.
func (l *rolloutLoad) start(ctx context.Context, machines []*machine) {
	for _, to := range machines {
		l.senders.Add(1)
		go func() {
			defer l.senders.Done()
			ticker := time.NewTicker(time.Second / requestsPerSecond)
			defer ticker.Stop()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
				}
				l.senders.Add(1)
				go func() {
					defer l.senders.Done()
					l.send(client, to)
				}()
			}
		}()
	}
}

// send sends one request and reads its answer.
func (l *rolloutLoad) send(client *http.Client, to *machine) {
	const deadline = 1500 * time.Millisecond
	l.mutex.Lock()
	l.sent++
	id := fmt.Sprintf("r-%06d", l.sent)
	l.sentAt[id] = time.Now()
	l.mutex.Unlock()
	l.stand.record.event("sent id=%s to=%s", id, to.name)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := standin.NewRequest(ctx, http.MethodGet, to.callers, "mesh.example", "/forecast/x", id, deadline, nil)
	if err != nil {
		return
	}
	answer, err := client.Do(request)
	if err != nil {
		l.stand.record.event("failed id=%s error=%q", id, err)
		return
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	l.stand.record.event("answered id=%s status=%d whole=%t", id, answer.StatusCode, err == nil)
}

// judge checks both bounds of the rule for the version of an order. A good version keeps it always.
func (l *rolloutLoad) judge(o *order) bool {
	isTarget := map[string]bool{}
	for _, machine := range o.machines {
		isTarget[machine.upstream.Instance] = true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record := l.stand.record
	if len(o.badAnswers) == 0 {
		record.note("%s has given no bad answer", o.version)
		return false
	}
	latest := time.Time{}
	if len(o.badAnswers) >= badAnswersNeeded {
		latest = o.badAnswers[badAnswersNeeded-1].Add(rollbackBound)
		record.note("%s: %d bad answers; the %dth came %.2f s after the order", o.version, len(o.badAnswers),
			badAnswersNeeded, o.badAnswers[badAnswersNeeded-1].Sub(o.at).Seconds())
	}
	l.stand.mutex.Lock()
	defer l.stand.mutex.Unlock()
	all, exposed, late := 0, 0, 0
	for _, arrival := range l.stand.arrivals {
		sentAt, known := l.sentAt[arrival.ID]
		if !known || arrival.At.Before(o.at) {
			continue
		}
		if isTarget[arrival.Instance] && !latest.IsZero() && sentAt.After(latest) {
			late++
		}
		if arrival.At.After(o.at.Add(o.duration)) {
			continue
		}
		all++
		if isTarget[arrival.Instance] {
			exposed++
		}
	}
	permitted := exposureShare*float64(all) + exposureSlack
	record.note("%s: %d of %d requests from its order to its deadline; %.0f permitted; %d were sent more than %s after the %dth bad answer",
		o.version, exposed, all, permitted, late, rollbackBound, badAnswersNeeded)
	return late > 0 || float64(exposed) > permitted
}
