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

// recordEnds records the ends of some instances for one request.
func recordEnds(table *Table, request Signature, instances ...string) {
	for _, instance := range instances {
		table.RecordEnd(0, request, instance, false)
	}
}

func stateIn(table *Table, now time.Duration, signature Signature) State {
	state, _ := table.View(now).State(now, signature)
	return state
}

func TestSignatureIdentifiesTheContentOfARequest(t *testing.T) {
	check := is.New(t)
	head := Head{Method: "GET", Host: "a.example", Target: "/x?y=1", Caller: "app"}
	others := []Head{
		{Method: "PUT", Host: "a.example", Target: "/x?y=1", Caller: "app"},
		{Method: "GET", Host: "b.example", Target: "/x?y=1", Caller: "app"},
		{Method: "GET", Host: "a.example", Target: "/x?y=2", Caller: "app"},
		{Method: "GET", Host: "a.example", Target: "/x?y=1", Caller: "other"},
		{Method: "GET", Host: "a.example/x?y=1", Target: "", Caller: "app"},
	}
	check.Equal(head.Sum(), head.Sum())
	for _, other := range others {
		check.True(head.Sum() != other.Sum())
	}
	check.Equal(SumBody(nil), Hash{})
	check.True(SumBody([]byte("x")) != SumBody([]byte("y")))
	longBody := make([]byte, BodyBytes+1)
	check.Equal(SumBody(longBody), SumBody(longBody[:BodyBytes])) // bytes beyond the limit are ignored
}

func TestARequestIsHeldAfterEnoughEnds(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmful := signatureOf("/harmful")
	check.Equal(stateIn(table, 0, harmful), Trusted)
	check.True(table.RecordEnd(0, harmful, "a", false))
	check.Equal(stateIn(table, 0, harmful), Suspected)
	check.True(!table.RecordEnd(0, harmful, "a", false)) // the same end, reported again
	check.Equal(stateIn(table, 0, harmful), Suspected)
	check.True(table.RecordEnd(0, harmful, "b", false))
	check.Equal(stateIn(table, 0, harmful), Suspected)
	check.True(table.RecordEnd(0, harmful, "c", false))
	check.Equal(stateIn(table, 0, harmful), Held)
	check.Equal(stateIn(table, 0, signatureOf("/other")), Trusted)
}

func TestAFamiliarRequestNeedsMoreEndsToBeHeld(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/often")
	for end := range DefaultRules().EndsFamiliar - 1 {
		table.RecordEnd(0, request, fmt.Sprint(end), true)
		check.Equal(stateIn(table, 0, request), Suspected)
	}
	table.RecordEnd(0, request, "last", true)
	check.Equal(stateIn(table, 0, request), Held)
}

func TestAGoodAnswerClearsARequest(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/harmless")
	check.True(!table.Clear(0, request)) // there is no record of it
	table.RecordEnd(0, request, "a", false)
	check.True(table.Clear(0, request))
	check.Equal(stateIn(table, 0, request), Trusted)
	table.RecordEnd(0, request, "b", false) // starts a new round, in which the request is familiar
	table.RecordEnd(0, request, "c", false)
	check.Equal(stateIn(table, 0, request), Suspected)
	check.Equal(table.View(0).Count(0), map[State]int{Suspected: 1, Held: 0})
	check.True(table.Clear(0, request))
	check.Equal(table.View(0).Count(0), map[State]int{Suspected: 0, Held: 0})
}

func TestEachEndAfterAHoldStartsALongerHold(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/harmful")
	recordEnds(table, request, "a", "b", "c")
	_, left := table.View(time.Second).State(time.Second, request)
	check.Equal(left, firstHold-time.Second)
	check.Equal(stateIn(table, firstHold-1, request), Held)
	now := firstHold
	for _, hold := range []time.Duration{repeatedHold, 2 * repeatedHold, 4 * repeatedHold} {
		check.Equal(stateIn(table, now, request), Suspected) // the next attempt runs separately
		table.RecordEnd(now, request, fmt.Sprint(hold), false)
		check.Equal(stateIn(table, now+hold-1, request), Held)
		now += hold
	}
	check.Equal(stateIn(table, now+suspicionAfterHold-1, request), Suspected)
	check.Equal(stateIn(table, now+suspicionAfterHold, request), Trusted)
}

func TestASuspicionExpires(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/harmless")
	table.RecordEnd(0, request, "a", false)
	check.Equal(stateIn(table, suspicionTime-1, request), Suspected)
	check.Equal(stateIn(table, suspicionTime, request), Trusted)
	check.True(table.Sum(0) != 0)
	check.Equal(table.Sum(suspicionTime), uint64(0))
	check.True(table.Expire(suspicionTime))
	check.True(table.View(suspicionTime).Empty())
}

func TestInvalidRecordsAreRejected(t *testing.T) {
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
		{Signature: request, Ends: []string{"a", "b"}, Age: holdLimit + suspicionAfterHold + 1},
	} {
		table := NewTable(DefaultRules())
		changed, valid := table.Merge(0, record)
		check.True(!changed)
		check.True(!valid)
		check.True(table.View(0).Empty())
	}
	table := NewTable(DefaultRules())
	_, valid := table.Merge(0, Record{Signature: request, Ends: []string{"a", "a"}})
	check.True(valid)
	check.Equal(stateIn(table, 0, request), Suspected) // one end, listed twice
	changed, valid := table.Merge(0, Record{Signature: signatureOf("/old"), Ends: []string{"a"}, Age: suspicionTime})
	check.True(!changed)
	check.True(valid)
}

func TestTheTableIsBoundedAndKeepsHeldRequests(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	held := signatureOf("/held")
	recordEnds(table, held, "a", "b", "d")
	for index := range 4 * tableLimit {
		table.RecordEnd(time.Duration(index+1), signatureOf(fmt.Sprint(index)), "e", false)
	}
	check.Equal(len(table.entries), tableLimit)
	check.Equal(stateIn(table, 4*tableLimit, held), Held)
	check.Equal(stateIn(table, 4*tableLimit, signatureOf(fmt.Sprint(4*tableLimit-1))), Suspected)
}

// A request that ran at three ends accounts for them. Requests that ran at only one of these ends
// are trusted.
func TestCompanionsOfAHarmfulRequestAreTrusted(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmful, companion, laterCompanion := signatureOf("/harmful"), signatureOf("/beside"), signatureOf("/later")
	for _, request := range []Signature{harmful, companion} {
		table.RecordEnd(0, request, "a", false)
	}
	check.Equal(stateIn(table, 0, companion), Suspected)
	for _, request := range []Signature{harmful, laterCompanion} {
		table.RecordEnd(0, request, "b", false)
	}
	recordEnds(table, harmful, "d")
	check.Equal(stateIn(table, 0, harmful), Held)
	check.Equal(stateIn(table, 0, companion), Trusted)
	check.Equal(stateIn(table, 0, laterCompanion), Trusted)
	table.RecordEnd(0, companion, "c", false) // an end at which the harmful request did not run
	check.Equal(stateIn(table, 0, companion), Suspected)
}

// Two requests that ran at the same ends cannot be told apart until one of them is answered
// successfully or meets another end.
func TestRequestsWithTheSameEndsStaySuspected(t *testing.T) {
	check := is.New(t)
	resolutions := map[string]func(*Table, Signature, Signature){
		"an end":         func(table *Table, harmful, _ Signature) { recordEnds(table, harmful, "d") },
		"a good answer":  func(table *Table, _, harmless Signature) { table.Clear(0, harmless) },
		"it is familiar": func(table *Table, _, harmless Signature) { table.MarkFamiliar(0, harmless) },
	}
	for name, resolve := range resolutions {
		table := NewTable(DefaultRules())
		harmful, harmless := signatureOf("/harmful"), signatureOf("/harmless")
		recordEnds(table, harmful, "a", "b", "c")
		recordEnds(table, harmless, "a", "b", "c")
		check.Equal(stateIn(table, 0, harmful), Suspected)
		check.Equal(stateIn(table, 0, harmless), Suspected)
		resolve(table, harmful, harmless)
		t.Log(name)
		check.Equal(stateIn(table, 0, harmful), Held)
		check.Equal(stateIn(table, 0, harmless), Trusted)
	}
}

// Two harmful requests are both held. A harmless request that ran first with one of them and later
// with the other is not held.
func TestTwoHarmfulRequestsAccountForTheEndsOfBoth(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	first, second, companion := signatureOf("/one"), signatureOf("/other"), signatureOf("/between")
	for instance, requests := range map[string][]Signature{
		"a": {first, companion}, "b": {first}, "c": {second, companion}, "d": {second}, "e": {first, companion}, "f": {second},
	} {
		for _, request := range requests {
			table.RecordEnd(0, request, instance, false)
		}
	}
	check.Equal(stateIn(table, 0, first), Held)
	check.Equal(stateIn(table, 0, second), Held)
	check.Equal(stateIn(table, 0, companion), Trusted)
}

// Daemons that have received the same records classify requests alike, regardless of the order, the
// number of repetitions and the route of the records.
func TestRecordsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := is.New(t)
		const now = time.Second
		source := NewTable(DefaultRules())
		var records []Record
		requests := []Signature{signatureOf("/0"), signatureOf("/1"), signatureOf("/2")}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			request := rapid.SampledFrom(requests).Draw(t, "request")
			instance := fmt.Sprint(rapid.IntRange(0, 10).Draw(t, "instance"))
			// Some events are recorded by a daemon that has received no other records.
			recorder := source
			if rapid.Bool().Draw(t, "alone") {
				recorder = NewTable(DefaultRules())
			}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				recorder.Clear(now, request)
			case 1:
				recorder.MarkFamiliar(now, request)
			default:
				recorder.RecordEnd(now, request, instance, rapid.Bool().Draw(t, "familiar"))
			}
			records = append(records, recorder.Records(now)...)
		}
		tables := []*Table{NewTable(DefaultRules()), NewTable(DefaultRules())}
		for index, table := range tables {
			order := rapid.Permutation(slices.Concat(records, records)).Draw(t, fmt.Sprint("order ", index))
			for _, record := range order {
				_, valid := table.Merge(now, record)
				check.True(valid)
			}
		}
		check.Equal(tables[0].Sum(now), tables[1].Sum(now))
		for _, request := range requests {
			check.Equal(stateIn(tables[0], now, request), stateIn(tables[1], now, request))
		}
		for _, record := range tables[0].Records(now) {
			changed, _ := tables[1].Merge(now, record)
			check.True(!changed)
		}
	})
}

// Exchanging a record back and forth does not extend its lifetime.
func TestExchangedRecordsAreNotRenewed(t *testing.T) {
	check := is.New(t)
	first, second := NewTable(DefaultRules()), NewTable(DefaultRules())
	request := signatureOf("/harmful")
	first.RecordEnd(0, request, "a", false)
	for now := time.Duration(0); now < suspicionTime-time.Second; now += time.Second {
		for _, record := range first.Records(now) {
			second.Merge(now+time.Second/2, record)
		}
		for _, record := range second.Records(now + time.Second/2) {
			first.Merge(now+time.Second, record)
		}
	}
	check.Equal(stateIn(first, suspicionTime, request), Trusted)
}

// BenchmarkView measures the classification of a full table, half of which are harmful requests.
func BenchmarkView(b *testing.B) {
	table := NewTable(DefaultRules())
	for index := range tableLimit {
		request := signatureOf(fmt.Sprint(index))
		table.RecordEnd(0, request, fmt.Sprint(index/4), false)
		if index%2 == 0 {
			recordEnds(table, request, fmt.Sprint("again ", index), fmt.Sprint("once more ", index))
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
