package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/springstack/springstack/internal/fixedseed"
)

func signatureOf(target string) Signature {
	return Signature{Head: Head{Method: "GET", Host: "app.example", Target: target, Caller: "app"}.Sum()}
}

// endUnder records the ends of some instances for one request.
func endUnder(table *Table, request Signature, instances ...string) {
	for _, instance := range instances {
		table.RecordEnd(0, request, instance, false)
	}
}

func beliefIn(table *Table, now time.Duration, signature Signature) State {
	belief, _ := table.View(now).State(now, signature)
	return belief
}

func TestWhatARequestAsksMakesItsSignature(t *testing.T) {
	check := is.New(t)
	one := Head{Method: "GET", Host: "a.example", Target: "/x?y=1", Caller: "app"}
	others := []Head{
		{Method: "PUT", Host: "a.example", Target: "/x?y=1", Caller: "app"},
		{Method: "GET", Host: "b.example", Target: "/x?y=1", Caller: "app"},
		{Method: "GET", Host: "a.example", Target: "/x?y=2", Caller: "app"},
		{Method: "GET", Host: "a.example", Target: "/x?y=1", Caller: "other"},
		{Method: "GET", Host: "a.example/x?y=1", Target: "", Caller: "app"},
	}
	check.Equal(one.Sum(), one.Sum())
	for _, other := range others {
		check.True(one.Sum() != other.Sum())
	}
	check.Equal(SumBody(nil), Hash{})
	check.True(SumBody([]byte("x")) != SumBody([]byte("y")))
	long := make([]byte, BodyBytes+1)
	check.Equal(SumBody(long), SumBody(long[:BodyBytes])) // bytes beyond the limit are ignored
}

func TestARequestIsHeldAfterEnoughEnds(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmful := signatureOf("/harmful")
	check.Equal(beliefIn(table, 0, harmful), Trusted)
	check.True(table.RecordEnd(0, harmful, "a", false))
	check.Equal(beliefIn(table, 0, harmful), Suspected)
	check.True(!table.RecordEnd(0, harmful, "a", false)) // the same end, reported again
	check.Equal(beliefIn(table, 0, harmful), Suspected)
	check.True(table.RecordEnd(0, harmful, "b", false))
	check.Equal(beliefIn(table, 0, harmful), Suspected)
	check.True(table.RecordEnd(0, harmful, "c", false))
	check.Equal(beliefIn(table, 0, harmful), Held)
	check.Equal(beliefIn(table, 0, signatureOf("/other")), Trusted)
}

func TestARequestThatWasAnsweredBeforeIsHeldLater(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/often")
	for end := range DefaultRules().EndsFamiliar - 1 {
		table.RecordEnd(0, request, fmt.Sprint(end), true)
		check.Equal(beliefIn(table, 0, request), Suspected)
	}
	table.RecordEnd(0, request, "last", true)
	check.Equal(beliefIn(table, 0, request), Held)
}

func TestAGoodAnswerClearsARequest(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/harmless")
	check.True(!table.Clear(0, request)) // there is no record of it
	table.RecordEnd(0, request, "a", false)
	check.True(table.Clear(0, request))
	check.Equal(beliefIn(table, 0, request), Trusted)
	table.RecordEnd(0, request, "b", false) // starts a new round, in which the request is familiar
	table.RecordEnd(0, request, "c", false)
	check.Equal(beliefIn(table, 0, request), Suspected)
	check.Equal(table.View(0).Count(0), map[State]int{Suspected: 1, Held: 0})
	check.True(table.Clear(0, request))
	check.Equal(table.View(0).Count(0), map[State]int{Suspected: 0, Held: 0})
}

func TestAHoldLapsesAndTheNextEndRenewsItForLonger(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/harmful")
	endUnder(table, request, "a", "b", "c")
	_, left := table.View(time.Second).State(time.Second, request)
	check.Equal(left, firstHold-time.Second)
	check.Equal(beliefIn(table, firstHold-1, request), Held)
	now := firstHold
	for _, held := range []time.Duration{holdTime, 2 * holdTime, 4 * holdTime} {
		check.Equal(beliefIn(table, now, request), Suspected) // the next attempt runs separately
		table.RecordEnd(now, request, fmt.Sprint(held), false)
		check.Equal(beliefIn(table, now+held-1, request), Held)
		now += held
	}
	check.Equal(beliefIn(table, now+holdMemory-1, request), Suspected)
	check.Equal(beliefIn(table, now+holdMemory, request), Trusted)
}

func TestASuspicionLapses(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/harmless")
	table.RecordEnd(0, request, "a", false)
	check.Equal(beliefIn(table, suspicionTime-1, request), Suspected)
	check.Equal(beliefIn(table, suspicionTime, request), Trusted)
	check.True(table.Sum(0) != 0)
	check.Equal(table.Sum(suspicionTime), uint64(0))
	check.True(table.Expire(suspicionTime))
	check.True(table.View(suspicionTime).Empty())
}

func TestRecordsThatCantBeTrueHoldNothing(t *testing.T) {
	check := is.New(t)
	request := signatureOf("/harmless")
	tooMany := make([]string, endLimit+1)
	for index := range tooMany {
		tooMany[index] = fmt.Sprint(index)
	}
	for _, record := range []Record{
		{},
		{Ends: []string{"a", "b"}},
		{Signature: request},
		{Signature: request, Ends: []string{"a", ""}},
		{Signature: request, Ends: []string{"a", string(make([]byte, nameLimit+1))}},
		{Signature: request, Ends: tooMany},
		{Signature: request, Ends: []string{"a", "b"}, Age: -1},
		{Signature: request, Ends: []string{"a", "b"}, Age: holdLimit + holdMemory + 1},
	} {
		table := NewTable(DefaultRules())
		news, valid := table.Merge(0, record)
		check.True(!news)
		check.True(!valid)
		check.True(table.View(0).Empty())
	}
	table := NewTable(DefaultRules())
	_, valid := table.Merge(0, Record{Signature: request, Ends: []string{"a", "a"}})
	check.True(valid)
	check.Equal(beliefIn(table, 0, request), Suspected) // one end, listed twice
	news, valid := table.Merge(0, Record{Signature: signatureOf("/old"), Ends: []string{"a"}, Age: suspicionTime})
	check.True(!news)
	check.True(valid)
}

func TestTheTableIsBoundedAndKeepsWhatIsHeld(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	held := signatureOf("/held")
	endUnder(table, held, "a", "b", "d")
	for index := range 4 * tableLimit {
		table.RecordEnd(time.Duration(index+1), signatureOf(fmt.Sprint(index)), "e", false)
	}
	check.Equal(len(table.entries), tableLimit)
	check.Equal(beliefIn(table, 4*tableLimit, held), Held)
	check.Equal(beliefIn(table, 4*tableLimit, signatureOf(fmt.Sprint(4*tableLimit-1))), Suspected)
}

// A request that ran at three ends accounts for them. Requests that ran at only one of these ends
// are trusted.
func TestARequestExplainsWhatRanBesideIt(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmful, beside, later := signatureOf("/harmful"), signatureOf("/beside"), signatureOf("/later")
	for _, request := range []Signature{harmful, beside} {
		table.RecordEnd(0, request, "a", false)
	}
	check.Equal(beliefIn(table, 0, beside), Suspected)
	for _, request := range []Signature{harmful, later} {
		table.RecordEnd(0, request, "b", false)
	}
	endUnder(table, harmful, "d")
	check.Equal(beliefIn(table, 0, harmful), Held)
	check.Equal(beliefIn(table, 0, beside), Trusted)
	check.Equal(beliefIn(table, 0, later), Trusted)
	table.RecordEnd(0, beside, "c", false) // an end at which the harmful request did not run
	check.Equal(beliefIn(table, 0, beside), Suspected)
}

// Two requests that ran at the same ends cannot be told apart until one of them is answered
// successfully or meets another end.
func TestWhatIsAtWorkAtTheSameEndsStaysOpen(t *testing.T) {
	check := is.New(t)
	settle := map[string]func(*Table, Signature, Signature){
		"an end":         func(table *Table, harmful, _ Signature) { endUnder(table, harmful, "d") },
		"a good answer":  func(table *Table, _, harmless Signature) { table.Clear(0, harmless) },
		"it is familiar": func(table *Table, _, harmless Signature) { table.MarkFamiliar(0, harmless) },
	}
	for name, settles := range settle {
		table := NewTable(DefaultRules())
		harmful, harmless := signatureOf("/harmful"), signatureOf("/harmless")
		endUnder(table, harmful, "a", "b", "c")
		endUnder(table, harmless, "a", "b", "c")
		check.Equal(beliefIn(table, 0, harmful), Suspected)
		check.Equal(beliefIn(table, 0, harmless), Suspected)
		settles(table, harmful, harmless)
		t.Log(name)
		check.Equal(beliefIn(table, 0, harmful), Held)
		check.Equal(beliefIn(table, 0, harmless), Trusted)
	}
}

// Two harmful requests are both held. A request that ran first beside one and later beside the
// other is not.
func TestTwoHarmfulRequestsExplainTheEndsOfBoth(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	one, other, between := signatureOf("/one"), signatureOf("/other"), signatureOf("/between")
	for instance, at := range map[string][]Signature{
		"a": {one, between}, "b": {one}, "c": {other, between}, "d": {other}, "e": {one, between}, "f": {other},
	} {
		for _, request := range at {
			table.RecordEnd(0, request, instance, false)
		}
	}
	check.Equal(beliefIn(table, 0, one), Held)
	check.Equal(beliefIn(table, 0, other), Held)
	check.Equal(beliefIn(table, 0, between), Trusted)
}

// Daemons that have received the same records classify requests alike, regardless of the order, the
// number of repetitions and the route of the records.
func TestNewsInAnyOrderLeadsToTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := is.New(t)
		const now = time.Second
		source := NewTable(DefaultRules())
		var told []Record
		requests := []Signature{signatureOf("/0"), signatureOf("/1"), signatureOf("/2")}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			request := rapid.SampledFrom(requests).Draw(t, "request")
			instance := fmt.Sprint(rapid.IntRange(0, 10).Draw(t, "instance"))
			// Some events are recorded by a daemon that has received no other records.
			at := source
			if rapid.Bool().Draw(t, "alone") {
				at = NewTable(DefaultRules())
			}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				at.Clear(now, request)
			case 1:
				at.MarkFamiliar(now, request)
			default:
				at.RecordEnd(now, request, instance, rapid.Bool().Draw(t, "familiar"))
			}
			told = append(told, at.Records(now)...)
		}
		tables := []*Table{NewTable(DefaultRules()), NewTable(DefaultRules())}
		for index, table := range tables {
			order := rapid.Permutation(slices.Concat(told, told)).Draw(t, fmt.Sprint("order ", index))
			for _, record := range order {
				_, valid := table.Merge(now, record)
				check.True(valid)
			}
		}
		check.Equal(tables[0].Sum(now), tables[1].Sum(now))
		for _, request := range requests {
			check.Equal(beliefIn(tables[0], now, request), beliefIn(tables[1], now, request))
		}
		for _, record := range tables[0].Records(now) {
			news, _ := tables[1].Merge(now, record)
			check.True(!news)
		}
	})
}

// Exchanging a record back and forth does not extend its lifetime.
func TestAnEchoRenewsNothing(t *testing.T) {
	check := is.New(t)
	one, other := NewTable(DefaultRules()), NewTable(DefaultRules())
	request := signatureOf("/harmful")
	one.RecordEnd(0, request, "a", false)
	for now := time.Duration(0); now < suspicionTime-time.Second; now += time.Second {
		for _, record := range one.Records(now) {
			other.Merge(now+time.Second/2, record)
		}
		for _, record := range other.Records(now + time.Second/2) {
			one.Merge(now+time.Second, record)
		}
	}
	check.Equal(beliefIn(one, suspicionTime, request), Trusted)
}

// BenchmarkView measures the classification of a full table, half of which are harmful requests.
func BenchmarkView(b *testing.B) {
	table := NewTable(DefaultRules())
	for index := range tableLimit {
		request := signatureOf(fmt.Sprint(index))
		table.RecordEnd(0, request, fmt.Sprint(index/4), false)
		if index%2 == 0 {
			endUnder(table, request, fmt.Sprint("again ", index), fmt.Sprint("once more ", index))
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		table.View(0)
	}
}

func BenchmarkSignature(b *testing.B) {
	head := Head{Method: "GET", Host: "app.example", Target: "/orders/17?full=1&page=3", Caller: "subscriber-app"}
	b.ReportAllocs()
	for b.Loop() {
		head.Sum()
	}
}

func BenchmarkSignatureOfABody(b *testing.B) {
	body := make([]byte, BodyBytes)
	b.ReportAllocs()
	b.SetBytes(BodyBytes)
	for b.Loop() {
		SumBody(body)
	}
}
