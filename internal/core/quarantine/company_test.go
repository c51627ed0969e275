package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endOf has an instance end under some requests at once.
func endOf(table *Table, instance string, requests ...Signature) {
	for _, request := range requests {
		table.RecordEnd(0, request, instance, false)
	}
}

// threeHarmful are a harmless request and three harmful ones, each of which ended one back end
// while the harmless one was at work there too.
func threeHarmful(table *Table) (harmless Signature, harmful []Signature) {
	harmless = signatureOf("/harmless")
	for number := range 3 {
		one := signatureOf(fmt.Sprint("/harmful ", number))
		endOf(table, fmt.Sprint("shared ", number), one, harmless)
		harmful = append(harmful, one)
	}
	return harmless, harmful
}

// Guards against a harmless request that is held since it was at work beside several harmful
// ones, each of which has ended too few back ends yet to be found.
func TestARequestThatOnlyRanBesideOthersIsNotHeld(t *testing.T) {
	for more := range 4 {
		check := is.New(t)
		table := NewTable(DefaultRules())
		harmless, harmful := threeHarmful(table)
		for number, one := range harmful {
			for end := range more {
				endOf(table, fmt.Sprint("alone ", number, end), one)
			}
		}
		t.Log("ends more", more)
		check.True(beliefIn(table, 0, harmless) != Held)
		if more >= 2 {
			check.Equal(beliefIn(table, 0, harmless), Trusted)
			for _, one := range harmful {
				check.Equal(beliefIn(table, 0, one), Held)
			}
		}
	}
}

// Guards against a harmless request that is held since the harmful one beside it has ended more
// back ends than a record names.
func TestEndsPastTheLimitAreExplainedToo(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmful, harmless := signatureOf("/harmful"), signatureOf("/harmless")
	const count = endLimit + 4
	for number := range count {
		requests := []Signature{harmful}
		if number >= count-3 {
			requests = append(requests, harmless)
		}
		endOf(table, fmt.Sprintf("%02d", number), requests...)
	}
	check.Equal(beliefIn(table, 0, harmful), Held)
	check.Equal(beliefIn(table, 0, harmless), Trusted)
}

// Guards against a harmless request that is held from the moment at which the harmful one beside
// it is released, or is answered well by a version in which it was mended.
func TestEndsStayExplainedWhenAHarmfulRequestIsCleared(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmful, harmless := signatureOf("/harmful"), signatureOf("/harmless")
	for _, instance := range []string{"a", "b", "c"} {
		endOf(table, instance, harmful, harmless)
	}
	endOf(table, "d", harmful)
	check.Equal(beliefIn(table, 0, harmful), Held)
	check.True(table.Clear(0, harmful))
	check.Equal(beliefIn(table, 0, harmful), Trusted)
	check.Equal(beliefIn(table, 0, harmless), Trusted)
	told := NewTable(DefaultRules()) // a daemon that hears of both only now
	for _, record := range table.Records(0) {
		told.Merge(0, record)
	}
	check.Equal(beliefIn(told, 0, harmless), Trusted)
	endOf(table, "e", harmful) // a new round
	check.Equal(beliefIn(table, 0, harmful), Suspected)
	check.Equal(beliefIn(table, 0, harmless), Trusted)
}

// Guards against a harmless request that is held for two ends of a harmful one and one of
// another cause.
func TestOneEndOfAnotherCauseHoldsNothing(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmful, harmless := signatureOf("/harmful"), signatureOf("/harmless")
	endOf(table, "a", harmful, harmless)
	endOf(table, "b", harmful, harmless)
	endOf(table, "c", harmless)
	check.Equal(beliefIn(table, 0, harmless), Suspected)
	endOf(table, "d", harmful) // as much speaks against either
	check.Equal(beliefIn(table, 0, harmless), Suspected)
	check.Equal(beliefIn(table, 0, harmful), Suspected)
	endOf(table, "e", harmful)
	check.Equal(beliefIn(table, 0, harmful), Held)
	check.Equal(beliefIn(table, 0, harmless), Suspected) // for the one end that is left
}

// Guards against a request that is held once those beside it are forgotten.
func TestARequestIsNotHeldWhenOthersLapse(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmless := signatureOf("/harmless")
	for number := range 5 {
		endOf(table, fmt.Sprint(number), signatureOf(fmt.Sprint("/harmful ", number)), harmless)
	}
	for now := time.Duration(0); now < holdTime; now += suspicionTime / 2 {
		check.True(beliefIn(table, now, harmless) != Held)
		table.Expire(now)
	}
}

// An end at which requests were at work that are not known yet is of none of the others alone.
func TestAnEndBesideUnknownRequestsIsNotAlone(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/request")
	for _, instance := range []string{"a", "b", "c"} {
		table.RecordUnidentified(instance)
		endOf(table, instance, request)
	}
	check.Equal(beliefIn(table, 0, request), Suspected)
	endOf(table, "d", request)
	check.Equal(beliefIn(table, 0, request), Held)
}

// A request runs apart the more strictly the more ends speak against it.
func TestARequestIsIsolatedBeforeItIsHeld(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/request")
	isolation := func() Isolation { return table.View(0).Isolation(0, request) }
	check.Equal(isolation(), AlongsideTrusted)
	for end, expected := range []Isolation{AlongsideTrusted, AlonePreferred, AloneRequired} {
		endOf(table, fmt.Sprint(end), request, signatureOf(fmt.Sprint("/other ", end)))
		check.Equal(isolation(), expected)
		check.Equal(beliefIn(table, 0, request), Suspected)
	}
	endOf(table, "alone", request)
	check.Equal(beliefIn(table, 0, request), Held)
	check.Equal(table.View(firstHold).Isolation(firstHold, request), AloneRequired) // it may have to be held longer
	table.Clear(0, request)
	check.Equal(isolation(), AlongsideTrusted)
}

// What was at work at an end beside others is bounded, and one that was past the bound is not
// taken for a request that was at work alone.
func TestCompanyIsBounded(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/request")
	for number := range 2 * companionLimit {
		endOf(table, "a", signatureOf(fmt.Sprint(number)))
	}
	endOf(table, "a", request)
	record, found := table.Lookup(0, request)
	check.True(found)
	check.True(len(record.detail("a").Beside) <= companionLimit)
	check.Equal(record.detail("a").Beside[0], Companion{})
	check.True(record.valid())
}

// Guards against a harmless request that is held since a rack failed whose back ends all ran it.
func TestEndsOfOneMomentAreOneTrial(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/request")
	for _, instance := range []string{"a", "b", "c", "d"} {
		table.RecordEndInTrial(0, request, instance, false, 1)
	}
	check.Equal(table.View(0).LastTrial(request), uint32(1))
	check.Equal(beliefIn(table, 0, request), Suspected)
	check.Equal(table.View(0).Isolation(0, request), AloneRequired)
	table.RecordEndInTrial(0, request, "e", false, 2) // alone, after the others
	check.Equal(beliefIn(table, 0, request), Held)
	_, left := table.View(0).State(0, request)
	check.Equal(left, firstHold) // four ends of one moment hold it no longer
}

// A rack that fails and another end beside others hold nothing either.
func TestAnEndBesideOthersAfterARackFailedHoldsNothing(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request, other := signatureOf("/request"), signatureOf("/other")
	for _, instance := range []string{"a", "b"} {
		table.RecordEndInTrial(0, request, instance, false, 1)
	}
	table.RecordEndInTrial(0, request, "c", false, 2)
	table.RecordEndInTrial(0, other, "c", false, 1)
	check.Equal(beliefIn(table, 0, request), Suspected)
	table.RecordEndInTrial(0, request, "d", false, 3)
	check.Equal(beliefIn(table, 0, request), Held)
}

// A trial is never counted as one that was there, whatever of the earlier ones is not known.
func TestTrialsAreNumberedPastAllThatAreKnown(t *testing.T) {
	check := is.New(t)
	request := signatureOf("/request")
	table := NewTable(DefaultRules())
	_, valid := table.Merge(0, Record{Signature: request, Ends: []string{"a", "b"}, Details: []EndDetail{{Instance: "a", Trial: 3}}})
	check.True(valid)
	check.Equal(table.View(0).LastTrial(request), uint32(4))
	check.True(table.RecordEnd(0, request, "c", false))
	record, _ := table.Lookup(0, request)
	check.Equal(record.trials(record.Ends), 3)
	absurd := Record{Signature: request, Ends: []string{"a"}, Details: []EndDetail{{Instance: "a", Trial: trialLimit + 1}}}
	_, valid = table.Merge(0, absurd)
	check.True(!valid)
}
