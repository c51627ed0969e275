package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/platform/standin"
)

// A harmful request ends each upstream that begins to run it. Several come at a time, each
// again and again under new ids, at the daemons of one service.
const (
	// harmfulMark is what the target or the body of such a request holds.
	harmfulMark = "harmful-"
	// harmfulAfter is how long an upstream runs one before it ends.
	harmfulAfter = 30 * time.Millisecond
	// harmfulPause is the mean time until another one begins to come.
	harmfulPause = 5 * time.Second
	// harmfulQuick and harmfulSlow bound the time between two tries of one.
	harmfulQuick = 20 * time.Millisecond
	harmfulSlow  = 600 * time.Millisecond
	// harmfulBack is the mean time until an upstream that has ended is back.
	harmfulBack = 1500 * time.Millisecond
	// harmfulBodyBytes is the length of the body of those with a long one.
	harmfulBodyBytes = 90 << 10
	// sameNameShare is the share of those that come back under the name that they had.
	sameNameShare = 0.5
	// claimPause is the time between two tries to claim a machine.
	claimPause = 50 * time.Millisecond
)

// The promise that harmful requests are sent to few.
const (
	// endsAllowed is after how many ends the bound on sends begins, inTouchBound within what
	// time all daemons have to know then, and sendsAllowed how often it may be sent later.
	endsAllowed  = 3
	inTouchBound = 3 * time.Second
	sendsAllowed = 3
	// promiseOfHarm and promiseOfHarmless are what daemons are held to.
	promiseOfHarm     = "a request that ends its upstreams is sent to few"
	promiseOfHarmless = "a harmless request is not held"
)

// sendHarmful sends harmful requests until the context ends. It draws from a generator of
// its own, so that a seed draws the same faults with and without them.
func (s *soak) sendHarmful(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, harmfulStream))
	var sending sync.WaitGroup
	for number := 0; pause.For(ctx, harmfulPause/2+time.Duration(random.Int64N(int64(harmfulPause)))); number++ {
		request := drawHarmful(random, number)
		period := harmfulQuick + time.Duration(random.Int64N(int64(harmfulSlow-harmfulQuick)))
		picks := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		s.log("harmful", fmt.Sprintf("%s %s each %s", request.Method, request.Target, period))
		sending.Add(1)
		go func() {
			defer sending.Done()
			s.repeatHarmful(ctx, request, period, picks)
		}()
	}
	sending.Wait()
}

// harmfulStream tells the generator of harmful requests from that of the faults.
const harmfulStream = 0x68617266

// drawHarmful draws a harmful request.
func drawHarmful(random *rand.Rand, number int) Request {
	mark := fmt.Sprintf("%s%d", harmfulMark, number)
	made := Request{Service: services[random.IntN(len(services))], Timeout: readTimeout}
	switch random.IntN(3) {
	case 0:
		made.Method, made.Target, made.Repeatable = http.MethodGet, readPrefix+mark, true
	case 1:
		made.Method, made.Target, made.Body = http.MethodPost, writePrefix+"shared", mark
	default:
		made.Method, made.Target = http.MethodPost, writePrefix+"shared"
		made.Body = mark + strings.Repeat("b", harmfulBodyBytes)
	}
	return made
}

// repeatHarmful sends one request again and again, by turns at drawn daemons of its service.
func (s *soak) repeatHarmful(ctx context.Context, request Request, period time.Duration, random *rand.Rand) {
	entries := lo.Filter(s.machines, func(on *machine, _ int) bool { return on.service == request.Service })
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for try := 0; pause.For(ctx, period); try++ {
		if s.powerIsAway() {
			continue
		}
		on := entries[random.IntN(len(entries))]
		sent := request
		sent.Machine = on.name
		sent.ID = fmt.Sprintf("%s-%s-%d", request.name(), on.name, try)
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			s.ask(on, sent)
		}()
	}
}

// name is what tries of one harmful request have in common.
func (r Request) name() string {
	text := r.Target + r.Body[:min(len(r.Body), 40)]
	number, _, _ := strings.Cut(text[strings.Index(text, harmfulMark):], "b")
	return r.Service + "-" + number
}

func (r Request) isHarmful() bool { return strings.Contains(r.Target+r.Body, harmfulMark) }

// isHarmful tells whether a request ends the upstream that it came to.
func isHarmful(arrival standin.Arrival) bool {
	return strings.Contains(arrival.Target, harmfulMark) || strings.Contains(string(arrival.Body), harmfulMark)
}

// endByRequest ends an upstream under a harmful request, and starts a new instance some
// time later unless a fault does.
func (s *soak) endByRequest(on *machine, ended *standin.Upstream) {
	forking.Lock()
	ended.Crash()
	forking.Unlock()
	back := harmfulBack/2 + time.Duration(s.shareOf(ended.Instance, "back")*float64(harmfulBack))
	s.returning.Add(1)
	go func() {
		defer s.returning.Done()
		time.Sleep(back)
		for !on.take() {
			time.Sleep(claimPause)
		}
		defer on.release()
		if on.currentUpstream() != ended {
			return
		}
		if s.shareOf(startOf(ended.Instance, ended.Born), "name") < sameNameShare {
			s.startUnderName(on, rand.New(rand.NewPCG(s.options.Seed, uint64(ended.Born))))
			return
		}
		s.startAgain(on)
	}()
}

// harmDone is what the oracle has seen of one harmful request.
type harmDone struct {
	// ends are the moments at which upstreams ended under it.
	ends []time.Time
	// later are its arrivals after the bound, by daemons in touch.
	later []standin.Arrival
}

// HarmEnded notes that an upstream has ended under a harmful request.
func (o *Oracle) HarmEnded(arrival standin.Arrival, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	done := o.harmOf(o.requests[arrival.ID])
	done.ends = append(done.ends, at)
	slices.SortFunc(done.ends, time.Time.Compare)
}

// harmOf is what is known of a harmful request; the lock is held.
func (o *Oracle) harmOf(request Request) *harmDone {
	if o.harmful[request.name()] == nil {
		o.harmful[request.name()] = &harmDone{}
	}
	return o.harmful[request.name()]
}

// checkHarm judges an arrival of a harmful request; the lock is held. Both daemons on its
// way must have been in touch.
func (o *Oracle) checkHarm(request Request, arrival standin.Arrival) {
	if !request.isHarmful() {
		return
	}
	done := o.harmOf(request)
	if len(done.ends) < endsAllowed || arrival.At.Sub(done.ends[endsAllowed-1]) <= inTouchBound {
		return
	}
	for _, on := range []string{request.Machine, o.hosts[arrival.Instance]} {
		if arrival.At.Sub(o.disturbed[on]) <= inTouchBound {
			return
		}
	}
	done.later = append(done.later, arrival)
	o.exercised(promiseOfHarm, arrival.At)
	if len(done.later) == sendsAllowed+1 {
		o.violate(promiseOfHarm, "%s reached %s, %s after its third end; %d ended by then", request.ID, arrival.Instance,
			arrival.At.Sub(done.ends[endsAllowed-1]), len(done.ends))
	}
}

// checkHarmless judges a refusal; the lock is held.
func (o *Oracle) checkHarmless(request Request, answer Answer) {
	if answer.Code == heldCode && !request.isHarmful() {
		o.violate(promiseOfHarmless, "%s was refused as one that ends its upstreams", request.ID)
	}
}

// HarmEnds counts the upstreams that ended under each harmful request.
func (o *Oracle) HarmEnds() []int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	counts := lo.MapToSlice(o.harmful, func(_ string, done *harmDone) int { return len(done.ends) })
	slices.Sort(counts)
	return counts
}
