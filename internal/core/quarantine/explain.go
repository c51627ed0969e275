package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// judgement is the classification of one request that results from all records.
type judgement struct {
	// The request is suspected before suspectedUntil and held before heldUntil, on this daemon's
	// clock. A value of 0 or less means never.
	suspectedUntil time.Duration
	heldUntil      time.Duration
	// unexplained is the number of ends that are not attributed to a harmful request, needed the
	// number from which the request is held.
	unexplained int
	needed      int
	// lastTrial is the number of the latest trial that met an end; 0 if the request was cleared.
	lastTrial uint32
}

// belief returns the classification at a given time.
func (j judgement) belief(now time.Duration) State {
	switch {
	case now < j.heldUntil:
		return Held
	case now < j.suspectedUntil:
		return Suspected
	}
	return Trusted
}

// isolation returns how the request must be isolated if it may run.
func (j judgement) isolation() Isolation {
	switch {
	case j.needed == 0 || j.unexplained < j.needed-1:
		return AlongsideTrusted
	case j.unexplained < j.needed:
		return AlonePreferred
	}
	return AloneRequired
}

// candidate is a request that may have caused ends and is not classified yet.
type candidate struct {
	*entry
	// open holds the ends that are not attributed to a harmful request yet.
	open []string
}

// judge classifies all requests by attributing the ends to as few of them as possible (a greedy set
// cover): the request that ran at the most open ends is harmful if these are enough, and the other
// requests at these ends are taken to have only run concurrently. If two requests ran at exactly
// the same ends, they cannot be told apart, and both stay suspected. A request that never ran alone
// also stays suspected, since each of its ends may be due to another request. Suspected requests
// run separately, so the next successful answer or end resolves the case. Daemons with the same
// records arrive at the same result.
func (t *Table) judge(now time.Duration) map[Signature]judgement {
	facts := t.companions(now)
	candidates := t.candidates(now, facts)
	judged := make(map[Signature]judgement, len(candidates))
	for len(candidates) > 0 {
		slices.SortStableFunc(candidates, func(a, b *candidate) int { return cmp.Compare(len(b.open), len(a.open)) })
		at := slices.IndexFunc(candidates, func(one *candidate) bool { return t.isHarmful(one, candidates, facts) })
		if at < 0 {
			break
		}
		harmful := candidates[at]
		judged[harmful.record.Signature] = harmful.whenHarmful()
		candidates = slices.Delete(candidates, at, at+1)
		if !t.rules.EachByItself {
			for _, one := range candidates {
				one.dropExplained(harmful)
			}
		}
	}
	for _, one := range candidates {
		if len(one.open) > 0 {
			judged[one.record.Signature] = one.whenSuspected()
		}
	}
	return judged
}

// companionFacts maps the keys of signatures to the valid entries of their requests, for the
// evaluation of companions.
type companionFacts map[uint64]*entry

func (t *Table) companions(now time.Duration) companionFacts {
	facts := make(companionFacts, len(t.entries))
	for signature, one := range t.entries {
		if !one.expired(now) {
			facts[signature.Key()] = one
		}
	}
	return facts
}

// explains reports whether a companion was found harmful in the round in which it ran at an end. It
// remains the cause of that end after its record was cleared.
func (f companionFacts) explains(one Companion) bool {
	known := f[one.Key]
	return known != nil && known.record.Proven > one.Round
}

// excuses reports whether a companion cannot have caused an end: it was answered successfully since
// then, or it was answered successfully before and the request beside it was not. A companion
// without a valid record is never excused.
func (f companionFacts) excuses(one Companion, beside *entry) bool {
	known := f[one.Key]
	if known == nil {
		return false
	}
	if known.record.Round > one.Round || known.record.Cleared {
		return true
	}
	return known.record.Familiar && !beside.record.Familiar
}

// candidates returns the valid records that were not cleared, in order of their signatures.
func (t *Table) candidates(now time.Duration, facts companionFacts) []*candidate {
	var found []*candidate
	for _, one := range t.entries {
		if one.record.Cleared || one.expired(now) {
			continue
		}
		open := slices.DeleteFunc(slices.Clone(one.record.Ends), func(end string) bool {
			return !t.rules.IgnoresCompany && slices.ContainsFunc(one.record.detail(end).Beside, facts.explains)
		})
		found = append(found, &candidate{entry: one, open: open})
	}
	slices.SortFunc(found, func(a, b *candidate) int { return compareSignatures(a.record.Signature, b.record.Signature) })
	return found
}

// dropExplained removes the open ends that are attributed to a harmful request.
func (c *candidate) dropExplained(harmful *candidate) {
	key := harmful.record.Signature.Key()
	c.open = slices.DeleteFunc(c.open, func(end string) bool {
		return slices.Contains(harmful.record.Ends, end) ||
			slices.ContainsFunc(c.record.detail(end).Beside, func(one Companion) bool { return one.Key == key })
	})
}

// isHarmful reports whether a candidate has enough open ends and no other candidate may have caused
// the same ones.
func (t *Table) isHarmful(one *candidate, all []*candidate, facts companionFacts) bool {
	needed := t.rules.endsNeeded(&one.record)
	if len(one.open) < needed {
		return false
	}
	if t.rules.EachByItself {
		return true
	}
	if slices.ContainsFunc(all, func(other *candidate) bool { return other != one && other.covers(one, 0) }) {
		return false
	}
	if t.rules.IgnoresCompany {
		return true
	}
	if t.rules.LeastShare > 0 {
		return one.share(facts) >= t.rules.LeastShare
	}
	return t.isProven(one, facts) && (len(one.open) > needed || !one.hasRival(all))
}

// isProven reports whether at least one open end can only be due to this candidate: either it ran
// alone at that end in a later trial, or it has enough trials and every companion at that end is
// excused.
func (t *Table) isProven(one *candidate, facts companionFacts) bool {
	if one.ranIsolated() {
		return true
	}
	enough := t.rules.IgnoresTrials || one.trials() >= t.rules.endsNeeded(&one.record)
	return enough && one.wasAlone(facts)
}

// trials returns the number of distinct trials that met open ends.
func (c *candidate) trials() int { return c.record.trials(c.open) }

// ranIsolated reports whether the candidate ran alone at an open end after an earlier trial had met
// one. Such an end is not part of a single failure that ended several back ends at once.
func (c *candidate) ranIsolated() bool {
	return slices.ContainsFunc(c.open, func(end string) bool {
		detail := c.record.detail(end)
		return detail.Trial > 1 && len(detail.Beside) == 0
	})
}

// covers reports whether the candidate ran at all open ends of another one, except for at most the
// given number. A request that was answered successfully before cannot account for the ends of one
// that was not.
func (c *candidate) covers(other *candidate, but int) bool {
	if c.record.Familiar && !other.record.Familiar {
		return false
	}
	missing := 0
	for _, end := range other.open {
		if !slices.Contains(c.open, end) {
			missing++
		}
	}
	return missing <= but
}

// wasAlone reports whether the candidate has an open end that no other request may have caused.
func (c *candidate) wasAlone(facts companionFacts) bool {
	return slices.ContainsFunc(c.open, func(end string) bool { return c.suspectsBeside(end, facts) == 0 })
}

// suspectsBeside returns the number of companions that may have caused an end.
func (c *candidate) suspectsBeside(end string, facts companionFacts) int {
	count := 0
	for _, one := range c.record.detail(end).Beside {
		if !facts.excuses(one, c.entry) {
			count++
		}
	}
	return count
}

// share returns the sum of the open ends, each divided by the number of requests that may have
// caused it.
func (c *candidate) share(facts companionFacts) float64 {
	sum := 0.0
	for _, end := range c.open {
		sum += 1 / float64(1+c.suspectsBeside(end, facts))
	}
	return sum
}

// hasRival reports whether another candidate ran at all open ends but one, which may have a
// separate cause. A candidate that ran at an end attributed to a harmful request is no rival: it is
// known to run concurrently with harmful requests.
func (c *candidate) hasRival(all []*candidate) bool {
	return slices.ContainsFunc(all, func(other *candidate) bool {
		ranBeside := len(other.open) < len(other.record.Ends)
		return other != c && !ranBeside && other.covers(c, 1)
	})
}

// whenHarmful returns the judgement of a harmful request.
func (e *entry) whenHarmful() judgement {
	held := e.endedAt + e.rules.holdTime(&e.record)
	needed := e.rules.endsNeeded(&e.record)
	return judgement{heldUntil: held, suspectedUntil: held + holdMemory, unexplained: len(e.record.Ends), needed: needed}
}

// whenSuspected returns the judgement of a suspected request.
func (c *candidate) whenSuspected() judgement {
	return judgement{
		suspectedUntil: c.endedAt + suspicionTime,
		unexplained:    len(c.open), needed: c.rules.endsNeeded(&c.record),
	}
}
