package quarantine

import (
	"cmp"
	"slices"
)

// witnessLimit bounds the number of ends for which a daemon keeps all requests in flight, so that a
// request recorded later is still linked to the others at the same end.
const witnessLimit = 64

// witnessed holds the requests in flight at the ends that one daemon has observed, by instance.
type witnessed struct {
	requests map[string][]Companion
	// order holds the names of the instances, the oldest first.
	order []string
}

// add records a request as in flight at the end of an instance.
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

// uniteCompanions returns the union of two lists. Above companionLimit it keeps the companions with
// the lowest keys and replaces the others by one unidentified companion, so that all daemons keep
// the same ones.
func uniteCompanions(one, other []Companion) []Companion {
	all := slices.Concat(one, other)
	slices.SortFunc(all, func(a, b Companion) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(b.Round, a.Round)) })
	all = slices.CompactFunc(all, func(a, b Companion) bool { return a.Key == b.Key })
	if len(all) > companionLimit {
		all = uniteCompanions(all[:companionLimit-1], []Companion{{}})
	}
	return all
}

// addEnds adds ends and their details and reports whether the record has changed. Above endLimit it
// prefers ends at which no other request ran, then ends of later trials, then the lowest instance
// names, so that all daemons keep the same ones.
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

// compareDetails sorts ends by the strength of their evidence, the strongest first: ends without
// companions, then ends of later trials.
func compareDetails(a, b EndDetail) int {
	return cmp.Or(cmp.Compare(min(len(a.Beside), 1), min(len(b.Beside), 1)), cmp.Compare(b.Trial, a.Trial))
}

// uniteDetails merges two lists of details by instance. The result is in order of the instances.
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
