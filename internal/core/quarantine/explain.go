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
}

// belief is what follows at a time.
func (j judgement) belief(now time.Duration) Belief {
	switch {
	case now < j.heldUntil:
		return Held
	case now < j.suspectedUntil:
		return Suspected
	}
	return Trusted
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
// the other, and both stay suspected: they run apart, so that a good answer or the next
// end settles it. Every daemon that has heard the same comes to the same.
func (t *Table) judge(now time.Duration) map[Signature]judgement {
	candidates := t.candidates(now)
	judged := make(map[Signature]judgement, len(candidates))
	explained := map[string]bool{}
	for len(candidates) > 0 {
		for _, one := range candidates {
			one.open = slices.DeleteFunc(one.open, func(end string) bool { return explained[end] })
		}
		slices.SortStableFunc(candidates, func(a, b *candidate) int { return cmp.Compare(len(b.open), len(a.open)) })
		at := slices.IndexFunc(candidates, func(one *candidate) bool { return t.isHarmful(one, candidates) })
		if at < 0 {
			break
		}
		harmful := candidates[at]
		judged[harmful.record.Signature] = harmful.whenHarmful()
		candidates = slices.Delete(candidates, at, at+1)
		if !t.rules.EachByItself {
			for _, end := range harmful.record.Ends {
				explained[end] = true
			}
		}
	}
	for _, one := range candidates {
		if len(one.open) > 0 {
			judged[one.record.Signature] = judgement{suspectedUntil: one.endedAt + suspicionTime}
		}
	}
	return judged
}

// candidates are the requests that count and were not cleared, in order of their signatures.
func (t *Table) candidates(now time.Duration) []*candidate {
	var found []*candidate
	for _, one := range t.entries {
		if !one.record.Cleared && !one.expired(now) {
			found = append(found, &candidate{entry: one, open: slices.Clone(one.record.Ends)})
		}
	}
	slices.SortFunc(found, func(a, b *candidate) int { return compareSignatures(a.record.Signature, b.record.Signature) })
	return found
}

// isHarmful tells whether enough ends are open for a candidate, and no other one was at work
// at all of them.
func (t *Table) isHarmful(one *candidate, all []*candidate) bool {
	if len(one.open) < t.rules.endsNeeded(&one.record) {
		return false
	}
	return t.rules.EachByItself || !slices.ContainsFunc(all, func(other *candidate) bool { return other != one && other.covers(one) })
}

// covers tells whether a candidate explains all that another one does. One that was answered
// well before explains nothing that one does which was not.
func (c *candidate) covers(other *candidate) bool {
	if c.record.Familiar && !other.record.Familiar {
		return false
	}
	return !slices.ContainsFunc(other.open, func(end string) bool { return !slices.Contains(c.open, end) })
}

// whenHarmful is the judgement of a harmful request.
func (e *entry) whenHarmful() judgement {
	held := e.endedAt + e.rules.holdTime(&e.record)
	return judgement{heldUntil: held, suspectedUntil: held + holdMemory}
}
