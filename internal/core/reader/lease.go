package reader

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// LeasePrefix is the prefix of the names of lease objects.
const LeasePrefix = "lease/"

// leaseFormat is the version of the encoding of leases.
const leaseFormat = 1

// clockMarginDivisor allows for clocks that run at different rates. The lease
// duration divided by it is how much earlier a holder stops using the lease, and
// how much longer others wait before they take it.
const clockMarginDivisor = 10

// renewalsPerLease is how many times a lease is renewed within its duration.
const renewalsPerLease = 3

// leaseRecord is the value of a lease object.
type leaseRecord struct {
	Format int `json:"format"`
	// Holder is empty after the holder has resigned.
	Holder protocol.NodeID `json:"holder"`
	Term   uint64          `json:"term"`
	// Renewals grows with each write of a holder within a term, so that a read
	// shows which of several writes was applied.
	Renewals uint64        `json:"renewals"`
	Duration time.Duration `json:"duration_ns"`
}

// leaseObservation is the newest version seen of a lease.
type leaseObservation struct {
	version object.Version
	record  leaseRecord
	// seenAt is when this version was first seen, by this daemon's own clock.
	seenAt time.Duration
}

// leaseState is the reader's view of the leases of its region.
type leaseState struct {
	isCandidate bool
	// observations holds the newest version seen of each lease, by slot.
	observations map[string]leaseObservation
	// acquiring is set while a call of an acquisition is in flight.
	acquiring    bool
	acquireRetry backoff

	// isHeld is set while this daemon holds a lease; the following fields describe it.
	isHeld bool
	// slot is the name of the held lease object. A region has Config.LeaseSlots
	// lease objects, also called slots.
	slot string
	// version is the newest object version of the held lease that this daemon knows,
	// and record its value.
	version object.Version
	record  leaseRecord
	// expiresAt is when the holder stops using the lease, measured from when the
	// last write known to be applied was sent.
	expiresAt time.Duration
	// renewing is set while a renewal, or the read that resolves its outcome, is
	// in flight.
	renewing bool
	renewAt  time.Duration
	// mustReadLease is set when the lease must be read because a renewal had an
	// unknown outcome or was refused, for example with a conflict.
	mustReadLease bool
	// sentRenewals lists the renewals not known to be applied, newest last.
	sentRenewals []sentRenewal
}

func (r *Reader) setCandidacy(candidacy Candidacy) {
	if candidacy.Candidate && !r.lease.isCandidate {
		r.lease.acquireRetry = backoff{until: r.now + candidacy.Delay}
	}
	r.lease.isCandidate = candidacy.Candidate
}

// expireLease drops the lease if it has expired since the last step.
func (r *Reader) expireLease() {
	if r.lease.isHeld && r.now >= r.lease.expiresAt {
		r.loseLease("expired")
	}
}

// advanceLease renews a held lease, or tries to acquire one.
func (r *Reader) advanceLease() {
	if r.lease.isHeld {
		r.advanceRenewal()
		return
	}
	if !r.lease.isCandidate || r.lease.acquiring || !r.lease.acquireRetry.isDue(r.now) {
		return
	}
	r.lease.acquiring = true
	r.call(pendingCall{purpose: purposeLeaseList}, object.Call{Kind: object.CallList, Name: r.leasePrefix()})
}

func (r *Reader) leasePrefix() string { return LeasePrefix + r.config.Region + "/" }

// slotNames returns the names of all lease objects of the region.
func (r *Reader) slotNames() []string {
	slots := make([]string, r.config.LeaseSlots)
	for i := range slots {
		slots[i] = r.leasePrefix() + strconv.Itoa(i)
	}
	return slots
}

// handleLeaseList handles a list of the leases and tries to take a free one. The
// list may be stale: the write expects the version listed, so that it fails if
// the lease has changed. A list with a free lease does not reset the backoff,
// as every attempt fails while the list stays stale.
func (r *Reader) handleLeaseList(reply object.Reply) {
	r.lease.acquiring = false
	if reply.Code != result.OK {
		r.lease.acquireRetry.recordFailure(r.now, r.random)
		return
	}
	for _, found := range reply.Objects {
		r.observeLease(found)
	}
	slots := r.slotNames()
	start := r.random.IntN(len(slots))
	for i := range slots {
		slot := slots[(start+i)%len(slots)]
		if r.isLeaseFree(slot) {
			r.takeLease(slot)
			return
		}
	}
	r.lease.acquireRetry = backoff{until: r.nextListAt()}
}

// observeLease records a lease object. Only a newer version restarts its
// duration.
func (r *Reader) observeLease(found object.Object) {
	known, seen := r.lease.observations[found.Name]
	if seen && found.Version <= known.version {
		return
	}
	observation := leaseObservation{version: found.Version, seenAt: r.now}
	if err := json.Unmarshal(found.Data, &observation.record); err != nil || observation.record.Duration <= 0 {
		observation.record = leaseRecord{Holder: "unreadable", Duration: r.config.LeaseDuration}
	}
	r.lease.observations[found.Name] = observation
}

// isLeaseFree reports whether the lease in a slot may be taken: it was never
// taken, its holder resigned, this daemon held it before a restart, or it has
// not changed for longer than its duration by this daemon's own clock.
func (r *Reader) isLeaseFree(slot string) bool {
	observation, found := r.lease.observations[slot]
	if !found || observation.record.Holder == "" || observation.record.Holder == r.config.ID {
		return true
	}
	return r.now >= observation.freeAt()
}

// freeAt returns when others may take the lease if it does not change before.
func (o leaseObservation) freeAt() time.Duration {
	return o.seenAt + o.record.Duration + o.record.Duration/clockMarginDivisor
}

// nextListAt returns when to list the leases again, given that none is free now:
// when the first of them could become free, plus jitter.
func (r *Reader) nextListAt() time.Duration {
	next := r.now + r.config.LeaseDuration
	for _, slot := range r.slotNames() {
		next = min(next, r.lease.observations[slot].freeAt())
	}
	return max(next, r.now) + jitter(r.random, r.config.LeaseDuration/4)
}

func (r *Reader) takeLease(slot string) {
	observation, found := r.lease.observations[slot]
	record := leaseRecord{
		Format:   leaseFormat,
		Holder:   r.config.ID,
		Term:     r.highestTerm() + 1,
		Duration: r.config.LeaseDuration,
	}
	write := object.Call{Kind: object.CallCreate, Name: slot, Data: record.encode()}
	if found {
		write.Kind = object.CallUpdate
		write.Expect = observation.version
	}
	r.lease.acquiring = true
	r.call(pendingCall{purpose: purposeLeaseTake, record: record, slot: slot}, write)
}

// highestTerm returns the highest term seen in any slot of the region, so that
// terms grow across slots.
func (r *Reader) highestTerm() uint64 {
	highest := uint64(0)
	for _, observation := range r.lease.observations {
		highest = max(highest, observation.record.Term)
	}
	return highest
}

func (r *Reader) handleLeaseTake(call pendingCall, reply object.Reply) {
	switch reply.Code {
	case result.OK:
		r.lease.acquiring = false
		r.gainLease(call, reply.Object.Version)
	case result.PlatformUnknown:
		r.call(pendingCall{purpose: purposeLeaseRead, record: call.record, slot: call.slot, takeSentAt: call.sentAt},
			object.Call{Kind: object.CallGet, Name: call.slot})
	default:
		r.lease.acquiring = false
		r.lease.acquireRetry.recordFailure(r.now, r.random)
	}
}

// gainLease starts to hold the lease that a successful call has written, unless
// it has expired meanwhile.
func (r *Reader) gainLease(call pendingCall, version object.Version) {
	expires := r.holdUntil(call.sentAt)
	r.observeLease(object.Object{Name: call.slot, Version: version, Data: call.record.encode()})
	if r.now >= expires {
		r.lease.acquireRetry.recordFailure(r.now, r.random)
		return
	}
	r.lease.isHeld = true
	r.lease.acquireRetry.reset()
	r.lease.slot = call.slot
	r.lease.version = version
	r.lease.record = call.record
	r.lease.expiresAt = expires
	r.lease.renewing = false
	r.lease.mustReadLease = false
	r.lease.sentRenewals = nil
	r.lease.renewAt = call.sentAt + r.config.LeaseDuration/renewalsPerLease
	r.emit(LeaseGained{Term: call.record.Term})
	r.logEvent("reader_lease_gained", LogField{"slot", call.slot}, LogField{"term", fmt.Sprint(call.record.Term)})
}

// resign releases the lease by writing a record without a holder.
func (r *Reader) resign() {
	r.lease.isCandidate = false
	if !r.lease.isHeld {
		return
	}
	slot, version := r.lease.slot, r.lease.version
	record := leaseRecord{Format: leaseFormat, Term: r.lease.record.Term, Duration: r.config.LeaseDuration}
	r.loseLease("resigned")
	r.call(pendingCall{purpose: purposeLeaseResign}, object.Call{Kind: object.CallUpdate, Name: slot, Expect: version, Data: record.encode()})
}

// loseLease ends the work of a lease holder. Replies to calls in flight are
// ignored from then on.
func (r *Reader) loseLease(reason string) {
	r.lease.isHeld = false
	r.lease.acquiring = false
	r.lease.acquireRetry.recordFailure(r.now, r.random)
	r.calls = map[Token]pendingCall{}
	r.resetHead()
	r.contents.reset()
	r.abandonChanges()
	r.emit(LeaseLost{})
	r.logEvent("reader_lease_lost", LogField{"slot", r.lease.slot}, LogField{"reason", reason})
}

func (l leaseRecord) encode() []byte {
	encoded, err := json.Marshal(l)
	if err != nil {
		panic(err)
	}
	return encoded
}
