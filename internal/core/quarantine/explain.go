package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// judgement is what follows from all records for one request.
type judgement struct {
	// suspectedUntil and heldUntil are until when the request is suspected, and held, on the
	// own clock; not after 0 for never.
	suspectedUntil time.Duration
	heldUntil      time.Duration
	// unexplained counts its ends that no harmful request explains, needed how many hold it.
	unexplained int
	needed      int
	// lastTrial is the newest trial that met an end, unless the request was cleared.
	lastTrial uint32
}

// belief is what follows at a time.
func (j judgement) belief(now time.Duration) State {
	switch {
	case now < j.heldUntil:
		return Held
	case now < j.suspectedUntil:
		return Suspected
	}
	return Trusted
}

// isolation is how a request that may run has to be kept apart.
func (j judgement) isolation() Isolation {
	switch {
	case j.needed == 0 || j.unexplained < j.needed-1:
		return AlongsideTrusted
	case j.unexplained < j.needed:
		return AlonePreferred
	}
	return AloneRequired
}

// candidate is a request that may have ended back ends, while ends are being explained.
type candidate struct {
	*entry
	// open are its ends that no harmful request explains yet.
	open []string
}

// judge explains the ends by as few requests as possible (a greedy cover): the one that was
// at work at the most of them, if that is enough, is harmful, and what else was at work there
// only ran beside it. Where two were at work at just the same ends, neither can be told from
// the other, and both stay suspected. So does one that was never at work alone: each of its
// ends may be of one of those beside it. They run apart, so that a good answer or the next
// end settles it. Every daemon that has heard the same comes to the same.
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

// companionFacts are what is known now of requests that were at work beside others, by the
// short form of their signatures.
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

// explains tells whether a companion was found harmful in the round in which it was at work:
// an end stays explained after the record of the request was cleared.
func (f companionFacts) explains(one Companion) bool {
	known := f[one.Key]
	return known != nil && known.record.Proven > one.Round
}

// excuses tells whether a companion did not end the back end: it was answered well since, or
// it was answered well before and the request beside it was not. Nothing excuses one that is
// not known any more.
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

// candidates are the requests that count and were not cleared, in order of their signatures.
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

// dropExplained drops the ends that a harmful request explains.
func (c *candidate) dropExplained(harmful *candidate) {
	key := harmful.record.Signature.Key()
	c.open = slices.DeleteFunc(c.open, func(end string) bool {
		return slices.Contains(harmful.record.Ends, end) ||
			slices.ContainsFunc(c.record.detail(end).Beside, func(one Companion) bool { return one.Key == key })
	})
}

// isHarmful tells whether enough ends are open for a candidate, and no other one may have
// ended the same back ends.
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

// isProven tells whether an open end speaks for itself: of a run that had the back end to itself
// in a later trial, or, after enough trials, one at which nothing else may have ended it.
func (t *Table) isProven(one *candidate, facts companionFacts) bool {
	if one.ranIsolated() {
		return true
	}
	enough := t.rules.IgnoresTrials || one.trials() >= t.rules.endsNeeded(&one.record)
	return enough && one.wasAlone(facts)
}

// trials counts the trials that met open ends.
func (c *candidate) trials() int { return c.record.trials(c.open) }

// ranIsolated tells whether a run met an open end with nothing beside it, after an earlier trial
// had met one: that is no part of a moment at which several back ends ended of one cause.
func (c *candidate) ranIsolated() bool {
	return slices.ContainsFunc(c.open, func(end string) bool {
		detail := c.record.detail(end)
		return detail.Trial > 1 && len(detail.Beside) == 0
	})
}

// covers tells whether a candidate explains all that another one does but for some ends. One
// that was answered well before explains nothing that one does which was not.
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

// wasAlone tells whether the request was at work at an open end at which nothing else may have
// ended the back end.
func (c *candidate) wasAlone(facts companionFacts) bool {
	return slices.ContainsFunc(c.open, func(end string) bool { return c.suspectsBeside(end, facts) == 0 })
}

// suspectsBeside counts what else may have ended a back end.
func (c *candidate) suspectsBeside(end string, facts companionFacts) int {
	count := 0
	for _, one := range c.record.detail(end).Beside {
		if !facts.excuses(one, c.entry) {
			count++
		}
	}
	return count
}

// share is the number of open ends, each divided among those that may have brought it about.
func (c *candidate) share(facts companionFacts) float64 {
	sum := 0.0
	for _, end := range c.open {
		sum += 1 / float64(1+c.suspectsBeside(end, facts))
	}
	return sum
}

// hasRival tells whether another candidate was at work at all open ends but one, which may be of
// any other cause. One that has been at an end which a harmful request explains is known to run
// beside others.
func (c *candidate) hasRival(all []*candidate) bool {
	return slices.ContainsFunc(all, func(other *candidate) bool {
		ranBeside := len(other.open) < len(other.record.Ends)
		return other != c && !ranBeside && other.covers(c, 1)
	})
}

// whenHarmful is the judgement of a harmful request.
func (e *entry) whenHarmful() judgement {
	held := e.endedAt + e.rules.holdTime(&e.record)
	needed := e.rules.endsNeeded(&e.record)
	return judgement{heldUntil: held, suspectedUntil: held + holdMemory, unexplained: len(e.record.Ends), needed: needed}
}

// whenSuspected is the judgement of a request that is not held.
func (c *candidate) whenSuspected() judgement {
	return judgement{
		suspectedUntil: c.endedAt + suspicionTime,
		unexplained:    len(c.open), needed: c.rules.endsNeeded(&c.record),
	}
}
