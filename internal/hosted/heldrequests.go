package hosted

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/pause"
)

// A starting daemon receives the held requests from its peers. The store keeps them for a start
// without peers and for operators, who see there which requests are held and release a request by
// removing its entry. This costs one write for each held request, one list at each start and,
// while a request is held, one list per heldCheckInterval by each daemon that wrote or read its
// entry. These lists may lag, so a list in which an entry is missing is repeated linearizably.

// heldCheckInterval is the mean time between two comparisons with the held requests in the store.
const heldCheckInterval = 3 * time.Second

// syncHeldRequests loads the held requests from the store, and then compares them with the store
// periodically, mainly to find entries that operators have removed.
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

// listHeldRequests lists the held requests in the store, and reports whether the store answered.
func (m *mesh) listHeldRequests(freshness authority.Freshness) ([]authority.HeldRequest, bool) {
	entries, err := readStore(m.reads, m.context, purposeHeld, storeReadTimeout, func(ctx context.Context) ([]authority.HeldRequest, error) {
		return m.heldStore.List(ctx, freshness)
	})
	return entries, err == nil
}

// loadHeldRequests merges the held requests of the store, removes expired ones there, and reports
// whether the store answered.
func (m *mesh) loadHeldRequests() bool {
	entries, answered := m.listHeldRequests(authority.Lagging)
	records := make([]quarantine.Record, 0, len(entries))
	for _, entry := range entries {
		record := entry.Record
		// If this machine's clock is behind, EndedAt may be in the future; it then counts as now.
		record.Age = max(time.Since(entry.EndedAt), 0)
		if record.Age > quarantine.MaxRecordAge {
			m.removeHeldRequest(record.Signature)
			continue
		}
		records = append(records, record)
		m.recordStored(entry)
	}
	m.mergeHarmful("store", records)
	return answered
}

// storeHeldRequest writes a request that has become held to the store; it does not block.
func (m *mesh) storeHeldRequest(record quarantine.Record) {
	if m.heldStore == nil {
		return
	}
	m.putHeldRequest(authority.HeldRequest{Record: record, EndedAt: time.Now().Add(-record.Age)})
}

// putHeldRequest writes an entry to the store and retries until the store acknowledges the write; it
// does not block.
func (m *mesh) putHeldRequest(entry authority.HeldRequest) {
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		written := m.retryUntilDone(func() bool {
			ctx, cancel := context.WithTimeout(m.context, storeReadTimeout)
			defer cancel()
			err := m.heldStore.Put(ctx, entry)
			m.storeCalls.recordError(purposeHeld, err)
			return err == nil
		})
		if written {
			m.recordStored(entry)
		}
	}()
}

// storedRequest is a held request that is in the store as far as this daemon knows, and the latest
// era in which the store was known to contain it.
type storedRequest struct {
	request authority.HeldRequest
	seenEra uint64
}

// recordStored records that a held request is in the store.
func (m *mesh) recordStored(entry authority.HeldRequest) {
	era := m.eras.current()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.storedHeld[entry.Record.Signature] = storedRequest{request: entry, seenEra: era}
}

// updateSeenEra records that a stored request was found in the store in an era.
func (m *mesh) updateSeenEra(signature quarantine.Signature, era uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if stored, found := m.storedHeld[signature]; found {
		stored.seenEra = max(stored.seenEra, era)
		m.storedHeld[signature] = stored
	}
}

// findLostRequest returns the stored request with a signature, and whether it was last seen in the
// store in an earlier era. If such a request is missing now, the store may have lost it by
// returning to an older copy, so this is not taken for a release by an operator.
func (m *mesh) findLostRequest(signature quarantine.Signature, era uint64) (authority.HeldRequest, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	stored, found := m.storedHeld[signature]
	return stored.request, found && stored.seenEra < era
}

// storedSignatures returns the signatures of the requests that are in the store as far as this
// daemon knows.
func (m *mesh) storedSignatures() []quarantine.Signature {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return lo.Keys(m.storedHeld)
}

// absentRequest describes a request that is no longer in the store.
type absentRequest struct {
	// absentSince is when the request was first found missing or removed, on the mesh's clock.
	absentSince time.Duration
	// removedHere is true if this daemon has removed the request.
	removedHere bool
}

// signaturesToCheck returns the signatures of the requests that this daemon looks for in the store:
// those that are there as far as it knows, and those that a delayed call to the store may still write
// or remove.
func (m *mesh) signaturesToCheck() []quarantine.Signature {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for signature, absent := range m.absentHeld {
		if m.clock()-absent.absentSince > maxLateWriteDelay {
			delete(m.absentHeld, signature)
		}
	}
	return lo.Union(lo.Keys(m.storedHeld), lo.Keys(m.absentHeld))
}

// markAbsent records that a request is no longer in the store, and whether this daemon removed it.
func (m *mesh) markAbsent(signature quarantine.Signature, removedHere bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.absentHeld == nil {
		m.absentHeld = map[quarantine.Signature]absentRequest{}
	}
	if _, known := m.absentHeld[signature]; !known || removedHere {
		m.absentHeld[signature] = absentRequest{absentSince: m.clock(), removedHere: removedHere}
	}
	delete(m.storedHeld, signature)
}

// isOperatorRelease reports whether a request that is missing in the store was removed by an
// operator. A request that is not known to be stored may have been held again and not be written
// yet. If this daemon removed the request within maxLateWriteDelay, the delayed removal may have
// been executed after the request was written again.
func (m *mesh) isOperatorRelease(signature quarantine.Signature) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	absent, wasAbsent := m.absentHeld[signature]
	removedRecently := wasAbsent && absent.removedHere && m.clock()-absent.absentSince <= maxLateWriteDelay
	_, wasStored := m.storedHeld[signature]
	return wasStored && !removedRecently
}

// reconcileHeldRequests releases the requests that operators have removed from the store, removes
// from the store those that are trusted again, and writes again those that the store has lost.
func (m *mesh) reconcileHeldRequests() {
	signatures, era := m.signaturesToCheck(), m.eras.current()
	stored, answered := m.readStoredSet(authority.Lagging)
	missing := lo.SomeBy(signatures, func(signature quarantine.Signature) bool { return !stored[signature] })
	if answered && missing {
		stored, answered = m.readStoredSet(authority.Linearizable)
	}
	if !answered || m.eras.current() != era {
		return // the next comparison decides
	}
	for _, signature := range signatures {
		m.reconcileHeldRequest(signature, stored[signature], era)
	}
}

// readStoredSet returns the signatures of the requests in the store, and whether the store
// answered.
func (m *mesh) readStoredSet(freshness authority.Freshness) (map[quarantine.Signature]bool, bool) {
	entries, answered := m.listHeldRequests(freshness)
	return lo.SliceToMap(entries, func(entry authority.HeldRequest) (quarantine.Signature, bool) {
		return entry.Record.Signature, true
	}), answered
}

// reconcileHeldRequest compares the quarantine state of one request with the store, and corrects the
// one that is out of date. isStored reports whether a list of the given era contains the request.
func (m *mesh) reconcileHeldRequest(signature quarantine.Signature, isStored bool, era uint64) {
	trusted := m.harmful.HarmfulState(signature) == quarantine.Trusted
	entry, lost := m.findLostRequest(signature, era)
	switch {
	case isStored && !trusted:
		m.updateSeenEra(signature, era)
		return
	case lost && !isStored && !trusted:
		m.events.event("harmful_written_again", field("signature", signature.String()))
		m.putHeldRequest(entry)
		return
	case isStored:
		m.removeHeldRequest(signature)
	case !trusted && m.isOperatorRelease(signature):
		m.events.event("harmful_released", field("signature", signature.String()))
		m.harmful.ReleaseHarmful(signature)
	}
	m.markAbsent(signature, isStored)
}

// removeHeldRequest removes a request from the store. If that fails, reconcileHeldRequests tries
// again while signaturesToCheck lists the request, and daemons that start later remove the entry.
func (m *mesh) removeHeldRequest(signature quarantine.Signature) {
	ctx, cancel := context.WithTimeout(m.context, storeReadTimeout)
	defer cancel()
	m.storeCalls.recordError(purposeHeld, m.heldStore.Remove(ctx, signature))
}
