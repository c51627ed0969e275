package soak

import "time"

// lateTime is how long a fault counts as met after it is undone.
const lateTime = 3 * time.Second

// coverage counts how often each promise was judged while each fault was in force or had
// just been undone.
type coverage struct {
	inForce map[string]int
	undone  map[string]time.Time
	pairs   map[string]map[string]int
}

func newCoverage() coverage {
	return coverage{inForce: map[string]int{}, undone: map[string]time.Time{}, pairs: map[string]map[string]int{}}
}

// Begun notes that a fault is in force, until what it returns is called.
func (o *Oracle) Begun(fault string) (undone func(at time.Time)) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.coverage.inForce[fault]++
	return func(at time.Time) {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.coverage.inForce[fault]--
		o.coverage.undone[fault] = at
	}
}

// exercised counts that a promise was judged; the lock is held.
func (o *Oracle) exercised(promise string, at time.Time) {
	for fault, count := range o.coverage.inForce {
		if count == 0 && at.Sub(o.coverage.undone[fault]) > lateTime {
			continue
		}
		if o.coverage.pairs[fault] == nil {
			o.coverage.pairs[fault] = map[string]int{}
		}
		o.coverage.pairs[fault][promise]++
	}
}

// Pairs counts, for each fault, how often each promise was judged beside it.
func (o *Oracle) Pairs() map[string]map[string]int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.coverage.pairs
}
