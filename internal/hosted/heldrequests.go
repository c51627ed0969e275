package hosted

import (
	"context"
	"time"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/quarantine"
)

// Peers tell a daemon that starts what they hold. The store is for a start at which there
// are none: one write for each request that is held, and one list at each start, which may
// lag, since a request is held longer than any replica lags.

// loadHeld takes what the store knows of held requests, and removes what counts no more.
func (m *mesh) loadHeld() {
	if m.held == nil {
		return
	}
	var listed []authority.HeldRequest
	read := m.untilDone(func() bool {
		ctx, cancel := context.WithTimeout(m.context, readTimeout)
		defer cancel()
		found, err := m.held.List(ctx, authority.Lagging)
		m.calls.noteError(purposeHeld, err)
		listed = found
		return err == nil
	})
	if !read {
		return
	}
	records := make([]quarantine.Record, 0, len(listed))
	for _, one := range listed {
		record := one.Record
		// A clock that stands back makes an end younger than it is, and never of the future.
		record.Age = max(time.Since(one.EndedAt), 0)
		if record.Age > quarantine.LongestMemory {
			m.removeHeld(record.Signature)
			continue
		}
		records = append(records, record)
	}
	m.takeHarmful("store", records, false)
}

// keepHeld writes a held request to the store; it does not block.
func (m *mesh) keepHeld(record quarantine.Record) {
	if m.held == nil {
		return
	}
	held := authority.HeldRequest{Record: record, EndedAt: time.Now().Add(-record.Age)}
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.untilDone(func() bool {
			ctx, cancel := context.WithTimeout(m.context, readTimeout)
			defer cancel()
			err := m.held.Put(ctx, held)
			m.calls.noteError(purposeHeld, err)
			return err == nil
		})
	}()
}

// removeHeld takes a request from the store. Should that fail, the next daemon that starts
// does it.
func (m *mesh) removeHeld(signature quarantine.Signature) {
	ctx, cancel := context.WithTimeout(m.context, readTimeout)
	defer cancel()
	m.calls.noteError(purposeHeld, m.held.Remove(ctx, signature))
}
