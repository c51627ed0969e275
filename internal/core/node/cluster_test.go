package node_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/sim/timeline"
)

// baseLatency is the minimum one-way latency of a message.
const baseLatency = time.Millisecond

// cluster simulates nodes, a platform and a network in virtual time.
type cluster struct {
	is        *is.I
	timeline  *timeline.Timeline
	lastToken int
	daemons   map[string]*daemon
	// isCut reports whether messages between two addresses are dropped.
	isCut func(from, to string) bool
	// random draws latencies and losses when set; otherwise every message has the
	// same latency and none is lost.
	random   *rand.Rand
	lossRate float64
	platform *platform
	// observe is called with every message.
	observe func(from, to string, body any)
	// fileExists is set if the file was submitted and no later reply reported it
	// missing; the next change then replaces the file.
	fileExists bool
	// logLine receives log lines when set.
	logLine func(line string)
}

// daemon is one node with a minimal shell.
type daemon struct {
	id              protocol.NodeID
	config          node.Config
	node            *node.Node
	snapshot        *snapshot.Snapshot
	servingUntil    time.Duration
	members         []protocol.Member
	operatorReplies map[node.Token]any
	peerAnswers     map[node.Token]func(any)
	highestVersion  protocol.Version
	// generation grows with each start and stop; messages to an earlier one are
	// dropped.
	generation int
	running    bool
	// withholdsConfirmations leaves swaps unconfirmed; onSwap is called for each
	// swap when set.
	withholdsConfirmations bool
	onSwap                 func()
	// pausedUntil is when a paused daemon resumes; until then, messages to it wait.
	pausedUntil time.Duration
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		timeline: timeline.New(0),
		is:       is.New(t),
		daemons:  map[string]*daemon{},
		isCut:    func(string, string) bool { return false },
		observe:  func(string, string, any) {},
	}
	c.platform = newPlatform(c)
	return c
}

func (c *cluster) now() time.Duration { return c.timeline.Now() }

func (c *cluster) after(wait time.Duration, run func()) { c.timeline.After(wait, run) }

func (c *cluster) wallClock() time.Time { return time.Unix(1_700_000_000, 0).Add(c.now()) }

// run advances the virtual time by the period.
func (c *cluster) run(period time.Duration) {
	end := c.now() + period
	for c.timeline.Step(end) {
	}
	c.timeline.AdvanceTo(end)
}

// waitUntil advances the time until the condition holds, and fails the test when that
// takes longer than the limit. It returns the time taken.
func (c *cluster) waitUntil(description string, limit time.Duration, condition func() bool) time.Duration {
	started := c.now()
	for !condition() {
		if c.now()-started > limit {
			c.is.Helper()
			c.is.Equal(description, "in time") // time limit exceeded
			c.is.Fail()
		}
		c.run(20 * time.Millisecond)
	}
	return c.now() - started
}

// start starts a daemon, or restarts it without any state.
func (c *cluster) start(region, zone, id string, seeds ...string) *daemon {
	address := "addr-" + id
	d, known := c.daemons[address]
	if !known {
		d = &daemon{id: protocol.NodeID(id)}
		c.daemons[address] = d
	}
	d.generation++
	d.running = true
	d.config = node.Config{
		ID:             d.id,
		Incarnation:    protocol.Incarnation(c.now() + 1),
		ControlAddress: address,
		Region:         region,
		Zone:           zone,
		Seeds:          seeds,
		RandomSeed:     uint64(len(c.daemons)*100 + d.generation),
		Timing:         node.DefaultTiming(),
	}
	d.node = node.New(d.config)
	d.snapshot = nil
	d.servingUntil = 0
	d.operatorReplies = map[node.Token]any{}
	d.peerAnswers = map[node.Token]func(any){}
	c.tick(d, d.generation)
	return d
}

func (c *cluster) stop(d *daemon) {
	d.generation++
	d.running = false
}

func (c *cluster) tick(d *daemon, generation int) {
	if d.generation != generation {
		return
	}
	c.step(d, node.Tick{WallClock: c.wallClock()})
	c.after(node.TickInterval, func() { c.tick(d, generation) })
}

// step delivers a message to a node; a paused node receives it when it resumes.
func (c *cluster) step(d *daemon, message node.Message) {
	if c.now() < d.pausedUntil {
		generation := d.generation
		c.after(d.pausedUntil-c.now(), func() {
			if d.generation == generation {
				c.step(d, message)
			}
		})
		return
	}
	for _, effect := range d.node.Step(c.now(), message) {
		c.applyEffect(d, effect)
	}
}

func (c *cluster) applyEffect(d *daemon, effect node.Effect) {
	generation := d.generation
	switch requested := effect.(type) {
	case node.CallPeer:
		c.callPeer(d, generation, requested)
	case node.CallPlatform:
		c.platform.call(d, generation, requested)
	case node.StartWatch:
		c.platform.watch(d, generation, requested)
	case node.StopWatch:
		c.platform.stopWatch(d, requested.Token)
	case node.SwapSnapshot:
		c.is.True(requested.Snapshot.Version > d.highestVersion || d.snapshot == nil && requested.Snapshot.Version >= d.highestVersion) // I1
		d.snapshot = requested.Snapshot
		d.highestVersion = requested.Snapshot.Version
		if d.onSwap != nil {
			d.onSwap()
		}
		if d.withholdsConfirmations {
			return
		}
		c.after(0, func() {
			if d.generation == generation {
				c.confirm(d)
			}
		})
	case node.ExtendServingLease:
		d.servingUntil = requested.Until
	case node.PublishMembers:
		d.members = requested.Members
	case node.PeerAnswer:
		if answer, known := d.peerAnswers[requested.Token]; known {
			delete(d.peerAnswers, requested.Token)
			answer(requested.Body)
		}
	case node.OperatorAnswer:
		d.operatorReplies[requested.Token] = requested.Body
	case node.LogEvent:
		c.printLog(d, requested)
		if requested.Name == "version_in_force" {
			c.checkInForce(requested.Fields[0].Value)
		}
	}
}

// checkInForce checks a version that a node declares in force against the versions
// that all daemons may serve at that moment (I9).
func (c *cluster) checkInForce(declared string) {
	version, err := strconv.ParseUint(declared, 10, 64)
	c.is.NoErr(err)
	for _, d := range c.daemons {
		if c.serving(d) && d.snapshot.Version < protocol.Version(version) {
			c.is.Equal(fmt.Sprintf("%s serves %d", d.id, d.snapshot.Version), "in force is "+declared)
		}
	}
}

// confirm confirms to a node that its newest snapshot is in force.
func (c *cluster) confirm(d *daemon) { c.step(d, node.SnapshotInForce{Version: d.snapshot.Version}) }

func (c *cluster) printLog(d *daemon, event node.LogEvent) {
	if c.logLine == nil {
		return
	}
	var fields []string
	for _, field := range event.Fields {
		fields = append(fields, field.Key+"="+field.Value)
	}
	c.logLine(fmt.Sprintf("%8.3f %s event=%s %s", c.now().Seconds(), d.id, event.Name, strings.Join(fields, " ")))
}

func (c *cluster) isDropped(from, to string) bool {
	return c.isCut(from, to) || c.random != nil && c.random.Float64() < c.lossRate
}

func (c *cluster) latency() time.Duration {
	if c.random == nil {
		return baseLatency
	}
	return baseLatency + time.Duration(c.random.ExpFloat64()*float64(5*time.Millisecond))
}

// callPeer delivers a call; the request and the reply may each be dropped.
func (c *cluster) callPeer(from *daemon, generation int, call node.CallPeer) {
	done := false
	reply := func(body any, failed bool) {
		if done || from.generation != generation {
			return
		}
		done = true
		c.step(from, node.PeerReply{Token: call.Token, Body: body, Failed: failed})
	}
	c.after(call.Timeout, func() { reply(nil, true) })
	c.observe(from.config.ControlAddress, call.Address, call.Body)
	to, known := c.daemons[call.Address]
	if c.isDropped(from.config.ControlAddress, call.Address) {
		return
	}
	c.after(c.latency(), func() {
		if !known || !to.running {
			c.after(c.latency(), func() { reply(nil, true) })
			return
		}
		c.deliver(from, to, call.Body, func(body any) { reply(body, false) })
	})
}

func (c *cluster) deliver(from, to *daemon, body any, reply func(any)) {
	c.lastToken++
	token := node.Token(c.lastToken) | 1<<40
	to.peerAnswers[token] = func(answer any) {
		c.observe(to.config.ControlAddress, from.config.ControlAddress, answer)
		if !c.isDropped(to.config.ControlAddress, from.config.ControlAddress) {
			c.after(c.latency(), func() { reply(answer) })
		}
	}
	c.step(to, node.PeerRequest{Token: token, Body: body})
}

// serving reports whether a daemon may serve at this time.
func (c *cluster) serving(d *daemon) bool {
	return d.running && d.snapshot != nil && c.now() < d.servingUntil
}

// allServe reports whether all running daemons serve the version or a later one.
func (c *cluster) allServe(version protocol.Version) bool {
	for _, d := range c.daemons {
		if d.running && (!c.serving(d) || d.snapshot.Version < version) {
			return false
		}
	}
	return true
}

// submit sends a change through a daemon and returns a function that returns the
// reply, or nil before it arrives.
func (c *cluster) submit(d *daemon, content string) func() *protocol.SubmitReply {
	c.lastToken++
	token := node.Token(c.lastToken) | 1<<41
	action := protocol.ActionSubmit
	if c.fileExists {
		action = protocol.ActionReplace
	}
	c.fileExists = true
	c.step(d, node.OperatorRequest{Token: token, WallClock: c.wallClock(), Body: &protocol.SubmitRequest{
		Operation: fmt.Sprintf("%d-%016x", c.wallClock().UnixMilli(), c.lastToken),
		Partner:   "kameeldoring",
		Action:    action,
		File:      "shop",
		Content:   []byte(content),
	}})
	return func() *protocol.SubmitReply {
		reply, _ := d.operatorReplies[token].(*protocol.SubmitReply)
		return reply
	}
}

// status returns the status that a daemon reports to an operator.
func (c *cluster) status(d *daemon) *protocol.StatusReply {
	c.lastToken++
	token := node.Token(c.lastToken) | 1<<41
	c.step(d, node.OperatorRequest{Token: token, Body: &protocol.StatusRequest{Format: protocol.Format, Partner: "kameeldoring"}})
	c.waitUntil("status", 10*time.Second, func() bool { return d.operatorReplies[token] != nil })
	return d.operatorReplies[token].(*protocol.StatusReply)
}
