package proxy

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/springstack/springstack/internal/bytebudget"
	"github.com/springstack/springstack/internal/core/admission"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/rollout"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/result"
)

// Proxy is the data path of one daemon. All its methods may be called concurrently.
type Proxy struct {
	config Config
	limits Limits

	// view is replaced as a whole; calls load it once for each attempt.
	view atomic.Pointer[view]
	// viewMutex serializes Swap and PublishState; calls never take it.
	viewMutex sync.Mutex
	// servingUntil is the end of the serving lease by Config.Clock, in nanoseconds.
	servingUntil atomic.Int64

	// gate and backend are nil if the daemon has no back end.
	gate      *admission.Gate
	bodyQueue *bodyQueue
	backend   *upstream
	health    *healthProber
	// backendLimits holds the limits on calls at the back end; hangDetector finds calls that it
	// never answers.
	backendLimits backendLimits
	hangDetector  hangDetector

	// rolloutAnswers counts the back end's answers during a roll-out of its service.
	rolloutAnswers rollout.Tally

	// notices holds what the back end has stated about itself in its answers.
	notices backendNotices
	// harmfulRequests holds the requests under which back ends may end; backendEnds detects ends of
	// the daemon's own back end. suspectTurn is held by the one suspected call that the gate runs
	// at a time.
	harmfulRequests *harmfulRequests
	backendEnds     backendEnds
	suspectTurn     chan struct{}

	// startedAt is when the proxy was created, by Config.Clock.
	startedAt    time.Duration
	startWaiters startWaiters

	incarnations       ownIncarnations
	reportedBackend    reportedBackend
	requestLimits      atomic.Pointer[RequestLimits]
	counters           counterSet
	runningCallerCalls atomic.Int64
	runningGateCalls   atomic.Int64
	drain              drain
	connContexts       connectionContexts
	// answerBudget bounds the buffered answers of pipelined calls that ran ahead of their turn.
	answerBudget *bytebudget.Budget
	// answerMemory limits the memory for answers that are being written to callers.
	answerMemory *evictingBudget
	// bodyMemory limits the memory for bodies that are kept for another attempt, or have not arrived.
	bodyMemory *evictingBudget
	// streamTurns limits the calls that hold a slot while their bodies still arrive.
	streamTurns streamTurns
	// backlogTurns holds an element for each running call of a connection with a backlog, excessTurns for
	// each of one whose backlog exceeds the limits.
	backlogTurns chan struct{}
	excessTurns  chan struct{}
	closed       chan struct{}
	closeOnce    sync.Once

	requestIDPrefix string
	requestCount    atomic.Uint64
	roundRobinCount atomic.Uint64
	randomState     atomic.Uint64
	hashSeed        uint64
}

// New returns a proxy that refuses calls until it has a snapshot and a serving lease.
func New(config Config) *Proxy {
	proxy := &Proxy{
		config: config,
		limits: config.Limits.withDefaults(),
		drain:  newDrain(),
		closed: make(chan struct{}),

		suspectTurn:  make(chan struct{}, 1),
		backlogTurns: make(chan struct{}, maxBackloggedCalls),
		excessTurns:  make(chan struct{}, maxExcessCalls),

		startedAt: config.Clock(),

		hashSeed: rand.Uint64(),
	}
	proxy.notices.faultLogs = newNoticeFaultLogs()
	proxy.harmfulRequests = newHarmfulRequests(config, proxy.logEvent)
	proxy.answerBudget = bytebudget.New(proxy.limits.AheadHeldBytes)
	proxy.answerMemory = newEvictingBudget(proxy.limits.AnswerMemoryBytes)
	proxy.bodyMemory = newEvictingBudget(proxy.limits.BodyMemoryBytes)
	proxy.incarnations.add(config.Incarnation)
	incarnation := strconv.FormatUint(uint64(config.Incarnation), 36)
	proxy.requestIDPrefix = string(config.NodeID) + "-" + incarnation + "-"
	proxy.randomState.Store(config.RandomSeed)
	proxy.view.Store(&view{})
	if config.Backend != "" || config.Reported {
		proxy.initGate()
	}
	return proxy
}

func (p *Proxy) initGate() {
	if p.config.Baseline.UnboundedQueue {
		p.limits.QueueLength = math.MaxInt
	}
	p.gate = admission.New(p.config.Clock(), admission.Config{
		Slots:       p.config.Slots,
		QueueLength: p.limits.QueueLength,
		QueueWait:   p.limits.QueueWait,
		KeyWindow:   p.limits.KeyWindow,
		KeyCount:    p.limits.KeyCount,

		RequestWindow: p.limits.RequestWindow,
		RequestCount:  p.limits.RequestCount,
		NoEstimate:    p.config.Baseline.UnboundedQueue,
	})
	p.backend = newUpstream(p.config.BackendAddress, p.limits, p.limits.BackendIdle)
	p.backend.openConns = &openConns{}
	p.backend.cancelLinger = p.limits.CancelWait
	p.backend.acceptsUnframed = p.config.Edge != nil
	p.backendLimits.slots.Store(int64(p.config.Slots))
	p.backendLimits.startWallTime, p.backendLimits.startProxyTime = time.Now(), p.config.Clock()
	p.bodyQueue = newBodyQueue()
	go p.watchBackend()
	p.health = newHealthProber(p)
	if p.config.Reported {
		p.gate.Drain() // until the back end reports
		close(p.health.done)
		return
	}
	go p.health.run()
}

// Swap puts a snapshot in force by replacing one pointer, after it has built everything that calls
// need.
func (p *Proxy) Swap(next *snapshot.Snapshot) {
	p.viewMutex.Lock()
	defer p.viewMutex.Unlock()
	previous := p.view.Load()
	p.updateColdLimit(next)
	p.applyCallLimits(next)
	p.publishView(p.buildView(previous, next, previous.meshState))
}

// PublishMembers replaces the member records.
func (p *Proxy) PublishMembers(members []protocol.Member) {
	p.updateMeshState(func(state *MeshState) { state.Members = members })
}

// PublishState replaces the state of the mesh.
func (p *Proxy) PublishState(state MeshState) {
	p.updateMeshState(func(current *MeshState) { *current = state })
}

func (p *Proxy) updateMeshState(change func(*MeshState)) {
	p.viewMutex.Lock()
	defer p.viewMutex.Unlock()
	previous := p.view.Load()
	state := previous.meshState
	change(&state)
	p.incarnations.addFromMembers(p.config.NodeID, state.Members)
	p.publishView(p.buildView(previous, previous.snapshot, state))
}

// ExtendServing extends the serving lease, during which the daemon accepts calls of callers, to a
// time on the clock. It never shortens the lease.
func (p *Proxy) ExtendServing(until time.Duration) {
	for {
		current := p.servingUntil.Load()
		if int64(until) <= current || p.servingUntil.CompareAndSwap(current, int64(until)) {
			return
		}
	}
}

// mayServe reports whether the serving lease is still valid. Each call and each attempt checks it,
// so that a daemon that was paused does not serve when it resumes (I1 of docs/INVARIANTS.md).
func (p *Proxy) mayServe() bool {
	return int64(p.config.Clock()) < p.servingUntil.Load()
}

// Close stops the probes and the connections to other daemons and the back end. Running calls are
// cancelled.
func (p *Proxy) Close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		p.connContexts.cancelAll(errClosed)
		if p.health != nil {
			p.health.stop()
		}
		p.viewMutex.Lock()
		defer p.viewMutex.Unlock()
		for _, path := range p.view.Load().upstreams {
			path.close()
		}
		if p.backend != nil {
			p.backend.close()
		}
	})
}

// random returns a uniformly distributed number: reproducible if a seed is configured, else from
// the runtime's generators, which threads do not share.
func (p *Proxy) random() uint64 {
	if p.config.RandomSeed == 0 {
		return rand.Uint64()
	}
	const increment = 0x9e3779b97f4a7c15
	mixed := p.randomState.Add(increment)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// nextRequestID returns a new unique id for an attempt.
func (p *Proxy) nextRequestID() string {
	return p.requestIDPrefix + strconv.FormatUint(p.requestCount.Add(1), 36)
}

// fingerprint hashes an id, the last part, together with the parts that define its scope, using a
// seed of this process. It returns 0 if the id is empty.
func (p *Proxy) fingerprint(parts ...string) admission.Fingerprint {
	if parts[len(parts)-1] == "" {
		return 0
	}
	digest := xxhash.NewWithSeed(p.hashSeed)
	for _, part := range parts {
		// Writing to a hash can't fail.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return admission.Fingerprint(max(digest.Sum64(), 1))
}

// refuse counts a refusal and sends it as the answer.
func (p *Proxy) refuse(writer http.ResponseWriter, body *upload, refusal Refusal) {
	p.counters.recordRefusal(refusal.Code)
	refusal.edge = p.config.Edge
	writeRefusal(writer, body, refusal, p.limits.StallTimeout)
}

// writeRefusal answers with a refusal. A body that has already arrived is read first, so that the
// connection can be kept.
func writeRefusal(writer http.ResponseWriter, body *upload, refusal Refusal, stall time.Duration) {
	body.readArrived()
	body.announceClose(writer.Header())
	// Without a deadline, a caller that does not read could block the call.
	_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(stall))
	refusal.write(writer)
}

// logEvent logs one event.
func (p *Proxy) logEvent(name string, fields ...EventField) {
	if p.config.Log != nil {
		p.config.Log(Event{Name: name, Fields: fields})
	}
}

// codeField returns a result code as a log field.
func codeField(code result.Code) EventField {
	return EventField{Key: "code", Value: strconv.Itoa(int(code))}
}
