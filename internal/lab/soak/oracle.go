package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/springstack/springstack/platform/standin"
)

// The bounds that the promises are held to. They are those of the users' pages,
// with room for a busy machine where a bound is on time.
const (
	// drainBound is how long after an acknowledged drain a request may still
	// reach the upstream.
	drainBound = 2 * time.Second
	// rollbackSlack is how long after an effect of a version an older one may
	// still be seen.
	rollbackSlack = 250 * time.Millisecond
	// applyBound is when an accepted version must be in force on a daemon that
	// nothing happened to for calmBefore.
	applyBound = 2500 * time.Millisecond
	calmBefore = contactTime
)

// The promises that are judged here.
const (
	promiseOfOnce     = "at most once"
	promiseOfNotRun   = "did not run is true"
	promiseOfAnswers  = "each caller gets the whole of its own answer"
	promiseOfRegions  = "a request runs in its allowed regions"
	promiseOfDrains   = "a leaving back end gets no new work"
	promiseOfVersions = "no proxy goes back a version"
	promiseOfApply    = "what is accepted is in force in seconds"
)

// Request is one request of a client.
type Request struct {
	ID         string
	Machine    string
	Service    string
	Method     string
	Target     string
	Body       string
	Repeatable bool
	// Key is the client's key, Tenant whose it is; empty for a key of nobody.
	Key    string
	Tenant string
	SentAt time.Time
	// Timeout is that of its route, Deadline the client's; both from SentAt.
	Timeout  time.Duration
	Deadline time.Duration
}

// Answer is what a client got for a request. Status 0 means none.
type Answer struct {
	Status    int
	Signature string
	Body      string
	At        time.Time
	// Last says that the connection ends with it.
	Last bool
	// Code is the numbered reason of a refusal, or why there is no answer.
	Code string
}

// reason is the status and the numbered reason of an answer, or 0 and why there is none.
func (a Answer) reason() string { return strings.TrimSpace(fmt.Sprint(a.Status, " ", a.Code)) }

// Violation is a promise that was broken.
type Violation struct {
	Promise string
	Detail  string
	// Timed says that the promise is one of a time bound, which a machine that is
	// busy with other work may miss.
	Timed bool
}

// String names the promise and what was seen.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// Oracle judges what clients and upstreams see. It may be used from several
// goroutines.
type Oracle struct {
	mutex     sync.Mutex
	requests  map[string]Request
	runs      map[string][]*run
	promised  map[string]int
	drained   map[string]time.Time
	disturbed map[string]time.Time
	allowed   map[string][]string
	proven    map[string]provenVersion
	hosts     map[string]string
	kept      map[string]string
	regions   map[string]string
	stops     map[string][]time.Time
	harms     map[string][]*span
	harmful   map[string]*harmDone
	// zones are the zones of machines, emptied when those were ordered to be empty, takenBack
	// when they last were not any more.
	zones     map[string]string
	emptied   map[string]time.Time
	takenBack map[string]time.Time
	// away are the times at which daemons were not in touch.
	away map[string][]*span
	// atCold are the arrivals of the last second at starts of upstreams that are cold, worked
	// the last run of each start.
	atCold      map[string][]time.Time
	worked      map[string]time.Time
	evacuations int
	// atLimited are the arrivals at starts that state a limit, toldLeaving the times at which machines
	// first passed on an answer of a start that leaves.
	atLimited   map[string]limitedStart
	toldLeaving map[toldLeaving]time.Time
	// limitedRuns are the runs for the limited tenant in the last window.
	limitedRuns []time.Time
	// latest is how long after an order a request judged by it reached its zone at most.
	latest     time.Duration
	restarts   int
	falls      int
	coverage   coverage
	unserved   []unserved
	violations []Violation
	// lacks says that the soak's own process has lacked something.
	lacks bool
}

// provenVersion is the newest version that a start of a daemon has shown.
type provenVersion struct {
	version int
	at      time.Time
}

// NewOracle returns an oracle that has seen nothing.
func NewOracle() *Oracle {
	return &Oracle{
		requests: map[string]Request{}, runs: map[string][]*run{}, promised: map[string]int{},
		drained: map[string]time.Time{}, disturbed: map[string]time.Time{}, allowed: map[string][]string{},
		proven: map[string]provenVersion{},
		hosts:  map[string]string{}, stops: map[string][]time.Time{}, harms: map[string][]*span{},
		harmful: map[string]*harmDone{},
		kept:    map[string]string{}, regions: map[string]string{},
		zones: map[string]string{}, emptied: map[string]time.Time{}, takenBack: map[string]time.Time{},
		away: map[string][]*span{}, atCold: map[string][]time.Time{}, worked: map[string]time.Time{},
		atLimited: map[string]limitedStart{}, toldLeaving: map[toldLeaving]time.Time{},
		coverage: newCoverage(),
	}
}

func (o *Oracle) violate(promise, detail string, values ...any) {
	o.violations = append(o.violations, Violation{Promise: promise, Detail: fmt.Sprintf(detail, values...)})
}

func (o *Oracle) violateTimed(promise, detail string, values ...any) {
	o.violate(promise, detail, values...)
	o.violations[len(o.violations)-1].Timed = true
}

// Violations returns what was broken so far.
func (o *Oracle) Violations() []Violation {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.Concat(o.violations, o.cutRequests())
}

// Allow notes that a version that was written lets a service run requests for
// a prefix.
func (o *Oracle) Allow(prefix, service string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !slices.Contains(o.allowed[prefix], service) {
		o.allowed[prefix] = append(o.allowed[prefix], service)
	}
}

// Disturbed notes that something is done to a machine now.
func (o *Oracle) Disturbed(machine string, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if at.After(o.disturbed[machine]) {
		o.disturbed[machine] = at
	}
}

// Calm tells whether nothing was done to a machine for a while.
func (o *Oracle) Calm(machine string, at time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return at.Sub(o.disturbed[machine]) > calmBefore
}

// Drained notes that the drain or leave of a start of an upstream was acknowledged.
func (o *Oracle) Drained(instance string, born int64, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	start := startOf(instance, born)
	if _, known := o.drained[start]; !known {
		o.drained[start] = at
		o.exercised(promiseOfDrains, at)
	}
}

// Sent notes a request before it is sent.
func (o *Oracle) Sent(request Request) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.requests[request.ID] = request
}

// Arrived judges what an upstream got.
func (o *Oracle) Arrived(arrival standin.Arrival) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	request, known := o.requests[arrival.ID]
	if known && !arrival.Misdirected {
		o.checkCold(arrival)
		o.checkZone(request, arrival)
		o.checkLimit(arrival)
		o.checkLeaving(request, arrival)
	}
	if !arrival.Ran {
		return
	}
	o.worked[startOf(arrival.Instance, arrival.Born)] = arrival.At
	if !known {
		o.violate("nothing runs that nobody sent", "%s ran unknown %s", arrival.Instance, arrival.ID)
		return
	}
	o.checkUnchanged(request, arrival)
	o.checkService(request, arrival)
	o.checkRegion(request, arrival)
	o.checkDrained(request, arrival)
	o.checkHarm(request, arrival)
	o.checkTenant(request, arrival)
	o.checkQuota(request, arrival)
	o.runs[arrival.ID] = append(o.runs[arrival.ID], &run{Arrival: arrival})
	if !request.Repeatable {
		o.exercised(promiseOfOnce, arrival.At)
	}
	if !request.Repeatable && len(o.runs[arrival.ID]) > 1 {
		o.violate(promiseOfOnce, "%s ran on %s and %s", arrival.ID, o.runs[arrival.ID][0].Instance, arrival.Instance)
	}
	if status := o.promised[arrival.ID]; status != 0 {
		o.violate(promiseOfNotRun, "%s ran on %s after its sender was told %d", arrival.ID, arrival.Instance, status)
	}
}

func (o *Oracle) checkUnchanged(request Request, arrival standin.Arrival) {
	if request.Method != arrival.Method || request.Target != arrival.Target || request.Body != string(arrival.Body) {
		o.violate("requests are carried unchanged", "%s came as %s %s with %d bytes", request.ID, arrival.Method, arrival.Target, len(arrival.Body))
	}
	if caller := arrival.Header.Get(standin.CallerHeader); caller != request.Service {
		o.violate("the caller's service is true", "%s came from %q, not %q", request.ID, caller, request.Service)
	}
}

func (o *Oracle) checkService(request Request, arrival standin.Arrival) {
	for prefix, services := range o.allowed {
		if strings.HasPrefix(request.Target, prefix) && slices.Contains(services, arrival.Service) {
			return
		}
	}
	o.violate("no route without its service", "%s for %s ran on %s", request.ID, request.Target, arrival.Service)
}

func (o *Oracle) checkDrained(request Request, arrival standin.Arrival) {
	at, drained := o.drained[startOf(arrival.Instance, arrival.Born)]
	calm := arrival.At.Sub(o.disturbed[request.Machine]) > calmBefore
	if drained && calm && arrival.At.Sub(at) > drainBound {
		o.violateTimed(promiseOfDrains, "%s reached %s %s after its drain was acknowledged",
			request.ID, arrival.Instance, arrival.At.Sub(at))
	}
}

// The statuses that promise that a request did not run.
var promises = []int{408, 421, 429, 503}

const (
	statusOK       = 200
	statusNotFound = 404
)

// Answered judges what a client got.
func (o *Oracle) Answered(request Request, answer Answer) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if slices.Contains(promises, answer.Status) && !request.Repeatable {
		o.promised[request.ID] = answer.Status
		o.exercised(promiseOfNotRun, answer.At)
		if len(o.runs[request.ID]) > 0 {
			o.violate(promiseOfNotRun, "%s was told %d and ran on %s", request.ID, answer.Status, o.runs[request.ID][0].Instance)
		}
	}
	o.checkHarmless(request, answer)
	if answer.Status != statusOK {
		if answer.Signature == "" {
			o.unserved = append(o.unserved, unserved{request: request, answer: answer})
		}
		return
	}
	o.exercised(promiseOfAnswers, answer.At)
	for _, run := range o.runs[request.ID] {
		if answer.Signature == standin.Signature(run.Instance, request.ID) && answer.Body == standin.BodyOf(run.Instance, request.ID) {
			o.passedOn(request.Machine, run, answer.At)
			return
		}
	}
	o.violate(promiseOfAnswers, "%s got %d bytes signed %q", request.ID, len(answer.Body), answer.Signature)
}

// Shown judges a probe by which a start of a daemon has shown that a version is
// in force.
func (o *Oracle) Shown(start string, version int, sentAt, at time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	known := o.proven[start]
	o.exercised(promiseOfVersions, at)
	if version < known.version && sentAt.Sub(known.at) > rollbackSlack {
		o.violateTimed(promiseOfVersions, "%s showed %d, %s after %d", start, version, sentAt.Sub(known.at), known.version)
	}
	if version > known.version {
		o.proven[start] = provenVersion{version: version, at: at}
	}
}

// InForce judges a probe by which a daemon has shown whether it holds the newest version,
// accepted some time before the probe was sent.
func (o *Oracle) InForce(machine string, version int, acceptedAt, sentAt time.Time, holds bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	calm := sentAt.Sub(o.disturbed[machine]) > calmBefore && o.inTouch(machine, sentAt)
	if !calm || sentAt.Sub(acceptedAt) <= applyBound {
		return
	}
	o.exercised(promiseOfApply, sentAt)
	if !holds {
		o.violateTimed(promiseOfApply, "%s has no version %d, %s after it was accepted",
			machine, version, sentAt.Sub(acceptedAt))
	}
}

// EndedUntold judges a daemon's process that ended although nobody told it to.
func (o *Oracle) EndedUntold(machine, state string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.violate("a daemon ends only when it is told to", "%s ended: %s", machine, state)
}

// Never judges something that was waited for and did not come.
func (o *Oracle) Never(what string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.violateTimed("faults heal", "%s", what)
}
