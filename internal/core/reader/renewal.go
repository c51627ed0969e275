package reader

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

// sentRenewal is a renewal that was sent: the value of leaseRecord.Renewals in
// the write, and when it was sent.
type sentRenewal struct {
	count  uint64
	sentAt time.Duration
}

// holdUntil returns when the holder must stop using a lease that was written by
// a call sent at the given time. That is before anyone else may take it: others
// wait for longer than the duration, from when they saw the write; see freeAt.
func (r *Reader) holdUntil(sentAt time.Duration) time.Duration {
	return sentAt + r.config.LeaseDuration - r.config.LeaseDuration/clockMarginDivisor
}

// advanceRenewal sends a renewal that is due, or a read of the lease if the
// outcome of the last renewal is unknown.
func (r *Reader) advanceRenewal() {
	if r.lease.renewing || r.now < r.lease.renewAt {
		return
	}
	r.lease.renewing = true
	if r.lease.mustReadLease {
		r.call(pendingCall{purpose: purposeLeaseRead, slot: r.lease.slot}, object.Call{Kind: object.CallGet, Name: r.lease.slot})
		return
	}
	record := r.lease.record
	record.Renewals = r.nextRenewalCount()
	r.lease.sentRenewals = append(r.lease.sentRenewals, sentRenewal{count: record.Renewals, sentAt: r.now})
	r.call(pendingCall{purpose: purposeLeaseRenew, record: record, slot: r.lease.slot},
		object.Call{Kind: object.CallUpdate, Name: r.lease.slot, Expect: r.lease.version, Data: record.encode()})
}

// nextRenewalCount returns a value of leaseRecord.Renewals not used by any
// write of this term.
func (r *Reader) nextRenewalCount() uint64 {
	highest := r.lease.record.Renewals
	for _, sent := range r.lease.sentRenewals {
		highest = max(highest, sent.count)
	}
	return highest + 1
}

func (r *Reader) handleLeaseRenewal(call pendingCall, reply object.Reply) {
	r.lease.renewing = false
	switch reply.Code {
	case result.OK:
		r.extendLease(call.record, reply.Object.Version)
	case result.PlatformUnavailable, result.PlatformTooManyReaders:
		r.lease.renewAt = r.now + r.renewalRetryDelay()
	default:
		r.lease.mustReadLease = true
		r.lease.renewAt = r.now
	}
}

// renewalRetryDelay returns the wait before a renewal is retried. It is short,
// because the lease must be renewed before it expires.
func (r *Reader) renewalRetryDelay() time.Duration {
	return jitter(r.random, r.config.LeaseDuration/clockMarginDivisor)
}

// extendLease extends the lease, measured from when the write that was applied
// had been sent.
func (r *Reader) extendLease(record leaseRecord, version object.Version) {
	r.lease.version = version
	r.lease.record = record
	index := slices.IndexFunc(r.lease.sentRenewals, func(sent sentRenewal) bool { return sent.count == record.Renewals })
	if index < 0 {
		return
	}
	sentAt := r.lease.sentRenewals[index].sentAt
	r.lease.sentRenewals = r.lease.sentRenewals[index+1:]
	r.lease.expiresAt = max(r.lease.expiresAt, r.holdUntil(sentAt))
	r.lease.renewAt = max(r.now, sentAt+r.config.LeaseDuration/renewalsPerLease)
}

// handleLeaseRead handles a read of the lease after a write whose reply was
// lost or reported an error such as a conflict.
func (r *Reader) handleLeaseRead(call pendingCall, reply object.Reply) {
	if !r.lease.isHeld {
		r.handleTakeOutcome(call, reply)
		return
	}
	r.lease.renewing = false
	if reply.Code != result.OK && reply.Code != result.PlatformNotFound {
		r.lease.renewAt = r.now + r.renewalRetryDelay()
		return
	}
	var record leaseRecord
	if reply.Code != result.OK || json.Unmarshal(reply.Object.Data, &record) != nil || !r.isOwnRecord(record) {
		r.loseLease("taken")
		return
	}
	r.lease.mustReadLease = false
	r.lease.renewAt = r.now
	if reply.Object.Version > r.lease.version {
		r.extendLease(record, reply.Object.Version)
	}
}

func (r *Reader) isOwnRecord(record leaseRecord) bool {
	return record.Holder == r.config.ID && record.Term == r.lease.record.Term
}

// handleTakeOutcome completes an acquisition whose reply was lost, with a read
// of the lease. If the write is applied after that read, the lease names this
// daemon as its holder, and isLeaseFree lets this daemon take it again.
func (r *Reader) handleTakeOutcome(call pendingCall, reply object.Reply) {
	r.lease.acquiring = false
	var record leaseRecord
	if reply.Code != result.OK || json.Unmarshal(reply.Object.Data, &record) != nil || record != call.record {
		r.lease.acquireRetry.recordFailure(r.now, r.random)
		return
	}
	call.sentAt = call.takeSentAt
	r.gainLease(call, reply.Object.Version)
}
