package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// classification is the result of the evaluation of all records for one request.
type classification struct {
	// The request is suspected before suspectedUntil and held before heldUntil, on this daemon's
	// clock. A value of 0 or less means never.
	suspectedUntil time.Duration
	heldUntil      time.Duration
	// countedEnds is the number of ends that count against the request: all ends of a harmful one,
	// and those of a suspected one that are not attributed to a harmful request. requiredEnds is
	// the number of ends from which the request is held.
	countedEnds  int
	requiredEnds int
	// lastTrial is the number of the latest trial in which an end occurred; 0 if the request was
	// cleared.
	lastTrial uint32
}

// state returns the state of the request at a given time.
func (c classification) state(now time.Duration) State {
	switch {
	case now < c.heldUntil:
		return Held
	case now < c.suspectedUntil:
		return Suspected
	}
	return Trusted
}

// isolation returns how the request must be isolated if it may run.
func (c classification) isolation() Isolation {
	switch {
	case c.requiredEnds == 0 || c.countedEnds < c.requiredEnds-1:
		return AlongsideTrusted
	case c.countedEnds < c.requiredEnds:
		return AlonePreferred
	}
	return AloneRequired
}

// candidate is a request that may have caused ends and is not classified yet.
type candidate struct {
	*entry
	// unattributed holds the ends that are not attributed to a harmful request yet.
	unattributed []string
}

// classify classifies all requests by attributing the ends to as few of them as possible (a greedy
// set cover): the request that ran at the most unattributed ends is harmful if these are enough,
// and the other requests at these ends are considered its harmless companions. If two requests ran
// at exactly the same ends, they cannot be told apart, and both stay suspected. A request that
// never ran alone also stays suspected, since each of its ends may be due to another request.
// Suspected requests run separately, so the next successful answer or end resolves the case.
// Daemons with the same records arrive at the same result.
func (t *Table) classify(now time.Duration) map[Signature]classification {
	records := t.unexpiredByKey(now)
	candidates := t.candidates(now, records)
	result := make(map[Signature]classification, len(candidates))
	for len(candidates) > 0 {
		slices.SortStableFunc(candidates, func(a, b *candidate) int { return cmp.Compare(len(b.unattributed), len(a.unattributed)) })
		index := slices.IndexFunc(candidates, func(c *candidate) bool { return t.isHarmful(c, candidates, records) })
		if index < 0 {
			break
		}
		harmful := candidates[index]
		result[harmful.record.Signature] = harmful.classifyHarmful()
		candidates = slices.Delete(candidates, index, index+1)
		if !t.rules.EachByItself {
			for _, c := range candidates {
				c.removeAttributed(harmful)
			}
		}
	}
	for _, c := range candidates {
		if len(c.unattributed) > 0 {
			result[c.record.Signature] = c.classifySuspected()
		}
	}
	return result
}

// entriesByKey maps the keys of signatures to the unexpired entries of their requests, for the
// evaluation of companions, which are identified by these keys.
type entriesByKey map[uint64]*entry

func (t *Table) unexpiredByKey(now time.Duration) entriesByKey {
	records := make(entriesByKey, len(t.entries))
	for signature, entry := range t.entries {
		if !entry.isExpired(now) {
			records[signature.Key()] = entry
		}
	}
	return records
}

// isKnownCause reports whether an end is attributed to the given companion: its request was found
// harmful in the round in which it ran at that end, or in a later one, and has been cleared since.
func (r entriesByKey) isKnownCause(companion Companion) bool {
	entry := r[companion.Key]
	return entry != nil && entry.record.Proven > companion.Round
}

// cannotHaveCaused reports whether a companion cannot have caused an end of a suspect: it was
// cleared since that end, or it is familiar (see Record.Familiar) and the suspect is not.
// It returns false if there is no unexpired record of the companion.
func (r entriesByKey) cannotHaveCaused(companion Companion, suspect *entry) bool {
	entry := r[companion.Key]
	if entry == nil {
		return false
	}
	if entry.record.Round > companion.Round || entry.record.Cleared {
		return true
	}
	return entry.record.Familiar && !suspect.record.Familiar
}

// candidates returns the unexpired records that were not cleared, in order of their signatures.
func (t *Table) candidates(now time.Duration, records entriesByKey) []*candidate {
	var found []*candidate
	for _, e := range t.entries {
		if e.record.Cleared || e.isExpired(now) {
			continue
		}
		unattributed := slices.DeleteFunc(slices.Clone(e.record.Ends), func(end string) bool {
			return !t.rules.IgnoresCompany && slices.ContainsFunc(e.record.detail(end).Beside, records.isKnownCause)
		})
		found = append(found, &candidate{entry: e, unattributed: unattributed})
	}
	slices.SortFunc(found, func(a, b *candidate) int { return compareSignatures(a.record.Signature, b.record.Signature) })
	return found
}

// removeAttributed removes the ends that are attributed to a harmful request.
func (c *candidate) removeAttributed(harmful *candidate) {
	key := harmful.record.Signature.Key()
	c.unattributed = slices.DeleteFunc(c.unattributed, func(end string) bool {
		return slices.Contains(harmful.record.Ends, end) ||
			slices.ContainsFunc(c.record.detail(end).Beside, func(companion Companion) bool { return companion.Key == key })
	})
}

// isHarmful reports whether a candidate has enough unattributed ends, no other candidate ran at all
// of them, at least one of them can only be due to this candidate, and, with no more than the
// required number of ends, there is no rival (see hasRival). The rules that are used for
// comparisons only (see Rules) skip some of these conditions.
func (t *Table) isHarmful(c *candidate, all []*candidate, records entriesByKey) bool {
	required := t.rules.requiredEnds(&c.record)
	if len(c.unattributed) < required {
		return false
	}
	if t.rules.EachByItself {
		return true
	}
	if slices.ContainsFunc(all, func(other *candidate) bool { return other != c && other.ranAtEndsOf(c, 0) }) {
		return false
	}
	if t.rules.IgnoresCompany {
		return true
	}
	if t.rules.LeastShare > 0 {
		return c.sumEndShares(records) >= t.rules.LeastShare
	}
	return t.isSoleCauseOfAnEnd(c, records) && (len(c.unattributed) > required || !c.hasRival(all))
}

// isSoleCauseOfAnEnd reports whether at least one unattributed end can only be due to this
// candidate: either it ran alone at that end in a later trial, or it has as many trials as it needs
// ends to be held and no companion at that end can have caused it.
func (t *Table) isSoleCauseOfAnEnd(c *candidate, records entriesByKey) bool {
	if c.ranAloneInLaterTrial() {
		return true
	}
	enough := t.rules.IgnoresTrials || c.countTrials() >= t.rules.requiredEnds(&c.record)
	return enough && c.hasEndWithoutOtherCause(records)
}

// countTrials returns the number of distinct trials in which the unattributed ends occurred.
func (c *candidate) countTrials() int { return c.record.countTrials(c.unattributed) }

// ranAloneInLaterTrial reports whether the candidate ran alone at an unattributed end of its second
// or a later trial. Such an end is not part of a single failure that ended several back ends at
// once.
func (c *candidate) ranAloneInLaterTrial() bool {
	return slices.ContainsFunc(c.unattributed, func(end string) bool {
		detail := c.record.detail(end)
		return detail.Trial > 1 && len(detail.Beside) == 0
	})
}

// ranAtEndsOf reports whether the candidate ran at all unattributed ends of another candidate,
// except for at most maxMissing of them. A familiar request (see Record.Familiar) cannot account
// for the ends of a request that is not familiar.
func (c *candidate) ranAtEndsOf(other *candidate, maxMissing int) bool {
	if c.record.Familiar && !other.record.Familiar {
		return false
	}
	missing := 0
	for _, end := range other.unattributed {
		if !slices.Contains(c.unattributed, end) {
			missing++
		}
	}
	return missing <= maxMissing
}

// hasEndWithoutOtherCause reports whether the candidate has an unattributed end that no other
// request can have caused.
func (c *candidate) hasEndWithoutOtherCause(records entriesByKey) bool {
	return slices.ContainsFunc(c.unattributed, func(end string) bool { return c.countOtherCauses(end, records) == 0 })
}

// countOtherCauses returns the number of companions that can have caused an end.
func (c *candidate) countOtherCauses(end string, records entriesByKey) int {
	count := 0
	for _, companion := range c.record.detail(end).Beside {
		if !records.cannotHaveCaused(companion, c.entry) {
			count++
		}
	}
	return count
}

// sumEndShares returns the candidate's share of its unattributed ends, in ends: each end is divided
// equally among the requests that can have caused it.
func (c *candidate) sumEndShares(records entriesByKey) float64 {
	sum := 0.0
	for _, end := range c.unattributed {
		sum += 1 / float64(1+c.countOtherCauses(end, records))
	}
	return sum
}

// hasRival reports whether another candidate ran at all unattributed ends of this one or at all but
// one of them, since that end may have a separate cause. A candidate that also ran at an end
// attributed to a harmful request is no rival: it is known to run concurrently with harmful
// requests.
func (c *candidate) hasRival(all []*candidate) bool {
	return slices.ContainsFunc(all, func(other *candidate) bool {
		ranWithHarmful := len(other.unattributed) < len(other.record.Ends)
		return other != c && !ranWithHarmful && other.ranAtEndsOf(c, 1)
	})
}

// classifyHarmful returns the classification of a harmful request.
func (e *entry) classifyHarmful() classification {
	heldUntil := e.latestEndAt + e.rules.holdDuration(&e.record)
	required := e.rules.requiredEnds(&e.record)
	return classification{heldUntil: heldUntil, suspectedUntil: heldUntil + suspicionAfterHold, countedEnds: len(e.record.Ends), requiredEnds: required}
}

// classifySuspected returns the classification of a suspected request.
func (c *candidate) classifySuspected() classification {
	return classification{
		suspectedUntil: c.latestEndAt + suspicionTime,
		countedEnds:    len(c.unattributed), requiredEnds: c.rules.requiredEnds(&c.record),
	}
}
