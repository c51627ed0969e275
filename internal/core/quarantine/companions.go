package quarantine

import (
	"cmp"
	"slices"
)

// observedEndLimit bounds the number of ends for which a daemon keeps all requests in flight, so
// that a request recorded later is still linked to the others at the same end.
const observedEndLimit = 64

// observedEnds holds the requests in flight at the ends that one daemon has observed, by instance.
type observedEnds struct {
	requests map[string][]Companion
	// order holds the names of the instances, the oldest first.
	order []string
}

// add records a request as in flight at the end of an instance.
func (o *observedEnds) add(instance string, companion Companion) {
	if _, found := o.requests[instance]; !found {
		o.order = append(o.order, instance)
	}
	if len(o.order) > observedEndLimit {
		delete(o.requests, o.order[0])
		o.order = slices.Delete(o.order, 0, 1)
	}
	o.requests[instance] = mergeCompanions(o.requests[instance], []Companion{companion})
}

// mergeCompanions returns the union of two lists. Above companionLimit it keeps the companions with
// the lowest keys and replaces the others by one unidentified companion, so that all daemons keep
// the same ones.
func mergeCompanions(first, second []Companion) []Companion {
	all := slices.Concat(first, second)
	slices.SortFunc(all, func(a, b Companion) int { return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(b.Round, a.Round)) })
	all = slices.CompactFunc(all, func(a, b Companion) bool { return a.Key == b.Key })
	if len(all) > companionLimit {
		all = mergeCompanions(all[:companionLimit-1], []Companion{{}})
	}
	return all
}

// addEnds adds ends and their details and reports whether the record has changed. Above endLimit it
// prefers ends at which no other request ran, then ends of later trials, then the lowest instance
// names, so that all daemons keep the same ones.
func (e *entry) addEnds(ends []string, details []EndDetail) bool {
	all := slices.Compact(slices.Sorted(slices.Values(slices.Concat(e.record.Ends, ends))))
	merged := Record{Details: mergeDetails(e.record.Details, details)}
	if len(all) > endLimit {
		slices.SortStableFunc(all, func(a, b string) int { return compareEvidence(merged.detail(a), merged.detail(b)) })
		all = slices.Sorted(slices.Values(all[:endLimit]))
	}
	keptDetails := slices.DeleteFunc(merged.Details, func(detail EndDetail) bool { return !slices.Contains(all, detail.Instance) })
	changed := !slices.Equal(all, e.record.Ends) || !slices.EqualFunc(keptDetails, e.record.Details, EndDetail.equal)
	e.record.Ends, e.record.Details = all, keptDetails
	return changed
}

func (d EndDetail) equal(other EndDetail) bool {
	return d.Instance == other.Instance && d.Trial == other.Trial && slices.Equal(d.Beside, other.Beside)
}

// compareEvidence sorts ends by the strength of their evidence, the strongest first: ends without
// companions, then ends of later trials.
func compareEvidence(a, b EndDetail) int {
	return cmp.Or(cmp.Compare(min(len(a.Beside), 1), min(len(b.Beside), 1)), cmp.Compare(b.Trial, a.Trial))
}

// mergeDetails merges two lists of details by instance. The result is in order of the instances.
func mergeDetails(first, second []EndDetail) []EndDetail {
	all := slices.Clone(first)
	for _, detail := range second {
		index, found := slices.BinarySearchFunc(all, detail.Instance, func(existing EndDetail, name string) int {
			return cmp.Compare(existing.Instance, name)
		})
		if !found {
			all = slices.Insert(all, index, EndDetail{Instance: detail.Instance})
		}
		all[index].Trial = max(all[index].Trial, detail.Trial)
		all[index].Beside = mergeCompanions(all[index].Beside, detail.Beside)
	}
	return all
}
