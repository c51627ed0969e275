package quarantine

import (
	"cmp"
	"slices"
)

// witnessLimit bounds the ends of which a daemon remembers all that was at work, so that a
// request which is noted late still finds the others.
const witnessLimit = 64

// witnessed are the requests at work at the ends that one daemon has seen.
type witnessed struct {
	requests map[string][]Companion
	// order are the instances, the oldest first.
	order []string
}

// add notes a request at the end of an instance.
func (w *witnessed) add(instance string, one Companion) {
	if _, found := w.requests[instance]; !found {
		w.order = append(w.order, instance)
	}
	if len(w.order) > witnessLimit {
		delete(w.requests, w.order[0])
		w.order = slices.Delete(w.order, 0, 1)
	}
	w.requests[instance] = uniteCompanions(w.requests[instance], []Companion{one})
}

// uniteCompanions are all of two lists. Past the limit those with the lowest keys are kept and
// the others stand as one that is not known, so that all daemons keep the same.
func uniteCompanions(one, other []Companion) []Companion {
	all := slices.Concat(one, other)
	slices.SortFunc(all, func(a, b Companion) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(b.Round, a.Round)) })
	all = slices.CompactFunc(all, func(a, b Companion) bool { return a.Key == b.Key })
	if len(all) > companionLimit {
		all = uniteCompanions(all[:companionLimit-1], []Companion{{}})
	}
	return all
}

// addEnds adds ends and what is known of them, and tells whether any of it is new. Past the
// limit those at which nothing else was at work are kept, then those of the latest trials and
// the first by name, so that all daemons keep the same.
func (e *entry) addEnds(ends []string, details []EndDetail) bool {
	all := slices.Compact(slices.Sorted(slices.Values(slices.Concat(e.record.Ends, ends))))
	united := Record{Details: uniteDetails(e.record.Details, details)}
	if len(all) > endLimit {
		slices.SortStableFunc(all, func(a, b string) int { return compareDetails(united.detail(a), united.detail(b)) })
		all = slices.Sorted(slices.Values(all[:endLimit]))
	}
	kept := slices.DeleteFunc(united.Details, func(one EndDetail) bool { return !slices.Contains(all, one.Instance) })
	news := !slices.Equal(all, e.record.Ends) || !slices.EqualFunc(kept, e.record.Details, EndDetail.equal)
	e.record.Ends, e.record.Details = all, kept
	return news
}

func (d EndDetail) equal(other EndDetail) bool {
	return d.Instance == other.Instance && d.Trial == other.Trial && slices.Equal(d.Beside, other.Beside)
}

// compareDetails orders ends by what they tell: those that tell most come first.
func compareDetails(a, b EndDetail) int {
	return cmp.Or(cmp.Compare(min(len(a.Beside), 1), min(len(b.Beside), 1)), cmp.Compare(b.Trial, a.Trial))
}

// uniteDetails unites what is known of the same ends, in order of the instances.
func uniteDetails(one, other []EndDetail) []EndDetail {
	all := slices.Clone(one)
	for _, given := range other {
		at, found := slices.BinarySearchFunc(all, given.Instance, func(known EndDetail, name string) int {
			return cmp.Compare(known.Instance, name)
		})
		if !found {
			all = slices.Insert(all, at, EndDetail{Instance: given.Instance})
		}
		all[at].Trial = max(all[at].Trial, given.Trial)
		all[at].Beside = uniteCompanions(all[at].Beside, given.Beside)
	}
	return all
}
