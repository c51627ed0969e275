package reader

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	_ "github.com/springstack/springstack/internal/fixedseed" // makes rapid draw the same values on every run
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/result"
)

// sentRequest is one request of an operator and the reply it got, if any.
type sentRequest struct {
	client  *client
	reader  *Reader
	ticket  Ticket
	request *protocol.SubmitRequest
	reply   *protocol.SubmitReply
}

// freshHeadRequest is a call of RequestFreshHead and the lowest version that its
// result may have.
type freshHeadRequest struct {
	client     *client
	reader     *Reader
	ticket     Ticket
	minVersion protocol.Version
}

// oracle records all requests, their replies and every head that the platform
// had, and checks them against each other.
type oracle struct {
	t                 *rapid.T
	world             *world
	seenVersion       object.Version
	history           []*ledger.Head
	sentRequests      []*sentRequest
	freshHeadRequests []freshHeadRequest
	lastTicket        Ticket
}

// observe records the head if it has changed, and checks it and the leases.
func (o *oracle) observe() {
	head, version := o.world.headObject()
	if version != o.seenVersion {
		o.checkHead(head)
		o.seenVersion = version
		o.history = append(o.history, head)
	}
	o.checkLeases()
}

// checkHead compares a new head with the one before: each new operation makes
// at most one version, and an operation keeps the version recorded for it.
func (o *oracle) checkHead(head *ledger.Head) {
	if len(o.history) == 0 {
		return
	}
	before := o.history[len(o.history)-1]
	if head.Version < before.Version {
		o.t.Fatalf("the head moved back from version %d to %d", before.Version, head.Version)
	}
	versions := map[string]protocol.Version{}
	for _, operation := range before.Operations {
		versions[operation.ID] = operation.Version
	}
	added := 0
	for _, operation := range head.Operations {
		version, isKnown := versions[operation.ID]
		if isKnown && version != operation.Version {
			o.t.Fatalf("operation %s was applied twice", operation.ID)
		}
		if !isKnown {
			added++
		}
	}
	if increase := int(head.Version - before.Version); increase > max(added, 1) {
		o.t.Fatalf("%d new operations raised the version by %d", added, increase)
	}
}

// checkLeases checks that at any moment each slot has at most one holder.
func (o *oracle) checkLeases() {
	holders := map[string]string{}
	for _, c := range o.world.clients {
		lease := &c.reader.lease
		if !lease.isHeld || c.clock() >= lease.expiresAt {
			continue
		}
		if other, taken := holders[lease.slot]; taken {
			o.t.Fatalf("%s and %s hold lease %s at the same time", other, c.name, lease.slot)
		}
		holders[lease.slot] = c.name
	}
}

// collectAndCheckReplies assigns replies to their requests, and checks the
// answers to requests for a fresh head and the versions published since the
// last call.
func (o *oracle) collectAndCheckReplies() {
	for _, sent := range o.sentRequests {
		if sent.reply == nil && sent.client.reader == sent.reader {
			sent.reply = sent.client.results[sent.ticket]
		}
	}
	for _, request := range o.freshHeadRequests {
		answer, answered := request.client.freshHeads[request.ticket]
		if request.client.reader == request.reader && answered && answer.OK && answer.Version < request.minVersion {
			o.t.Fatalf("a fresh head had version %d, below version %d on the platform at the request", answer.Version, request.minVersion)
		}
	}
	for _, c := range o.world.clients {
		o.checkPublished(c)
	}
}

// checkPublished checks that a reader publishes complete versions in ascending
// order.
func (o *oracle) checkPublished(c *client) {
	last := protocol.Version(0)
	for _, ready := range c.published {
		if ready.Version < last {
			o.t.Fatalf("%s published versions in descending order: %d, then %d", c.name, last, ready.Version)
		}
		last = ready.Version
		accepted := 0
		for _, file := range ready.Files {
			if !file.Held {
				accepted++
			}
		}
		if accepted != len(ready.Resources) {
			o.t.Fatalf("%s published %d resources for %d accepted files", c.name, len(ready.Resources), accepted)
		}
	}
	c.published = c.published[max(0, len(c.published)-1):]
}

// finish checks the replies to operators against the operations in all heads.
func (o *oracle) finish() {
	appliedVersions := map[string]protocol.Version{}
	for _, head := range o.history {
		for _, operation := range head.Operations {
			appliedVersions[operation.ID] = operation.Version
		}
	}
	allRefused := map[string]bool{}
	for _, sent := range o.sentRequests {
		id := sent.request.Operation
		if sent.reply == nil {
			allRefused[id] = false
			continue
		}
		entry, _ := result.Lookup(sent.reply.Code)
		accepted := sent.reply.Code == result.OK || sent.reply.Code == result.Held
		if version, has := appliedVersions[id]; accepted && (!has || version != sent.reply.Version) {
			o.t.Fatalf("operation %s was reported as accepted in version %d, which no head confirms", id, sent.reply.Version)
		}
		before, known := allRefused[id]
		allRefused[id] = entry.Ran == result.RanNo && (before || !known)
	}
	for id, all := range allRefused {
		if _, has := appliedVersions[id]; all && has {
			o.t.Fatalf("operation %s ran, but every reply to it reported that it did not", id)
		}
	}
}

// step draws and runs one action.
func (o *oracle) step() {
	w := o.world
	c := w.clients[w.random.IntN(len(w.clients))]
	for range 4 {
		if other := w.clients[w.random.IntN(len(w.clients))]; !c.reader.IsReader() {
			c = other
		}
	}
	switch action := w.random.IntN(100); {
	case action < 40:
		o.submit(c)
	case action < 50:
		o.resend(c)
	case action < 58:
		o.lastTicket++
		o.freshHeadRequests = append(o.freshHeadRequests, freshHeadRequest{client: c, reader: c.reader, ticket: o.lastTicket, minVersion: w.head().Version})
		ticket := o.lastTicket
		c.input(func(now time.Duration) []Output { return c.reader.RequestFreshHead(now, ticket) })
	case action < 64:
		o.setKeepers(c)
	case action < 68:
		c.paused = true
	case action < 80:
		for _, other := range w.clients {
			other.resume()
		}
	case action < 82:
		c.restart("windhoek")
	case action < 88:
		w.store.Compact(w.store.Version())
	default:
		o.changeFaults()
	}
	w.run(time.Duration(w.random.Int64N(int64(maxWaits[w.random.IntN(len(maxWaits))]))))
	o.collectAndCheckReplies()
}

// maxWaits are upper bounds of the wait between two actions.
var maxWaits = []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, time.Second, 10 * time.Second}

func (o *oracle) submit(c *client) {
	files := []string{"roastery", "plans", "labels"}
	o.lastTicket++
	operation := string(binary.BigEndian.AppendUint64(nil, uint64(o.lastTicket)))
	file := files[o.world.random.IntN(len(files))]
	entry, found := o.world.head().File(resource.FileKey{Partner: "kameeldoring", Name: file})
	action := protocol.ActionSubmit
	if found {
		action = []protocol.Action{protocol.ActionReplace, protocol.ActionReplace, protocol.ActionWithdraw}[o.world.random.IntN(3)]
	}
	request := o.world.newRequest(operation, file, action)
	if found && o.world.random.IntN(2) == 0 {
		request.Expect = protocol.Expectation{Given: true, Revision: entry.Revision()}
	}
	o.send(c, request)
}

// resend sends one of the last four requests again, to any reader.
func (o *oracle) resend(c *client) {
	if len(o.sentRequests) == 0 {
		return
	}
	o.lastTicket++
	o.send(c, o.sentRequests[max(0, len(o.sentRequests)-1-o.world.random.IntN(4))].request)
}

func (o *oracle) send(c *client, request *protocol.SubmitRequest) {
	o.sentRequests = append(o.sentRequests, &sentRequest{client: c, reader: c.reader, ticket: o.lastTicket, request: request})
	c.submit(o.lastTicket, request)
}

func (o *oracle) setKeepers(c *client) {
	current, _ := o.world.head().KeeperSet("windhoek")
	set := protocol.KeeperSet{Region: "windhoek", Revision: current.Revision, Write: 1, Read: 1}
	set.Members = []protocol.KeeperMember{{ID: protocol.NodeID(c.name), ControlAddress: "127.0.0.1:1"}}
	wall := time.UnixMilli(epoch).Add(o.world.now)
	c.input(func(now time.Duration) []Output { return c.reader.SetKeepers(now, wall, []protocol.KeeperSet{set}) })
}

// changeFaults replaces the platform's faults by randomly drawn ones, which
// apply until it is called again.
func (o *oracle) changeFaults() {
	w := o.world
	chance := func() float64 { return float64(w.random.IntN(3)) * w.random.Float64() / 3 }
	w.faults = standin.Faults{
		Jitter:         time.Duration(w.random.Int64N(int64(200 * time.Millisecond))),
		ListLag:        time.Duration(w.random.Int64N(int64(2 * time.Second))),
		LostAnswer:     chance(),
		LostRequest:    chance(),
		LeaseLapse:     chance(),
		DuplicateEvent: chance(),
		CrossedEvent:   chance(),
		ReplayedEvent:  chance(),
		BrokenWatch:    chance(),
	}
	w.lateRequestProbability = chance()
	if w.random.IntN(5) == 0 {
		w.faults.Outage = []standin.Outage{standin.OutageRefusing, standin.OutageSilent}[w.random.IntN(2)]
	}
	if w.random.IntN(6) == 0 {
		w.faults, w.lateRequestProbability = standin.Faults{}, 0
	}
}

// recover disables all faults and expects the next change to be accepted.
func (o *oracle) recover() {
	w := o.world
	w.faults, w.lateRequestProbability = standin.Faults{}, 0
	for _, c := range w.clients {
		c.resume()
	}
	w.run(time.Minute)
	for _, c := range w.clients {
		if !c.reader.IsReader() {
			continue
		}
		o.lastTicket++
		o.send(c, w.newRequest(string(binary.BigEndian.AppendUint64(nil, uint64(o.lastTicket))), "last", protocol.ActionSubmit))
		w.run(5 * time.Second)
		o.collectAndCheckReplies()
		if reply := o.sentRequests[len(o.sentRequests)-1].reply; reply == nil || reply.Code != result.OK && reply.Code != result.RevisionMismatch {
			o.t.Fatalf("reply to a change after the faults: %+v", reply)
		}
		return
	}
	o.t.Fatalf("no reader within a minute after the faults")
}

func TestReadersUnderFaults(t *testing.T) {
	accepted, unknown, refused := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := xxhash.Sum64(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "seed"))
		o := &oracle{t: t, world: newWorld(seed)}
		o.world.afterEvent = o.observe
		for range 4 {
			c := o.world.add("windhoek")
			c.clockRate = 0.97 + 0.02*float64(o.world.random.IntN(4))
		}
		for range maxModelSteps - rapid.IntRange(0, maxModelSteps-1).Draw(t, "cut") {
			o.step()
		}
		o.recover()
		o.finish()
		for _, sent := range o.sentRequests {
			if sent.reply == nil {
				continue
			}
			switch entry, _ := result.Lookup(sent.reply.Code); entry.Ran {
			case result.RanYes:
				accepted++
			case result.RanUnknown:
				unknown++
			default:
				refused++
			}
		}
	})
	t.Logf("changes accepted: %d, unknown: %d, refused: %d", accepted, unknown, refused)
	if accepted == 0 || unknown == 0 || refused == 0 {
		t.Fatal("the runs did not cover all three outcomes of a change")
	}
}

// maxModelSteps is the maximum number of actions in one run of the model.
const maxModelSteps = 120
