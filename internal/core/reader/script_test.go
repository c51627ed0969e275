package reader

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// script drives one reader: the test answers its platform calls one by one.
type script struct {
	is      *is.I
	reader  *Reader
	now     time.Duration
	calls   []PlatformCall
	outputs []Output
	world   *world
}

// newScript returns a script whose reader has just acquired its lease.
func newScript(t *testing.T) *script {
	s := &script{is: is.New(t), reader: New(Config{ID: "one", Region: "windhoek", RandomSeed: 1}), world: newWorld(1)}
	s.advance(0)
	s.reply(LeasePrefix+"windhoek/", object.Reply{})
	s.reply(s.calls[0].Call.Name, object.Reply{Object: object.Object{Version: 1}})
	s.is.True(s.reader.IsReader())
	return s
}

// advance advances the time and calls Tick.
func (s *script) advance(duration time.Duration) {
	s.now += duration
	s.collect(s.reader.Tick(s.now, Candidacy{Candidate: true}))
}

func (s *script) collect(outputs []Output) {
	for _, output := range outputs {
		if call, is := output.(PlatformCall); is {
			s.calls = append(s.calls, call)
		}
	}
	s.outputs = append(s.outputs, outputs...)
}

// reply answers the oldest pending call on an object and returns the call.
func (s *script) reply(name string, reply object.Reply) PlatformCall {
	call, index, found := lo.FindIndexOf(s.calls, func(call PlatformCall) bool { return call.Call.Name == name })
	if !found {
		panic("no pending call on " + name)
	}
	s.calls = append(s.calls[:index:index], s.calls[index+1:]...)
	s.collect(s.reader.HandlePlatformReply(s.now, call.Token, reply))
	return call
}

// replyHead answers the oldest pending call on the head with an encoded head.
func (s *script) replyHead(version object.Version, data []byte) {
	s.reply(ledger.HeadObject, object.Reply{Object: object.Object{Name: ledger.HeadObject, Version: version, Data: data}})
}

func (s *script) submit(ticket Ticket, request *protocol.SubmitRequest) {
	s.collect(s.reader.Submit(s.now, time.UnixMilli(epoch), ticket, request))
}

// resultCodes returns the result codes emitted for a ticket.
func (s *script) resultCodes(ticket Ticket) []result.Code {
	return lo.FilterMap(s.outputs, func(output Output, _ int) (result.Code, bool) {
		done, is := output.(SubmitResult)
		if !is || done.Ticket != ticket {
			return 0, false
		}
		return done.Reply.Code, true
	})
}

// hasPendingCall reports whether a call on an object is pending.
func (s *script) hasPendingCall(name string) bool {
	return lo.ContainsBy(s.calls, func(call PlatformCall) bool { return call.Call.Name == name })
}

// writeContents answers all pending writes of contents with OK.
func (s *script) writeContents() {
	for _, call := range s.calls {
		if call.Call.Kind == object.CallCreate && call.Call.Name != ledger.HeadObject {
			s.reply(call.Call.Name, object.Reply{})
		}
	}
}

var (
	notFound    = object.Reply{Code: result.PlatformNotFound}
	replyLost   = object.Reply{Code: result.PlatformUnknown}
	conflict    = object.Reply{Code: result.PlatformExists}
	unavailable = object.Reply{Code: result.PlatformUnavailable}
)

// submitFirstChange answers the first read of the head with notFound, submits a
// change, writes its content and returns its head update, which is still pending.
func (s *script) submitFirstChange() PlatformCall {
	s.reply(ledger.HeadObject, notFound)
	s.submit(1, s.world.newRequest("op000001", "roastery", protocol.ActionSubmit))
	s.writeContents()
	return s.calls[len(s.calls)-1]
}

// renewOnly lets time pass; it answers renewals of the lease with OK and all
// other calls with PlatformUnavailable.
func (s *script) renewOnly(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.advance(100 * time.Millisecond)
		for _, call := range s.calls {
			answer := unavailable
			if call.Call.Name == s.reader.lease.slot {
				answer = object.Reply{Object: object.Object{Version: call.Call.Expect + 1}}
			}
			s.reply(call.Call.Name, answer)
		}
	}
}

func TestLostUpdateThatWasAppliedIsAccepted(t *testing.T) {
	s := newScript(t)
	update := s.submitFirstChange()
	s.reply(ledger.HeadObject, replyLost)
	s.advance(time.Second)
	s.replyHead(5, update.Call.Data)
	s.is.Equal(s.resultCodes(1), []result.Code{result.OK})
}

func TestLostUpdateIsSentAgainUnchanged(t *testing.T) {
	s := newScript(t)
	update := s.submitFirstChange()
	s.reply(ledger.HeadObject, replyLost)
	s.advance(time.Second)
	s.reply(ledger.HeadObject, notFound)
	s.advance(time.Second)
	s.is.Equal(s.reply(ledger.HeadObject, object.Reply{Object: object.Object{Version: 6}}).Call, update.Call)
	s.is.Equal(s.resultCodes(1), []result.Code{result.OK})
}

func TestLostUpdateIsNeverReportedAsNotAccepted(t *testing.T) {
	for _, second := range []object.Reply{replyLost, unavailable, conflict} {
		s := newScript(t)
		s.submitFirstChange()
		s.reply(ledger.HeadObject, replyLost)
		s.advance(time.Second)
		s.reply(ledger.HeadObject, notFound)
		s.advance(time.Second)
		s.reply(ledger.HeadObject, second)
		s.renewOnly(15 * time.Second)
		s.is.Equal(s.resultCodes(1), []result.Code{result.OutcomeUnknown})
	}
}

func TestUpdateNeverSentIsNotAccepted(t *testing.T) {
	s := newScript(t)
	s.submitFirstChange()
	s.renewOnly(15 * time.Second)
	s.is.Equal(s.resultCodes(1), []result.Code{result.NotAccepted})
	s.is.True(!s.hasPendingCall(ledger.HeadObject))
}

func TestPausedHolderDropsExpiredLeaseBeforeActing(t *testing.T) {
	s := newScript(t)
	s.submitFirstChange()
	s.submit(2, s.world.newRequest("op000002", "plans", protocol.ActionSubmit))
	s.now += time.Minute
	s.outputs, s.calls = nil, nil
	s.collect(s.reader.RequestFreshHead(s.now, 9))
	s.is.True(!s.reader.IsReader())
	s.is.Equal(s.resultCodes(1), []result.Code{result.OutcomeUnknown}) // its update was sent
	s.is.Equal(s.resultCodes(2), []result.Code{result.NotAccepted})
	s.is.Equal(len(s.calls), 0)
}

func TestLeaseExpiryCountsFromSendingOfRenewal(t *testing.T) {
	s := newScript(t)
	s.reply(ledger.HeadObject, notFound)
	s.advance(2 * time.Second)
	sent := s.now
	s.now += 1900 * time.Millisecond
	s.reply(s.reader.lease.slot, object.Reply{Object: object.Object{Version: 2}})
	s.is.Equal(s.reader.lease.expiresAt, sent+5400*time.Millisecond)
}

func TestFreshHeadNeedsAReadSentAfterTheRequest(t *testing.T) {
	s := newScript(t)
	freshHeads := func() (answers []FreshHeadResult) {
		return lo.FilterMap(s.outputs, func(output Output, _ int) (FreshHeadResult, bool) {
			answer, is := output.(FreshHeadResult)
			return answer, is
		})
	}
	s.collect(s.reader.RequestFreshHead(s.now, 1)) // the first read is already in flight
	s.collect(s.reader.RequestFreshHead(s.now, 2))
	s.reply(ledger.HeadObject, notFound)
	s.is.Equal(len(freshHeads()), 0)
	s.replyHead(3, ledger.Encode(ledger.NewHead()))
	s.is.Equal(freshHeads(), []FreshHeadResult{{Ticket: 1, OK: true}, {Ticket: 2, OK: true}})
}

func TestDependentChangesAreNotBatched(t *testing.T) {
	s := newScript(t)
	s.reply(ledger.HeadObject, notFound)
	s.submit(1, s.world.newRequest("op000001", "plans", protocol.ActionSubmit))
	s.submit(2, s.world.newRequest("op000002", "roastery", protocol.ActionSubmit))
	s.submit(3, s.world.newRequest("op000003", "labels", protocol.ActionSubmit))
	s.submit(4, s.world.newRequest("op000004", "roastery", protocol.ActionReplace))
	s.writeContents()
	s.replyHead(5, s.calls[len(s.calls)-1].Call.Data) // the first change is sent alone
	s.writeContents()
	update, err := ledger.Decode(s.calls[len(s.calls)-1].Call.Data)
	s.is.NoErr(err)
	s.is.Equal(len(update.Operations), 3) // the second and third in one update, without the fourth
	s.is.Equal(update.Version, protocol.Version(3))
}

func TestOlderAndDuplicateEventsAreIgnored(t *testing.T) {
	s := newScript(t)
	empty := ledger.NewHead()
	s.replyHead(7, ledger.Encode(empty))
	watch := lo.FilterMap(s.outputs, func(output Output, _ int) (Token, bool) {
		start, is := output.(StartWatch)
		return start.Token, is
	})
	for _, version := range []object.Version{5, 7, 9, 9, 8} {
		changed := *empty
		changed.Term = uint64(version)
		event := object.Event{Kind: object.EventPut, Object: object.Object{Name: ledger.HeadObject, Version: version, Data: ledger.Encode(&changed)}}
		s.collect(s.reader.HandleEvent(s.now, watch[0], event))
	}
	s.is.Equal(s.reader.head.version, object.Version(9))
	s.is.Equal(s.reader.head.head.Term, uint64(9))
}

func TestOnlyCandidatesCallThePlatform(t *testing.T) {
	is := is.New(t)
	reader := New(Config{ID: "one", Region: "windhoek", RandomSeed: 1})
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		is.Equal(len(reader.Tick(now, Candidacy{})), 0)
	}
}

func TestResigningFreesTheLeaseAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(3)
	holder := w.add("windhoek")
	w.run(2 * time.Second)
	holder.candidate = false
	holder.input(holder.reader.Resign)
	is.True(!holder.reader.IsReader())
	w.run(100 * time.Millisecond)
	next := w.add("windhoek")
	w.run(100 * time.Millisecond)
	is.True(next.reader.IsReader())
	is.Equal(next.reader.lease.slot, holder.reader.lease.slot)
	is.Equal(next.reader.Term(), uint64(2))
}
