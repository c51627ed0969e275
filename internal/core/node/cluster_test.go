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

// delay is the one-way latency of every message.
const delay = time.Millisecond

// cluster simulates nodes, a platform and a network in virtual time.
type cluster struct {
	is       *is.I
	timeline *timeline.Timeline
	order    int
	daemons  map[string]*daemon
	// cut drops messages between two addresses when it returns true.
	cut func(from, to string) bool
	// random draws latencies and losses when set; otherwise every message has the
	// same latency and none is lost.
	random   *rand.Rand
	loss     float64
	platform *platform
	// observe is called with every message.
	observe func(from, to string, body any)
	// submitted is set once the file exists.
	submitted bool
	// logs receives log lines when set.
	logs func(line string)
}

// daemon is one node with a minimal shell.
type daemon struct {
	id           protocol.NodeID
	config       node.Config
	node         *node.Node
	snapshot     *snapshot.Snapshot
	servingUntil time.Duration
	members      []protocol.Member
	operator     map[node.Token]any
	answers      map[node.Token]func(any)
	highest      protocol.Version
	// generation grows with each start and stop; messages to an earlier one are
	// dropped.
	life    int
	running bool
	// withholdsConfirmations leaves swaps unconfirmed; onSwap is called for each
	// swap when set.
	holdsSwaps bool
	swapped    func()
	// pausedUntil is when a paused daemon resumes.
	pausedUntil time.Duration
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		timeline: timeline.New(0),
		is:       is.New(t),
		daemons:  map[string]*daemon{},
		cut:      func(string, string) bool { return false },
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

// until advances the time until the condition holds, and fails the test when that
// takes longer than the limit. It returns the time taken.
func (c *cluster) until(what string, limit time.Duration, condition func() bool) time.Duration {
	started := c.now()
	for !condition() {
		if c.now()-started > limit {
			c.is.Helper()
			c.is.Equal(what, "in time") // the condition was not reached in time
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
	d.life++
	d.running = true
	d.config = node.Config{
		ID:             d.id,
		Incarnation:    protocol.Incarnation(c.now() + 1),
		ControlAddress: address,
		Region:         region,
		Zone:           zone,
		Seeds:          seeds,
		RandomSeed:     uint64(len(c.daemons)*100 + d.life),
		Timing:         node.DefaultTiming(),
	}
	d.node = node.New(d.config)
	d.snapshot = nil
	d.servingUntil = 0
	d.operator = map[node.Token]any{}
	d.answers = map[node.Token]func(any){}
	c.tick(d, d.life)
	return d
}

func (c *cluster) stop(d *daemon) {
	d.life++
	d.running = false
}

func (c *cluster) tick(d *daemon, life int) {
	if d.life != life {
		return
	}
	c.step(d, node.Tick{WallClock: c.wallClock()})
	c.after(node.TickInterval, func() { c.tick(d, life) })
}

// step delivers a message to a node; a paused node receives it when it resumes.
func (c *cluster) step(d *daemon, message node.Message) {
	if c.now() < d.pausedUntil {
		life := d.life
		c.after(d.pausedUntil-c.now(), func() {
			if d.life == life {
				c.step(d, message)
			}
		})
		return
	}
	for _, effect := range d.node.Step(c.now(), message) {
		c.carryOut(d, effect)
	}
}

func (c *cluster) carryOut(d *daemon, effect node.Effect) {
	life := d.life
	switch one := effect.(type) {
	case node.CallPeer:
		c.callPeer(d, life, one)
	case node.CallPlatform:
		c.platform.call(d, life, one)
	case node.StartWatch:
		c.platform.watch(d, life, one)
	case node.StopWatch:
		c.platform.stop(d, one.Token)
	case node.SwapSnapshot:
		c.is.True(one.Snapshot.Version > d.highest || d.snapshot == nil && one.Snapshot.Version >= d.highest) // I1
		d.snapshot = one.Snapshot
		d.highest = one.Snapshot.Version
		if d.swapped != nil {
			d.swapped()
		}
		if d.holdsSwaps {
			return
		}
		c.after(0, func() {
			if d.life == life {
				c.confirm(d)
			}
		})
	case node.ExtendServingLease:
		d.servingUntil = one.Until
	case node.PublishMembers:
		d.members = one.Members
	case node.PeerAnswer:
		if answer, known := d.answers[one.Token]; known {
			delete(d.answers, one.Token)
			answer(one.Body)
		}
	case node.OperatorAnswer:
		d.operator[one.Token] = one.Body
	case node.LogEvent:
		c.printLog(d, one)
		if one.Name == "version_in_force" {
			c.checkInForce(one.Fields[0].Value)
		}
	}
}

// checkInForce checks a version that a node declares in force against the versions
// that all daemons may serve at that moment (I9).
func (c *cluster) checkInForce(claimed string) {
	version, err := strconv.ParseUint(claimed, 10, 64)
	c.is.NoErr(err)
	for _, d := range c.daemons {
		if c.serving(d) && d.snapshot.Version < protocol.Version(version) {
			c.is.Equal(fmt.Sprintf("%s serves %d", d.id, d.snapshot.Version), "in force is "+claimed)
		}
	}
}

// confirm confirms to a node that its newest snapshot is in force.
func (c *cluster) confirm(d *daemon) { c.step(d, node.SnapshotInForce{Version: d.snapshot.Version}) }

func (c *cluster) printLog(d *daemon, one node.LogEvent) {
	if c.logs == nil {
		return
	}
	var fields []string
	for _, field := range one.Fields {
		fields = append(fields, field.Key+"="+field.Value)
	}
	c.logs(fmt.Sprintf("%8.3f %s event=%s %s", c.now().Seconds(), d.id, one.Name, strings.Join(fields, " ")))
}

func (c *cluster) lost(from, to string) bool {
	return c.cut(from, to) || c.random != nil && c.random.Float64() < c.loss
}

func (c *cluster) delay() time.Duration {
	if c.random == nil {
		return delay
	}
	return delay + time.Duration(c.random.ExpFloat64()*float64(5*time.Millisecond))
}

// callPeer delivers a call; the request and the reply may each be dropped.
func (c *cluster) callPeer(from *daemon, life int, call node.CallPeer) {
	done := false
	reply := func(body any, failed bool) {
		if done || from.life != life {
			return
		}
		done = true
		c.step(from, node.PeerReply{Token: call.Token, Body: body, Failed: failed})
	}
	c.after(call.Timeout, func() { reply(nil, true) })
	c.observe(from.config.ControlAddress, call.Address, call.Body)
	to, known := c.daemons[call.Address]
	if c.lost(from.config.ControlAddress, call.Address) {
		return
	}
	c.after(c.delay(), func() {
		if !known || !to.running {
			c.after(c.delay(), func() { reply(nil, true) })
			return
		}
		c.deliver(from, to, call.Body, func(body any) { reply(body, false) })
	})
}

func (c *cluster) deliver(from, to *daemon, body any, reply func(any)) {
	c.order++
	token := node.Token(c.order) | 1<<40
	to.answers[token] = func(answer any) {
		c.observe(to.config.ControlAddress, from.config.ControlAddress, answer)
		if !c.lost(to.config.ControlAddress, from.config.ControlAddress) {
			c.after(c.delay(), func() { reply(answer) })
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
	c.order++
	token := node.Token(c.order) | 1<<41
	action := protocol.ActionSubmit
	if c.submitted {
		action = protocol.ActionReplace
	}
	c.submitted = true
	c.step(d, node.OperatorRequest{Token: token, WallClock: c.wallClock(), Body: &protocol.SubmitRequest{
		Operation: fmt.Sprintf("%d-%016x", c.wallClock().UnixMilli(), c.order),
		Partner:   "kameeldoring",
		Action:    action,
		File:      "shop",
		Content:   []byte(content),
	}})
	return func() *protocol.SubmitReply {
		reply, _ := d.operator[token].(*protocol.SubmitReply)
		return reply
	}
}

// status returns the status that a daemon reports to an operator.
func (c *cluster) status(d *daemon) *protocol.StatusReply {
	c.order++
	token := node.Token(c.order) | 1<<41
	c.step(d, node.OperatorRequest{Token: token, Body: &protocol.StatusRequest{Format: protocol.Format, Partner: "kameeldoring"}})
	c.until("status", 10*time.Second, func() bool { return d.operator[token] != nil })
	return d.operator[token].(*protocol.StatusReply)
}
