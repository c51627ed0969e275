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

// addEnds adds ends and what was at work there, and tells whether any of it is new. Past the
// limit those at which nothing else was at work are kept and then the first by name, so that
// all daemons keep the same.
func (e *entry) addEnds(ends []string, company []Company) bool {
	all := slices.Compact(slices.Sorted(slices.Values(slices.Concat(e.record.Ends, ends))))
	united := uniteCompanies(e.record.Company, company)
	if len(all) > endLimit {
		slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(sizeOf(united, a), sizeOf(united, b)) })
		all = slices.Sorted(slices.Values(all[:endLimit]))
	}
	united = slices.DeleteFunc(united, func(one Company) bool { return !slices.Contains(all, one.Instance) })
	news := !slices.Equal(all, e.record.Ends) || !slices.EqualFunc(united, e.record.Company, Company.equal)
	e.record.Ends, e.record.Company = all, united
	return news
}

func (c Company) equal(other Company) bool {
	return c.Instance == other.Instance && slices.Equal(c.Requests, other.Requests)
}

// sizeOf is 1 for an end with company, and 0 for one without.
func sizeOf(company []Company, end string) int {
	if slices.ContainsFunc(company, func(one Company) bool { return one.Instance == end }) {
		return 1
	}
	return 0
}

// uniteCompanies unites what is known of the same ends, in order of the instances.
func uniteCompanies(one, other []Company) []Company {
	all := slices.Clone(one)
	for _, given := range other {
		at, found := slices.BinarySearchFunc(all, given.Instance, func(known Company, name string) int {
			return cmp.Compare(known.Instance, name)
		})
		if !found {
			all = slices.Insert(all, at, Company{Instance: given.Instance})
		}
		all[at].Requests = uniteCompanions(all[at].Requests, given.Requests)
	}
	return all
}
