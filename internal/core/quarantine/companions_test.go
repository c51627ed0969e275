package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recordEnd records the end of an instance for all given requests at once.
func recordEnd(table *Table, instance string, requests ...Signature) {
	for _, request := range requests {
		table.RecordEnd(0, request, instance, false)
	}
}

// recordThreeHarmful records ends of one harmless and three harmful requests. Each harmful request
// has ended one back end, and the harmless one ran at all three ends.
func recordThreeHarmful(table *Table) (harmless Signature, harmful []Signature) {
	harmless = signatureOf("/harmless")
	for number := range 3 {
		request := signatureOf(fmt.Sprint("/harmful ", number))
		recordEnd(table, fmt.Sprint("shared ", number), request, harmless)
		harmful = append(harmful, request)
	}
	return harmless, harmful
}

// A harmless request that ran concurrently with several harmful ones is not held, even while the
// harmful ones do not have enough ends to be held yet.
func TestACompanionOfHarmfulRequestsIsNotHeld(t *testing.T) {
	for furtherEnds := range 4 {
		check := is.New(t)
		table := NewTable(DefaultRules())
		harmless, harmful := recordThreeHarmful(table)
		for number, request := range harmful {
			for end := range furtherEnds {
				recordEnd(table, fmt.Sprint("alone ", number, end), request)
			}
		}
		t.Log("further ends", furtherEnds)
		check.True(stateIn(table, 0, harmless) != Held)
		if furtherEnds >= 2 {
			check.Equal(stateIn(table, 0, harmless), Trusted)
			for _, request := range harmful {
				check.Equal(stateIn(table, 0, request), Held)
			}
		}
	}
}

// Guards against holding a harmless request because it ran at ends of a harmful one that exceed the
// limit of ends in a record.
func TestEndsBeyondTheLimitAreAttributed(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmful, harmless := signatureOf("/harmful"), signatureOf("/harmless")
	const count = endLimit + 4
	for number := range count {
		requests := []Signature{harmful}
		if number >= count-3 {
			requests = append(requests, harmless)
		}
		recordEnd(table, fmt.Sprintf("%02d", number), requests...)
	}
	check.Equal(stateIn(table, 0, harmful), Held)
	check.Equal(stateIn(table, 0, harmless), Trusted)
}

// Guards against holding a harmless request as soon as the harmful one that ran at the same ends is
// released by an operator or answered successfully by a fixed version.
func TestEndsStayAttributedWhenAHarmfulRequestIsCleared(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmful, harmless := signatureOf("/harmful"), signatureOf("/harmless")
	for _, instance := range []string{"a", "b", "c"} {
		recordEnd(table, instance, harmful, harmless)
	}
	recordEnd(table, "d", harmful)
	check.Equal(stateIn(table, 0, harmful), Held)
	check.True(table.Clear(0, harmful))
	check.Equal(stateIn(table, 0, harmful), Trusted)
	check.Equal(stateIn(table, 0, harmless), Trusted)
	receiver := NewTable(DefaultRules()) // a daemon that receives both records only now
	for _, record := range table.Records(0) {
		receiver.Merge(0, record)
	}
	check.Equal(stateIn(receiver, 0, harmless), Trusted)
	recordEnd(table, "e", harmful) // starts a new round
	check.Equal(stateIn(table, 0, harmful), Suspected)
	check.Equal(stateIn(table, 0, harmless), Trusted)
}

// Guards against holding a harmless request for two ends caused by a harmful one and one end with
// another cause.
func TestAnEndWithAnotherCauseDoesNotHoldARequest(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmful, harmless := signatureOf("/harmful"), signatureOf("/harmless")
	recordEnd(table, "a", harmful, harmless)
	recordEnd(table, "b", harmful, harmless)
	recordEnd(table, "c", harmless)
	check.Equal(stateIn(table, 0, harmless), Suspected)
	recordEnd(table, "d", harmful) // the evidence against both is equal
	check.Equal(stateIn(table, 0, harmless), Suspected)
	check.Equal(stateIn(table, 0, harmful), Suspected)
	recordEnd(table, "e", harmful)
	check.Equal(stateIn(table, 0, harmful), Held)
	check.Equal(stateIn(table, 0, harmless), Suspected) // because of the end without the harmful request
}

// Guards against holding a request as soon as the records of its companions expire.
func TestARequestIsNotHeldWhenCompanionsExpire(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	harmless := signatureOf("/harmless")
	for number := range 5 {
		recordEnd(table, fmt.Sprint(number), signatureOf(fmt.Sprint("/harmful ", number)), harmless)
	}
	for now := time.Duration(0); now < repeatedHold; now += suspicionTime / 2 {
		check.True(stateIn(table, now, harmless) != Held)
		table.Expire(now)
	}
}

// A request is not treated as having run alone at an end with unidentified companions.
func TestAnEndWithUnidentifiedCompanionsIsShared(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/request")
	for _, instance := range []string{"a", "b", "c"} {
		table.RecordUnidentifiedCompanions(instance)
		recordEnd(table, instance, request)
	}
	check.Equal(stateIn(table, 0, request), Suspected)
	recordEnd(table, "d", request)
	check.Equal(stateIn(table, 0, request), Held)
}

// The isolation of a request becomes stricter with each end.
func TestARequestIsIsolatedBeforeItIsHeld(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/request")
	isolation := func() Isolation { return table.View(0).Isolation(0, request) }
	check.Equal(isolation(), AlongsideTrusted)
	for end, expected := range []Isolation{AlongsideTrusted, AlonePreferred, AloneRequired} {
		recordEnd(table, fmt.Sprint(end), request, signatureOf(fmt.Sprint("/other ", end)))
		check.Equal(isolation(), expected)
		check.Equal(stateIn(table, 0, request), Suspected)
	}
	recordEnd(table, "alone", request)
	check.Equal(stateIn(table, 0, request), Held)
	check.Equal(table.View(firstHold).Isolation(firstHold, request), AloneRequired) // the hold has expired, but a further end would start a longer one
	table.Clear(0, request)
	check.Equal(isolation(), AlongsideTrusted)
}

// The number of companions per end is bounded. A request recorded beyond the bound is not treated
// as having run alone.
func TestCompanionsAreBounded(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/request")
	for number := range 2 * companionLimit {
		recordEnd(table, "a", signatureOf(fmt.Sprint(number)))
	}
	recordEnd(table, "a", request)
	record, found := table.Lookup(0, request)
	check.True(found)
	check.True(len(record.detail("a").Beside) <= companionLimit)
	check.Equal(record.detail("a").Beside[0], Companion{})
	check.True(record.valid())
}

// Guards against holding a harmless request after the failure of a rack whose back ends all ran it.
func TestSimultaneousEndsAreOneTrial(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request := signatureOf("/request")
	for _, instance := range []string{"a", "b", "c", "d"} {
		table.RecordEndInTrial(0, request, instance, false, 1)
	}
	check.Equal(table.View(0).LastTrial(request), uint32(1))
	check.Equal(stateIn(table, 0, request), Suspected)
	check.Equal(table.View(0).Isolation(0, request), AloneRequired)
	table.RecordEndInTrial(0, request, "e", false, 2) // ran alone, after the other ends
	check.Equal(stateIn(table, 0, request), Held)
	_, left := table.View(0).State(0, request)
	check.Equal(left, firstHold) // four ends of one trial do not extend the hold
}

// A request is not held for the failure of a rack and one later end at which another request ran.
func TestASharedEndAfterARackFailureDoesNotHoldARequest(t *testing.T) {
	check := is.New(t)
	table := NewTable(DefaultRules())
	request, other := signatureOf("/request"), signatureOf("/other")
	for _, instance := range []string{"a", "b"} {
		table.RecordEndInTrial(0, request, instance, false, 1)
	}
	table.RecordEndInTrial(0, request, "c", false, 2)
	table.RecordEndInTrial(0, other, "c", false, 1)
	check.Equal(stateIn(table, 0, request), Suspected)
	table.RecordEndInTrial(0, request, "d", false, 3)
	check.Equal(stateIn(table, 0, request), Held)
}

// A new trial gets a number above all earlier ones, even if the trials of some earlier ends are
// unknown.
func TestNewTrialsAreNumberedAboveAllEarlierOnes(t *testing.T) {
	check := is.New(t)
	request := signatureOf("/request")
	table := NewTable(DefaultRules())
	_, valid := table.Merge(0, Record{Signature: request, Ends: []string{"a", "b"}, Details: []EndDetail{{Instance: "a", Trial: 3}}})
	check.True(valid)
	check.Equal(table.View(0).LastTrial(request), uint32(4))
	check.True(table.RecordEnd(0, request, "c", false))
	record, _ := table.Lookup(0, request)
	check.Equal(record.countTrials(record.Ends), 3)
	absurd := Record{Signature: request, Ends: []string{"a"}, Details: []EndDetail{{Instance: "a", Trial: trialLimit + 1}}}
	_, valid = table.Merge(0, absurd)
	check.True(!valid)
}
