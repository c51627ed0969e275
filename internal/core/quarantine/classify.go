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
	// unattributed is the number of ends that are not attributed to a harmful request, requiredEnds
	// the number from which the request is held.
	unattributed int
	requiredEnds int
	// lastTrial is the number of the latest trial that met an end; 0 if the request was cleared.
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
	case c.requiredEnds == 0 || c.unattributed < c.requiredEnds-1:
		return AlongsideTrusted
	case c.unattributed < c.requiredEnds:
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
	records := t.companionRecords(now)
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

// companionRecords maps the keys of signatures to the valid entries of their requests, for the
// evaluation of companions.
type companionRecords map[uint64]*entry

func (t *Table) companionRecords(now time.Duration) companionRecords {
	records := make(companionRecords, len(t.entries))
	for signature, entry := range t.entries {
		if !entry.expired(now) {
			records[signature.Key()] = entry
		}
	}
	return records
}

// caused reports whether a companion was found harmful in the round in which it ran at an end. It
// remains the cause of that end after its record was cleared.
func (r companionRecords) caused(companion Companion) bool {
	entry := r[companion.Key]
	return entry != nil && entry.record.Proven > companion.Round
}

// isExcused reports whether a companion cannot have caused an end: it was answered successfully
// since then, or it was answered successfully before and the other request was not. A companion
// without a valid record is never excused.
func (r companionRecords) isExcused(companion Companion, other *entry) bool {
	entry := r[companion.Key]
	if entry == nil {
		return false
	}
	if entry.record.Round > companion.Round || entry.record.Cleared {
		return true
	}
	return entry.record.Familiar && !other.record.Familiar
}

// candidates returns the valid records that were not cleared, in order of their signatures.
func (t *Table) candidates(now time.Duration, records companionRecords) []*candidate {
	var found []*candidate
	for _, e := range t.entries {
		if e.record.Cleared || e.expired(now) {
			continue
		}
		unattributed := slices.DeleteFunc(slices.Clone(e.record.Ends), func(end string) bool {
			return !t.rules.IgnoresCompany && slices.ContainsFunc(e.record.detail(end).Beside, records.caused)
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

// isHarmful reports whether a candidate has enough unattributed ends and no other candidate may
// have caused the same ones.
func (t *Table) isHarmful(c *candidate, all []*candidate, records companionRecords) bool {
	required := t.rules.requiredEnds(&c.record)
	if len(c.unattributed) < required {
		return false
	}
	if t.rules.EachByItself {
		return true
	}
	if slices.ContainsFunc(all, func(other *candidate) bool { return other != c && other.covers(c, 0) }) {
		return false
	}
	if t.rules.IgnoresCompany {
		return true
	}
	if t.rules.LeastShare > 0 {
		return c.weightedEnds(records) >= t.rules.LeastShare
	}
	return t.isProven(c, records) && (len(c.unattributed) > required || !c.hasRival(all))
}

// isProven reports whether at least one unattributed end can only be due to this candidate: either
// it ran alone at that end in a later trial, or it has enough trials and every companion at that
// end is excused.
func (t *Table) isProven(c *candidate, records companionRecords) bool {
	if c.ranAloneInLaterTrial() {
		return true
	}
	enough := t.rules.IgnoresTrials || c.countTrials() >= t.rules.requiredEnds(&c.record)
	return enough && c.isOnlyPossibleCause(records)
}

// countTrials returns the number of distinct trials that met unattributed ends.
func (c *candidate) countTrials() int { return c.record.countTrials(c.unattributed) }

// ranAloneInLaterTrial reports whether the candidate ran alone at an unattributed end after an
// earlier trial had met one. Such an end is not part of a single failure that ended several back
// ends at once.
func (c *candidate) ranAloneInLaterTrial() bool {
	return slices.ContainsFunc(c.unattributed, func(end string) bool {
		detail := c.record.detail(end)
		return detail.Trial > 1 && len(detail.Beside) == 0
	})
}

// covers reports whether the candidate ran at all unattributed ends of another one, except for at
// most the given number. A request that was answered successfully before cannot account for the
// ends of one that was not.
func (c *candidate) covers(other *candidate, maxMissing int) bool {
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

// isOnlyPossibleCause reports whether the candidate has an unattributed end that no other request
// may have caused.
func (c *candidate) isOnlyPossibleCause(records companionRecords) bool {
	return slices.ContainsFunc(c.unattributed, func(end string) bool { return c.countOtherCauses(end, records) == 0 })
}

// countOtherCauses returns the number of companions that may have caused an end.
func (c *candidate) countOtherCauses(end string, records companionRecords) int {
	count := 0
	for _, companion := range c.record.detail(end).Beside {
		if !records.isExcused(companion, c.entry) {
			count++
		}
	}
	return count
}

// weightedEnds returns the sum of the unattributed ends, each divided by the number of requests
// that may have caused it.
func (c *candidate) weightedEnds(records companionRecords) float64 {
	sum := 0.0
	for _, end := range c.unattributed {
		sum += 1 / float64(1+c.countOtherCauses(end, records))
	}
	return sum
}

// hasRival reports whether another candidate ran at all unattributed ends but one, which may have a
// separate cause. A candidate that ran at an end attributed to a harmful request is no rival: it is
// known to run concurrently with harmful requests.
func (c *candidate) hasRival(all []*candidate) bool {
	return slices.ContainsFunc(all, func(other *candidate) bool {
		ranBesideHarmful := len(other.unattributed) < len(other.record.Ends)
		return other != c && !ranBesideHarmful && other.covers(c, 1)
	})
}

// classifyHarmful returns the classification of a harmful request.
func (e *entry) classifyHarmful() classification {
	heldUntil := e.latestEndAt + e.rules.holdDuration(&e.record)
	required := e.rules.requiredEnds(&e.record)
	return classification{heldUntil: heldUntil, suspectedUntil: heldUntil + suspicionAfterHold, unattributed: len(e.record.Ends), requiredEnds: required}
}

// classifySuspected returns the classification of a suspected request.
func (c *candidate) classifySuspected() classification {
	return classification{
		suspectedUntil: c.latestEndAt + suspicionTime,
		unattributed:   len(c.unattributed), requiredEnds: c.rules.requiredEnds(&c.record),
	}
}
