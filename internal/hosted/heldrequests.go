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
const heldCheckInterval = 3 * time.Second

// followHeld takes what the store knows of held requests, and then looks for what operators
// have removed there.
func (m *mesh) syncHeldRequests() {
	if m.heldStore == nil || !m.retryUntilDone(m.loadHeldRequests) {
		return
	}
	for pause.For(m.context, heldCheckInterval*3/4+time.Duration(randomNumber()%uint64(heldCheckInterval/2))) {
		if len(m.signaturesToCheck()) > 0 {
			m.reconcileHeldRequests()
		}
	}
}

// listHeld reads what the store knows, and tells whether it answered.
func (m *mesh) listHeldRequests(freshness authority.Freshness) ([]authority.HeldRequest, bool) {
	listed, err := readStore(m.reads, m.context, purposeHeld, storeReadTimeout, func(ctx context.Context) ([]authority.HeldRequest, error) {
		return m.heldStore.List(ctx, freshness)
	})
	return listed, err == nil
}

// loadHeld takes what the store knows of held requests, and removes what counts no more.
func (m *mesh) loadHeldRequests() bool {
	listed, read := m.listHeldRequests(authority.Lagging)
	records := make([]quarantine.Record, 0, len(listed))
	for _, one := range listed {
		record := one.Record
		// A clock that stands back makes an end younger than it is, and never of the future.
		record.Age = max(time.Since(one.EndedAt), 0)
		if record.Age > quarantine.MaxRecordAge {
			m.removeHeldRequest(record.Signature)
			continue
		}
		records = append(records, record)
		m.recordStored(one)
	}
	m.mergeHarmful("store", records, false)
	return read
}

// keepHeld writes a held request to the store; it does not block.
func (m *mesh) storeHeldRequest(record quarantine.Record) {
	if m.heldStore == nil {
		return
	}
	m.putHeldRequest(authority.HeldRequest{Record: record, EndedAt: time.Now().Add(-record.Age)})
}

// writeHeld writes a held request to the store until it stands there; it does not block.
func (m *mesh) putHeldRequest(held authority.HeldRequest) {
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		written := m.retryUntilDone(func() bool {
			ctx, cancel := context.WithTimeout(m.context, storeReadTimeout)
			defer cancel()
			err := m.heldStore.Put(ctx, held)
			m.storeCalls.recordError(purposeHeld, err)
			return err == nil
		})
		if written {
			m.recordStored(held)
		}
	}()
}

// keptRequest is a held request that stands in the store as far as this daemon knows, and the era
// in which it was seen there last.
type storedRequest struct {
	request authority.HeldRequest
	seenEra uint64
}

// keep notes that a request stands in the store.
func (m *mesh) recordStored(held authority.HeldRequest) {
	era := m.eras.current()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.storedHeld[held.Record.Signature] = storedRequest{request: held, seenEra: era}
}

// seeKept notes that a request which is kept was seen in the store.
func (m *mesh) updateSeenEra(signature quarantine.Signature, era uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if kept, found := m.storedHeld[signature]; found {
		kept.seenEra = max(kept.seenEra, era)
		m.storedHeld[signature] = kept
	}
}

// lostByStore tells whether a request that stands in the store no more was seen there in an
// earlier era only: then the store has lost it, and no operator need have removed it.
func (m *mesh) findLostRequest(signature quarantine.Signature, era uint64) (authority.HeldRequest, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	kept, found := m.storedHeld[signature]
	return kept.request, found && kept.seenEra < era
}

// keeping are the requests that stand in the store as far as this daemon knows.
func (m *mesh) storedSignatures() []quarantine.Signature {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return lo.Keys(m.storedHeld)
}

// settledHeld is how a request came to stand in the store no more.
type absentRequest struct {
	absentSince time.Duration
	// removed says that this daemon has removed it.
	removedHere bool
}

// watched are the requests that this daemon looks for in the store: those that stand there,
// and those that a late write may still put there or take from there.
func (m *mesh) signaturesToCheck() []quarantine.Signature {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for signature, settled := range m.absentHeld {
		if m.clock()-settled.absentSince > maxLateWriteDelay {
			delete(m.absentHeld, signature)
		}
	}
	return lo.Union(lo.Keys(m.storedHeld), lo.Keys(m.absentHeld))
}

// settle notes that a request stands in the store no more.
func (m *mesh) markAbsent(signature quarantine.Signature, removed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.absentHeld == nil {
		m.absentHeld = map[quarantine.Signature]absentRequest{}
	}
	if _, known := m.absentHeld[signature]; !known || removed {
		m.absentHeld[signature] = absentRequest{absentSince: m.clock(), removedHere: removed}
	}
	delete(m.storedHeld, signature)
}

// isRelease tells whether an operator has removed a request that stands in the store no more.
// One that is not kept may be held anew and not be written yet. Of one that this daemon has
// removed lately, that call may have been carried out after it was written again.
func (m *mesh) isOperatorRelease(signature quarantine.Signature) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	settled, found := m.absentHeld[signature]
	removedLately := found && settled.removedHere && m.clock()-settled.absentSince <= maxLateWriteDelay
	_, kept := m.storedHeld[signature]
	return kept && !removedLately
}

// compareHeld releases what operators have removed from the store, and removes there what
// was cleared or counts no more.
func (m *mesh) reconcileHeldRequests() {
	kept, era := m.signaturesToCheck(), m.eras.current()
	stands, read := m.readStoredSet(authority.Lagging)
	missing := lo.SomeBy(kept, func(signature quarantine.Signature) bool { return !stands[signature] })
	if read && missing {
		stands, read = m.readStoredSet(authority.Linearizable)
	}
	if !read || m.eras.current() != era {
		return // the next look tells
	}
	for _, signature := range kept {
		m.reconcileHeldRequest(signature, stands[signature], era)
	}
}

// standing are the requests that stand in the store.
func (m *mesh) readStoredSet(freshness authority.Freshness) (map[quarantine.Signature]bool, bool) {
	listed, read := m.listHeldRequests(freshness)
	return lo.SliceToMap(listed, func(one authority.HeldRequest) (quarantine.Signature, bool) {
		return one.Record.Signature, true
	}), read
}

// settleKept compares what is believed of one request with whether it stands in the store, in an
// era.
func (m *mesh) reconcileHeldRequest(signature quarantine.Signature, stands bool, era uint64) {
	trusted := m.harmful.HarmfulState(signature) == quarantine.Trusted
	held, lost := m.findLostRequest(signature, era)
	switch {
	case stands && !trusted:
		m.updateSeenEra(signature, era)
		return
	case lost && !stands && !trusted:
		m.events.event("harmful_written_again", field("signature", signature.String()))
		m.putHeldRequest(held)
		return
	case stands:
		m.removeHeldRequest(signature)
	case !trusted && m.isOperatorRelease(signature):
		m.events.event("harmful_released", field("signature", signature.String()))
		m.harmful.ReleaseHarmful(signature)
	}
	m.markAbsent(signature, stands)
}

// removeHeld takes a request from the store. Should that fail, the next daemon that starts
// does it.
func (m *mesh) removeHeldRequest(signature quarantine.Signature) {
	ctx, cancel := context.WithTimeout(m.context, storeReadTimeout)
	defer cancel()
	m.storeCalls.recordError(purposeHeld, m.heldStore.Remove(ctx, signature))
}
