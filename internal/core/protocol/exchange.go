package protocol

import (
	"time"

	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
)

// ExchangeRequest is an anti-entropy request that compares the member records of two
// daemons and carries the sender's configuration version. It is first sent without
// Sums; when the totals differ, it is sent again with Sums and the records of the
// buckets that differ.
type ExchangeRequest struct {
	Format int
	// From is the sender, Zone its zone.
	From NodeID
	Zone string
	// Version is the configuration version in force on the sender.
	Version Version
	// Era is the newest era of the configuration store that the sender knows; 0 for
	// none.
	Era uint64
	// Poll requests that the receiver read the store, which does not answer the sender.
	Poll bool
	// Unregistered reports that the configuration store holds no registration of the
	// receiver.
	Unregistered bool
	// Total is the sum of the sender's record checksums over all buckets.
	Total uint64
	// Sums are the checksums by bucket; empty in the first request.
	Sums []uint64
	// Push marks a broadcast of changed records, for which no comparison is requested.
	Push bool
	// Relay requests that the receiver of a push broadcast the records in its own zone:
	// always the sender's own record and those of Harmful, others only if they are new to the
	// receiver.
	Relay bool
	// Forward are the daemons to which the receiver forwards a push.
	Forward []Destination
	// Members are records that the receiver may not know.
	Members []Member
	// Rollouts are the newest rollout orders that the sender knows, one per service.
	Rollouts []rollout.Record
	// Evacuations are the evacuated zones as the sender knows them.
	Evacuations evacuation.SharedOrders
	// Harmful are records of harmful requests that the receiver may not know. A harmful
	// request may end the back-end instance that runs it. HarmfulSum is the checksum of
	// all such records that the sender knows.
	Harmful    []quarantine.Record
	HarmfulSum uint64
}

// Destination is a daemon to which a push is forwarded.
type Destination struct {
	ID      NodeID
	Address string
}

// ExchangeReply answers an ExchangeRequest.
type ExchangeReply struct {
	// Version is the configuration version in force on the receiver.
	Version Version
	// Era is the newest era of the store that the receiver knows; 0 for none.
	Era uint64
	// StoreFails reports that the store does not answer the receiver either; set only in
	// reply to Poll.
	StoreFails bool
	// Sums are the receiver's checksums after merging, if its total differs.
	Sums []uint64
	// Members are the receiver's records in the buckets whose sums differ from
	// the request's.
	Members []Member
	// Rollouts are the newest rollout orders that the receiver knows, one per service.
	Rollouts []rollout.Record
	// Evacuations are the evacuated zones as the receiver knows them.
	Evacuations evacuation.SharedOrders
	// Harmful are all records of harmful requests that the receiver knows, in reply to a
	// comparison if their checksum differs from the sender's.
	Harmful []quarantine.Record
}

// EvidenceRequest requests what the admission gate of the receiver's back end has counted
// since the receiver learnt of a rollout order.
type EvidenceRequest struct {
	Format  int
	From    NodeID
	Service resource.ServiceRef
}

// EvidenceReply answers an EvidenceRequest.
type EvidenceReply struct {
	// Software is the software version of the running back end; empty if none of the
	// service runs there.
	Software string
	// Outstanding is the number of calls that run or are queued at the gate.
	Outstanding int
	Evidence    rollout.Evidence
}

// DocumentRequest requests a configuration document newer than Have.
type DocumentRequest struct {
	Format int
	From   NodeID
	Have   Version
}

// DocumentReply holds the document in force on the receiver, as written by the
// configuration authority. Version is 0 if it is not newer.
type DocumentReply struct {
	Version Version
	// Compressed is the document in the zstd format.
	Compressed []byte
	// Bytes is the uncompressed length of the document.
	Bytes int
}

// QuotaRequest requests a lease of calls that a tenant may send, from the daemon that keeps the
// tenant's counter.
type QuotaRequest struct {
	Format int
	From   NodeID
	Tenant string
	// Shard is the counter among the Shards of the tenant; see quota.Shard.
	Shard  int
	Shards int
	// Wanted is the number of calls that the sender expects to pass.
	Wanted int
}

// QuotaReply answers a QuotaRequest.
type QuotaReply struct {
	// IsCounter is false if the receiver does not keep the counter of the tenant.
	IsCounter bool
	// Tokens is the number of leased calls. If it is 0, RetryAfter is when to ask again.
	Tokens     int
	RetryAfter time.Duration
}
