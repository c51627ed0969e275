package protocol

import (
	"github.com/springstack/springstack/internal/core/evacuation"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
)

// ExchangeRequest compares the member records of two daemons and tells the
// sender's configuration version. It is sent without Sums first; when the
// totals differ, it is sent again with Sums and the records of the buckets
// that differ.
type ExchangeRequest struct {
	Format int
	// From is the sender, Zone where it is.
	From NodeID
	Zone string
	// Version is the configuration version in force on the sender.
	Version Version
	// Era is the newest era of the store that the sender knows; 0 for none.
	Era uint64
	// Poll asks the receiver to read the store in place of the sender, which it does not answer.
	Poll bool
	// Unregistered tells the receiver that the store holds no registration of it.
	Unregistered bool
	// Total is the sum over all buckets of the sender's records.
	Total uint64
	// Sums are the sums by bucket; empty in the first request.
	Sums []uint64
	// Push says that the records are news and that no comparison is asked for.
	Push bool
	// Relay asks the receiver of a push to broadcast the records in its own zone:
	// always the sender's own record, others if they are news to the receiver.
	Relay bool
	// Forward are the daemons to which the receiver passes a push on.
	Forward []Destination
	// Members are records that the receiver may not know.
	Members []Member
	// Rollouts are the newest orders that the sender knows, one a service.
	Rollouts []rollout.Record
	// Evacuations are the zones to be empty as the sender knows them.
	Evacuations evacuation.SharedOrders
	// Harmful are records of requests that may end the back ends that run them, as far as
	// they are news, HarmfulSum the sum of all that the sender knows.
	Harmful    []quarantine.Record
	HarmfulSum uint64
}

// Destination is a daemon to which a push is passed on.
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
	// StoreFails says that the store does not answer the receiver either; told when it was asked
	// to poll.
	StoreFails bool
	// Sums are the receiver's sums after merging, when its total differs.
	Sums []uint64
	// Members are the receiver's records in the buckets whose sums differ from
	// the request's.
	Members []Member
	// Rollouts are the newest orders that the receiver knows, one a service.
	Rollouts []rollout.Record
	// Evacuations are the zones to be empty as the receiver knows them.
	Evacuations evacuation.SharedOrders
	// Harmful are all records of harmful requests that the receiver knows, when their sum
	// is another one than the sender's.
	Harmful []quarantine.Record
}

// EvidenceRequest asks the daemon beside a back end what its gate has counted since it
// has heard of an order.
type EvidenceRequest struct {
	Format  int
	From    NodeID
	Service resource.ServiceRef
}

// EvidenceReply answers an EvidenceRequest.
type EvidenceReply struct {
	// Software is the version of the back end that runs; empty for none of the service.
	Software string
	// Outstanding are the calls that run or wait at the gate.
	Outstanding int
	Evidence    rollout.Evidence
}

// DocumentRequest asks for a configuration document newer than Have.
type DocumentRequest struct {
	Format int
	From   NodeID
	Have   Version
}

// DocumentReply holds the document in force on the receiver, as the
// configuration authority wrote it. Version is 0 when there is none newer.
type DocumentReply struct {
	Version Version
	// Compressed is the document in the zstd format.
	Compressed []byte
	// Bytes is the length of the document.
	Bytes int
}
