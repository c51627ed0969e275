package ledger_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fataler is the part of testing.TB and rapid.T that a chain uses.
type fataler interface {
	Fatalf(format string, arguments ...any)
}

// chain applies changes in sequence as a reader would, one per second.
type chain struct {
	t            fataler
	now          time.Time
	head         *ledger.Head
	contents     ledger.Contents
	requestCount int
}

func newChain(t fataler) *chain {
	return &chain{t: t, now: startTime, head: ledger.NewHead(), contents: ledger.Contents{}}
}

func (c *chain) newRequest(action protocol.Action, key string, body string) *protocol.SubmitRequest {
	c.requestCount++
	partner, name, _ := strings.Cut(key, "/")
	request := &protocol.SubmitRequest{
		Format:    protocol.Format,
		Operation: ledger.NewOperationID(c.now, fmt.Appendf(nil, "%08d", c.requestCount)),
		Partner:   resource.Partner(partner),
		Action:    action,
		File:      name,
	}
	if action != protocol.ActionWithdraw {
		request.Content = fmt.Appendf(nil, "partner: %s\nname: %s\n%s", partner, name, body)
	}
	return request
}

func (c *chain) send(request *protocol.SubmitRequest) *protocol.SubmitReply {
	c.now = c.now.Add(time.Second)
	change, refusal := ledger.Prepare(request, c.now, 1)
	if refusal != nil {
		return refusal
	}
	var reply *protocol.SubmitReply
	c.head, c.contents, reply = ledger.Apply(c.head, c.contents, change)
	return reply
}

func (c *chain) apply(action protocol.Action, key string, body string) *protocol.SubmitReply {
	return c.send(c.newRequest(action, key, body))
}

func (c *chain) submit(key, body string) *protocol.SubmitReply {
	return c.apply(protocol.ActionSubmit, key, body)
}

func (c *chain) replace(key, body string) *protocol.SubmitReply {
	return c.apply(protocol.ActionReplace, key, body)
}

func (c *chain) withdraw(key string) *protocol.SubmitReply {
	return c.apply(protocol.ActionWithdraw, key, "")
}

func (c *chain) catalogueKeys() string {
	var keys []string
	for _, encoded := range ledger.Catalogue(c.head, c.contents) {
		keys = append(keys, encoded.Key.String())
	}
	return strings.Join(keys, " ")
}

func service(name string, exports ...string) string {
	return fmt.Sprintf("services: [{name: %s, export_to: [%s]}]\n", name, strings.Join(exports, ", "))
}

func route(name, service string) string {
	return fmt.Sprintf("routes: [{name: %s, match: {path: /%s}, split: [{service: %s}]}]\n", name, name, service)
}

func TestHeldFileIsPromotedInTheSameVersion(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	held := c.submit("a/routes", route("r", "b/s"))
	is.Equal(held.Code, result.Held)
	is.Equal(held.WaitsFor, []string{"a/route/r needs b/service/s"})
	is.Equal(c.head.Version, protocol.Version(0))
	is.Equal(c.submit("b/services", service("s")).Code, result.OK)
	is.Equal(c.head.Files[0].Held.WaitsFor, []string{"a/route/r needs b/service/s, which is not exported to a"})
	reply := c.replace("b/services", service("s", "a"))
	is.Equal(reply.Promoted, []string{"a/routes"})
	is.Equal(reply.Version, protocol.Version(2))
	is.Equal(c.head.Files[0].Accepted.Version, protocol.Version(2))
	is.Equal(c.catalogueKeys(), "a/route/r b/service/s")
}

func TestAllFilesUnblockedByAChangeArePromoted(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	is.Equal(c.submit("a/chained", route("r", "b/middle")).Code, result.Held)
	is.Equal(c.submit("b/middle", service("middle", "a")+route("r", "c/s")).Code, result.Held)
	is.Equal(c.submit("a/direct", route("r2", "c/s")).Code, result.Held)
	reply := c.submit("c/f", service("s", "a", "b"))
	is.Equal(reply.Promoted, []string{"a/chained", "a/direct", "b/middle"})
	is.Equal(c.head.Version, protocol.Version(1))
}

func TestFilesThatNeedEachOtherArePromotedTogether(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	is.Equal(c.submit("a/f", service("s", "b")+route("r", "b/s")).Code, result.Held)
	reply := c.submit("b/f", service("s", "a")+route("r", "a/s"))
	is.Equal(reply.Code, result.OK)
	is.Equal(reply.Promoted, []string{"a/f"})
	is.Equal(c.head.Version, protocol.Version(1))
}

// TestUnresolvableHeldFileDoesNotBlockOthers guards against a held file that
// blocks unrelated ones: the replacement of b/f removes the service that its
// own route needs, while all that a/g refers to is accepted.
func TestUnresolvableHeldFileDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	c.submit("b/f", service("z", "a"))
	is.Equal(c.replace("b/f", route("r", "z")).Code, result.Held)
	is.Equal(c.submit("a/g", route("r", "b/z")).Code, result.OK)
}

// TestConflictingHeldFilesDoNotDeadlock guards against a deadlock of two held
// replacements, each of which removes what the other needs: once each could be
// accepted alone, one of them is.
func TestConflictingHeldFilesDoNotDeadlock(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	c.submit("a/f", service("p", "b"))
	c.submit("b/f", service("q", "a"))
	const routes = "routes:\n  - {name: r, match: {path: /r}, split: [{service: %s}, {service: c/k}]}\n"
	is.Equal(c.replace("a/f", fmt.Sprintf(routes, "b/q")).Code, result.Held)
	is.Equal(c.replace("b/f", fmt.Sprintf(routes, "a/p")).Code, result.Held)
	reply := c.submit("c/f", service("k", "a", "b"))
	is.Equal(reply.Code, result.OK)
	is.Equal(len(reply.Promoted), 1)
}

func TestReferencedResourcesCannotBeRemoved(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	c.submit("b/s", service("s", "a"))
	c.submit("a/r", route("r", "b/s"))
	before := c.head
	for _, reply := range []*protocol.SubmitReply{
		c.withdraw("b/s"),
		c.replace("b/s", service("s")),
		c.replace("b/s", service("other", "a")),
		c.replace("b/s", route("held", "nowhere")),
	} {
		is.Equal(reply.Code, result.StillNeeded)
		is.True(strings.Contains(reply.Errors[0].Detail, "a/route/r"))
		is.Equal(c.head, before)
	}
	is.Equal(c.withdraw("a/r").Code, result.OK)
	is.Equal(c.withdraw("b/s").Code, result.OK)
	is.Equal(c.catalogueKeys(), "")
}

func TestHeldReplacementLeavesTheAcceptedRevisionInForce(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	c.submit("a/f", service("s")+route("r", "s"))
	reply := c.replace("a/f", service("s")+route("r", "later"))
	is.Equal(reply.Code, result.Held)
	is.Equal(c.head.Version, protocol.Version(1))
	is.Equal(c.catalogueKeys(), "a/route/r a/service/s")
	is.Equal(c.submit("a/later", service("later")).Promoted, []string{"a/f"})
}

func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	first := c.submit("a/f", service("s"))
	is.Equal(c.submit("a/f", service("s2")).Code, result.RevisionMismatch)
	replaceExpecting := func(revision uint64, body string) *protocol.SubmitReply {
		request := c.newRequest(protocol.ActionReplace, "a/f", body)
		request.Expect = protocol.ExpectationOf(&revision)
		return c.send(request)
	}
	second := replaceExpecting(first.Revision, service("s2"))
	is.Equal(second.Code, result.OK)
	conflicting := replaceExpecting(first.Revision, service("s3"))
	is.Equal(conflicting.Code, result.RevisionMismatch)
	is.Equal(conflicting.Revision, second.Revision)
	is.Equal(conflicting.Version, second.Version)
	c.withdraw("a/f")
	is.Equal(replaceExpecting(second.Revision, service("s4")).Code, result.RevisionMismatch)
	is.True(c.submit("a/f", service("s")).Revision > second.Revision)
}

func TestOwnershipAndNames(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	c.submit("a/f", service("s"))
	is.Equal(c.submit("a/g", service("s")).Code, result.NameTaken)
	is.Equal(c.submit("b/f", service("s")).Code, result.OK)
	request := c.newRequest(protocol.ActionSubmit, "a/h", service("t"))
	request.Partner = "b"
	is.Equal(c.send(request).Code, result.FileNotYours)
	is.Equal(c.withdraw("b/none").Code, result.NoSuchFile)
	is.Equal(c.submit("a/h", "colour: red\n").Code, result.FileUnknownField)
}

func TestResendsGetTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	request := c.newRequest(protocol.ActionSubmit, "a/f", service("s"))
	first := c.send(request)
	c.replace("a/f", service("s2"))
	head := c.head
	is.Equal(c.send(request), first)
	is.Equal(c.head, head)
	other := c.newRequest(protocol.ActionSubmit, "a/g", service("t"))
	other.Operation = request.Operation
	is.Equal(c.send(other).Code, result.OperationReused)
	other.Operation = "nonsense"
	is.Equal(c.send(other).Code, result.UsageError)
}

// TestDroppedOperationIsNeverAppliedAgain guards against a second run of an
// operation that was dropped by count and age, after the reader's clock has
// jumped back.
func TestDroppedOperationIsNeverAppliedAgain(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	first := c.newRequest(protocol.ActionSubmit, "a/f", service("s"))
	is.Equal(c.send(first).Code, result.OK)
	is.Equal(c.withdraw("a/f").Code, result.OK)
	c.now = c.now.Add(2 * ledger.MinOperationAge)
	for i := range ledger.MinOperationCount + 2 {
		c.submit(fmt.Sprintf("a/f%d", i), service(fmt.Sprintf("s%d", i)))
	}
	is.Equal(len(c.head.Operations), ledger.MinOperationCount+2) // the first two exceeded both bounds
	c.now = startTime
	is.Equal(c.send(first).Code, result.OutcomeUnknown)
	_, found := c.head.File(resource.FileKey{Partner: "a", Name: "f"})
	is.True(!found)
}

func TestSameContentKeepsItsVersion(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	first := c.submit("a/f", service("s"))
	replaced := c.replace("a/f", "# the same\n"+service("s"))
	is.Equal(replaced.Code, result.OK)
	is.Equal(replaced.Version, first.Version)
	is.True(replaced.Revision > first.Revision)
}

func TestKeeperSetChangeIsANewVersion(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	c.submit("a/f", service("s"))
	set := protocol.KeeperSet{Region: "accra", Members: []protocol.KeeperMember{{ID: "n1"}}, Write: 1, Read: 1}
	next := ledger.SetKeepers(c.head, []protocol.KeeperSet{set}, c.now, 7)
	is.Equal(next.Version, c.head.Version+1)
	is.Equal(next.Keepers[0].Revision, next.Version)
	is.Equal(next.Term, uint64(7))
	is.Equal(ledger.SetKeepers(next, []protocol.KeeperSet{set}, c.now, 8), next)
	is.Equal(len(c.head.Keepers), 0)
}

func TestDecodeRestoresHeadAndRefusesCorruptedOnes(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	c.submit("a/f", service("s"))
	c.submit("a/r", route("r", "later"))
	encoded := ledger.Encode(c.head)
	decoded, err := ledger.Decode(encoded)
	is.NoErr(err)
	is.Equal(ledger.Encode(decoded), encoded)
	for _, corrupted := range []string{
		"", "null", "{}", `{"format":2}`,
		strings.Replace(string(encoded), `"term"`, `"newer":1,"term"`, 1),
		strings.Replace(string(encoded), `"last_revision":2`, `"last_revision":1`, 1),
		strings.Replace(string(encoded), `"version":1,"term"`, `"version":0,"term"`, 1),
		string(encoded) + strings.Repeat(" ", ledger.MaxHeadSize),
		string(encoded) + "{}",
	} {
		_, err := ledger.Decode([]byte(corrupted))
		is.True(err != nil)
	}
}

// TestHeadStaysWithinItsBudget fills a head from just below its budget. It
// guards against a full head that can't shrink because withdrawals are refused
// too.
func TestHeadStaysWithinItsBudget(t *testing.T) {
	is := is.New(t)
	c := newChain(t)
	c.submit("a/f", service("s"))
	template := *c.head.Files[0].Accepted
	file := c.contents[template.Digest]
	size := len(ledger.Encode(c.head))
	for i := 0; size < ledger.HeadBudget-2_000; i++ {
		entry := ledger.FileEntry{Partner: "z", Name: fmt.Sprintf("f%06d", i), Accepted: &template}
		copied := *file
		copied.Partner, copied.Name, copied.Services = entry.Partner, entry.Name, nil
		accepted := template
		accepted.Digest = resource.FileDigest(&copied)
		entry.Accepted = &accepted
		c.contents[accepted.Digest] = &copied
		c.head.Files = append(c.head.Files, entry)
		size += len(ledger.Encode(&ledger.Head{Files: []ledger.FileEntry{entry, entry}})) - len(ledger.Encode(&ledger.Head{Files: []ledger.FileEntry{entry}}))
	}
	reply := &protocol.SubmitReply{}
	for i := 0; i < 100 && reply.Code == result.OK; i++ {
		reply = c.submit(fmt.Sprintf("a/g%d", i), service(fmt.Sprintf("g%d", i)))
		is.True(len(ledger.Encode(c.head)) <= ledger.HeadBudget)
	}
	is.Equal(reply.Code, result.HeadTooLarge)
	is.Equal(c.withdraw("a/f").Code, result.OK)
}
