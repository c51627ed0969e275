package hosted

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/pause"
)

// Peers tell a daemon that starts what they hold. The store is for a start at which there
// are none, and for operators: they see there what is held, and release a request by
// removing it. It costs one write for each request that is held, one list at each start and,
// while something is held, a list each heldPeriod by the daemons that wrote or read it. These
// lists may lag; only one that misses a request is confirmed by one that may not.

// heldPeriod is the time between two looks at what is held in the store.
const heldPeriod = 3 * time.Second

// followHeld takes what the store knows of held requests, and then looks for what operators
// have removed there.
func (m *mesh) followHeld() {
	if m.held == nil || !m.untilDone(m.loadHeld) {
		return
	}
	for pause.For(m.context, heldPeriod*3/4+time.Duration(randomNumber()%uint64(heldPeriod/2))) {
		if len(m.watched()) > 0 {
			m.compareHeld()
		}
	}
}

// listHeld reads what the store knows, and tells whether it answered.
func (m *mesh) listHeld(freshness authority.Freshness) ([]authority.HeldRequest, bool) {
	listed, err := readStore(m.reads, m.context, purposeHeld, readTimeout, func(ctx context.Context) ([]authority.HeldRequest, error) {
		return m.held.List(ctx, freshness)
	})
	return listed, err == nil
}

// loadHeld takes what the store knows of held requests, and removes what counts no more.
func (m *mesh) loadHeld() bool {
	listed, read := m.listHeld(authority.Lagging)
	records := make([]quarantine.Record, 0, len(listed))
	for _, one := range listed {
		record := one.Record
		// A clock that stands back makes an end younger than it is, and never of the future.
		record.Age = max(time.Since(one.EndedAt), 0)
		if record.Age > quarantine.MaxRecordAge {
			m.removeHeld(record.Signature)
			continue
		}
		records = append(records, record)
		m.keep(one)
	}
	m.takeHarmful("store", records, false)
	return read
}

// keepHeld writes a held request to the store; it does not block.
func (m *mesh) keepHeld(record quarantine.Record) {
	if m.held == nil {
		return
	}
	m.writeHeld(authority.HeldRequest{Record: record, EndedAt: time.Now().Add(-record.Age)})
}

// writeHeld writes a held request to the store until it stands there; it does not block.
func (m *mesh) writeHeld(held authority.HeldRequest) {
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		written := m.untilDone(func() bool {
			ctx, cancel := context.WithTimeout(m.context, readTimeout)
			defer cancel()
			err := m.held.Put(ctx, held)
			m.calls.noteError(purposeHeld, err)
			return err == nil
		})
		if written {
			m.keep(held)
		}
	}()
}

// keptRequest is a held request that stands in the store as far as this daemon knows, and the era
// in which it was seen there last.
type keptRequest struct {
	held authority.HeldRequest
	era  uint64
}

// keep notes that a request stands in the store.
func (m *mesh) keep(held authority.HeldRequest) {
	era := m.eras.known()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.kept[held.Record.Signature] = keptRequest{held: held, era: era}
}

// seeKept notes that a request which is kept was seen in the store.
func (m *mesh) seeKept(signature quarantine.Signature, era uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if kept, found := m.kept[signature]; found {
		kept.era = max(kept.era, era)
		m.kept[signature] = kept
	}
}

// lostByStore tells whether a request that stands in the store no more was seen there in an
// earlier era only: then the store has lost it, and no operator need have removed it.
func (m *mesh) lostByStore(signature quarantine.Signature, era uint64) (authority.HeldRequest, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	kept, found := m.kept[signature]
	return kept.held, found && kept.era < era
}

// keeping are the requests that stand in the store as far as this daemon knows.
func (m *mesh) keeping() []quarantine.Signature {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return lo.Keys(m.kept)
}

// settledHeld is how a request came to stand in the store no more.
type settledHeld struct {
	at time.Duration
	// removed says that this daemon has removed it.
	removed bool
}

// watched are the requests that this daemon looks for in the store: those that stand there,
// and those that a late write may still put there or take from there.
func (m *mesh) watched() []quarantine.Signature {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for signature, settled := range m.settled {
		if m.clock()-settled.at > lateWriteTime {
			delete(m.settled, signature)
		}
	}
	return lo.Union(lo.Keys(m.kept), lo.Keys(m.settled))
}

// settle notes that a request stands in the store no more.
func (m *mesh) settle(signature quarantine.Signature, removed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.settled == nil {
		m.settled = map[quarantine.Signature]settledHeld{}
	}
	if _, known := m.settled[signature]; !known || removed {
		m.settled[signature] = settledHeld{at: m.clock(), removed: removed}
	}
	delete(m.kept, signature)
}

// isRelease tells whether an operator has removed a request that stands in the store no more.
// One that is not kept may be held anew and not be written yet. Of one that this daemon has
// removed lately, that call may have been carried out after it was written again.
func (m *mesh) isRelease(signature quarantine.Signature) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	settled, found := m.settled[signature]
	removedLately := found && settled.removed && m.clock()-settled.at <= lateWriteTime
	_, kept := m.kept[signature]
	return kept && !removedLately
}

// compareHeld releases what operators have removed from the store, and removes there what
// was cleared or counts no more.
func (m *mesh) compareHeld() {
	kept, era := m.watched(), m.eras.known()
	stands, read := m.standing(authority.Lagging)
	missing := lo.SomeBy(kept, func(signature quarantine.Signature) bool { return !stands[signature] })
	if read && missing {
		stands, read = m.standing(authority.Linearizable)
	}
	if !read || m.eras.known() != era {
		return // the next look tells
	}
	for _, signature := range kept {
		m.settleKept(signature, stands[signature], era)
	}
}

// standing are the requests that stand in the store.
func (m *mesh) standing(freshness authority.Freshness) (map[quarantine.Signature]bool, bool) {
	listed, read := m.listHeld(freshness)
	return lo.SliceToMap(listed, func(one authority.HeldRequest) (quarantine.Signature, bool) {
		return one.Record.Signature, true
	}), read
}

// settleKept compares what is believed of one request with whether it stands in the store, in an
// era.
func (m *mesh) settleKept(signature quarantine.Signature, stands bool, era uint64) {
	trusted := m.harmful.HarmfulBelief(signature) == quarantine.Trusted
	held, lost := m.lostByStore(signature, era)
	switch {
	case stands && !trusted:
		m.seeKept(signature, era)
		return
	case lost && !stands && !trusted:
		m.events.event("harmful_written_again", field("signature", signature.String()))
		m.writeHeld(held)
		return
	case stands:
		m.removeHeld(signature)
	case !trusted && m.isRelease(signature):
		m.events.event("harmful_released", field("signature", signature.String()))
		m.harmful.ReleaseHarmful(signature)
	}
	m.settle(signature, stands)
}

// removeHeld takes a request from the store. Should that fail, the next daemon that starts
// does it.
func (m *mesh) removeHeld(signature quarantine.Signature) {
	ctx, cancel := context.WithTimeout(m.context, readTimeout)
	defer cancel()
	m.calls.noteError(purposeHeld, m.held.Remove(ctx, signature))
}
