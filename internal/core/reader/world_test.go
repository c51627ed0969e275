package reader

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/result"
)

// world simulates readers against the store of the fake platform, in virtual
// time.
type world struct {
	now    time.Duration
	random *rand.Rand
	store  *standin.Store
	faults standin.Faults
	// lateRequestProbability is how likely a call reaches the store late, perhaps
	// after its timeout.
	lateRequestProbability float64
	queue                  schedule
	lastEventNumber        int
	clients                []*client
	headCache              *ledger.Head
	headVersion            object.Version
	// afterEvent, if set, is called after each scheduled event.
	afterEvent func()
}

// client is one reader with a simulated owner, which carries out its outputs.
type client struct {
	world        *world
	name         string
	reader       *Reader
	candidate    bool
	paused       bool
	queuedInputs []func()
	watches      map[Token]object.Version
	published    []CatalogueReady
	results      map[Ticket]*protocol.SubmitReply
	freshHeads   map[Ticket]FreshHeadResult
	// clockRate is how fast the client's clock runs; 1 is true time.
	clockRate   float64
	eventCounts map[string]int
	callCount   int
}

type scheduledEvent struct {
	at     time.Duration
	number int
	run    func()
}

type schedule []scheduledEvent

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].number < s[j].number
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(scheduledEvent)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

func newWorld(seed uint64) *world {
	limits := standin.DefaultLimits()
	limits.LogEvents = 20
	limits.Readers = 0
	return &world{random: rand.New(rand.NewPCG(seed, 1)), store: standin.NewStore(limits)}
}

func (w *world) scheduleAfter(delay time.Duration, run func()) {
	w.lastEventNumber++
	heap.Push(&w.queue, scheduledEvent{at: w.now + delay, number: w.lastEventNumber, run: run})
}

// run advances the time and runs the events that become due.
func (w *world) run(duration time.Duration) {
	end := w.now + duration
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(scheduledEvent)
		w.now = next.at
		next.run()
		if w.afterEvent != nil {
			w.afterEvent()
		}
	}
	w.now = end
}

func (w *world) add(region string) *client {
	name := fmt.Sprintf("%s-%d", region, len(w.clients))
	c := &client{world: w, name: name, candidate: true, clockRate: 1}
	w.clients = append(w.clients, c)
	c.restart(region)
	c.tick()
	return c
}

// restart replaces the reader by a new one without any state.
func (c *client) restart(region string) {
	c.reader = New(Config{ID: protocol.NodeID(c.name), Region: region, RandomSeed: c.world.random.Uint64()})
	c.watches = map[Token]object.Version{}
	c.results = map[Ticket]*protocol.SubmitReply{}
	c.freshHeads = map[Ticket]FreshHeadResult{}
	c.eventCounts = map[string]int{}
	c.published = nil
}

// clock is the client's own clock.
func (c *client) clock() time.Duration {
	return time.Duration(float64(c.world.now)*c.clockRate) + time.Hour
}

func (c *client) tick() {
	c.input(func(now time.Duration) []Output { return c.reader.Tick(now, Candidacy{Candidate: c.candidate}) })
	c.world.scheduleAfter(50*time.Millisecond, c.tick)
}

// input steps the reader; while the client is paused it queues the input.
func (c *client) input(step func(now time.Duration) []Output) {
	if c.paused {
		c.queuedInputs = append(c.queuedInputs, func() { c.input(step) })
		return
	}
	for _, output := range step(c.clock()) {
		c.carryOut(output)
	}
}

func (c *client) resume() {
	c.paused = false
	queued := c.queuedInputs
	c.queuedInputs = nil
	for _, run := range queued {
		run()
	}
}

func (c *client) carryOut(output Output) {
	switch output := output.(type) {
	case PlatformCall:
		c.callPlatform(output)
	case StartWatch:
		c.watches[output.Token] = output.From
		if !c.world.store.OpenWatch(c.world.now, c.name) {
			c.endWatch(output.Token, result.PlatformTooManyReaders)
			return
		}
		c.world.scheduleAfter(time.Millisecond, c.world.deliverNewEvents)
	case StopWatch:
		delete(c.watches, output.Token)
		c.world.store.CloseWatch(c.world.now, c.name)
	case SubmitResult:
		if c.results[output.Ticket] != nil {
			panic("two results for one ticket")
		}
		c.results[output.Ticket] = output.Reply
	case FreshHeadResult:
		c.freshHeads[output.Ticket] = output
	case CatalogueReady:
		c.published = append(c.published, output)
	case LogEvent:
		c.eventCounts[output.Name]++
	}
}

// callPlatform carries out one call under the configured faults. The reader
// gets one reply: in time, or PlatformUnknown at the call's timeout.
func (c *client) callPlatform(call PlatformCall) {
	w := c.world
	c.callCount++
	reader := c.reader
	answered := false
	answer := func(reply object.Reply) {
		if answered || c.reader != reader {
			return
		}
		answered = true
		c.input(func(now time.Duration) []Output { return reader.HandlePlatformReply(now, call.Token, reply) })
	}
	decision := w.faults.Decide(w.random, call.Call)
	requestDelay, replyDelay := decision.Before+time.Millisecond, decision.After+time.Millisecond
	if w.random.Float64() < w.lateRequestProbability {
		requestDelay += time.Duration(w.random.Int64N(int64(20 * time.Second)))
	}
	w.scheduleAfter(call.Timeout, func() { answer(object.Reply{Code: result.PlatformUnknown}) })
	if decision.Refuse {
		w.scheduleAfter(replyDelay, func() { answer(object.Reply{Code: result.PlatformUnavailable}) })
		return
	}
	if decision.LoseRequest {
		return
	}
	w.scheduleAfter(requestDelay, func() {
		reply := w.store.Apply(w.now, c.name, call.Call, decision.Lag)
		w.deliverNewEvents()
		if !decision.LoseAnswer {
			w.scheduleAfter(replyDelay, func() { answer(reply) })
		}
	})
}

// deliverNewEvents sends new events to every watch.
func (w *world) deliverNewEvents() {
	for _, c := range w.clients {
		for token, from := range c.watches {
			c.deliverWatchEvents(token, from)
		}
	}
}

func (c *client) deliverWatchEvents(token Token, from object.Version) {
	w := c.world
	fresh, through, code := w.store.Events(ledger.HeadObject, from)
	if code != result.OK {
		c.endWatch(token, code)
		return
	}
	if len(fresh) > 0 && w.faults.Breaks(w.random) {
		c.endWatch(token, result.PlatformUnavailable)
		return
	}
	c.watches[token] = through
	reader := c.reader
	for _, event := range w.faults.Deliver(w.random, fresh, w.store.Recent(ledger.HeadObject, from, standin.ReplayDepth)) {
		delay := time.Duration(w.random.Int64N(int64(10 * time.Millisecond)))
		w.scheduleAfter(delay, func() {
			c.input(func(now time.Duration) []Output { return reader.HandleEvent(now, token, event) })
		})
	}
}

func (c *client) endWatch(token Token, code result.Code) {
	delete(c.watches, token)
	c.world.store.CloseWatch(c.world.now, c.name)
	reader := c.reader
	c.world.scheduleAfter(time.Millisecond, func() {
		c.input(func(now time.Duration) []Output { return reader.HandleWatchEnded(now, token, code) })
	})
}

// submit sends a change with a ticket.
func (c *client) submit(ticket Ticket, request *protocol.SubmitRequest) {
	wall := time.UnixMilli(epoch).Add(c.world.now)
	c.input(func(now time.Duration) []Output { return c.reader.Submit(now, wall, ticket, request) })
}

// epoch is the wall clock at the start of virtual time, in Unix milliseconds.
const epoch = 1_750_000_000_000

// newRequest returns a request for a file with one service, or for its
// withdrawal.
func (w *world) newRequest(operation, file string, action protocol.Action) *protocol.SubmitRequest {
	id := fmt.Sprintf("%d-%016x", epoch+w.now.Milliseconds()+1, []byte(operation)[:8])
	content := ""
	if action != protocol.ActionWithdraw {
		content = fmt.Sprintf("partner: kameeldoring\nname: %s\nservices:\n  - name: %s-%d\n", file, file, w.random.IntN(1000))
	}
	return &protocol.SubmitRequest{
		Format:    protocol.Format,
		Operation: id,
		Partner:   resource.Partner("kameeldoring"),
		Action:    action,
		File:      file,
		Content:   []byte(content),
	}
}

// head returns the head on the platform.
func (w *world) head() *ledger.Head {
	head, _ := w.headObject()
	return head
}

// headObject returns the head on the platform and its object version.
func (w *world) headObject() (*ledger.Head, object.Version) {
	reply := w.store.Apply(w.now, "", object.Call{Kind: object.CallGet, Name: ledger.HeadObject}, standin.Lag{})
	if reply.Code != result.OK {
		return ledger.NewHead(), 0
	}
	if w.headCache == nil || w.headVersion != reply.Object.Version {
		head, err := ledger.Decode(reply.Object.Data)
		if err != nil {
			panic(err)
		}
		w.headCache, w.headVersion = head, reply.Object.Version
	}
	return w.headCache, w.headVersion
}
