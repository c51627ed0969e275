package protocol

import (
	"time"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// Action is what an operator asks for.
type Action string

// The actions on files.
const (
	ActionSubmit   Action = "submit"
	ActionReplace  Action = "replace"
	ActionWithdraw Action = "withdraw"
)

// Expectation is a revision that must still be the file's; the zero value is
// any revision. It is no pointer, since gob drops a pointer to zero.
type Expectation struct {
	Given    bool
	Revision uint64
}

// ExpectationOf turns an optional revision into an Expectation.
func ExpectationOf(revision *uint64) Expectation {
	if revision == nil {
		return Expectation{}
	}
	return Expectation{Given: true, Revision: *revision}
}

// SubmitRequest carries one operator's change to a reader.
type SubmitRequest struct {
	Format int
	// Operation identifies the change; sending it again is safe.
	Operation string
	// Partner is the authenticated partner of the operator.
	Partner resource.Partner
	Action  Action
	File    string
	// Expect is the file revision the operator saw.
	Expect Expectation
	// Content is the file's text; empty for withdraw.
	Content []byte
	// SentAt is the wall clock of the daemon that took the request.
	SentAt time.Time
}

// SubmitReply tells what became of a change.
type SubmitReply struct {
	Code result.Code
	// Errors explain a refusal.
	Errors []result.Error
	// Version is the accepted version, or that of the current winner.
	Version  Version
	Revision uint64
	// WaitsFor lists missing references of a held file.
	WaitsFor []string
	// Promoted lists held files accepted by the same version.
	Promoted []string
}

// StatusRequest asks for the state of files and versions.
type StatusRequest struct {
	Format  int
	Partner resource.Partner
	// From is set by a region's root that asks another region's root; Self is
	// its record.
	From NodeID
	Self Member
	// MemberCursor, Peer and PeerIncarnation ask only for records that changed
	// since the last answer of that daemon; used with From.
	MemberCursor    uint64
	Peer            NodeID
	PeerIncarnation Incarnation
}

// FileStatus is one file as an operator sees it.
type FileStatus struct {
	Partner    resource.Partner
	Name       string
	Revision   uint64
	Digest     resource.Digest
	Held       bool
	WaitsFor   []string
	AcceptedAt time.Time
	// Version is the version that accepted this revision.
	Version Version
	InForce bool
	// Exports are the services of the file that other partners may use.
	Exports []ExportedService
	// Resources are the resources of the file with their digests. They stay
	// between daemons: an operator is never shown the digest of a secret.
	Resources []ResourceDigest
}

// ExportedService is a service and the other partners that may use it.
type ExportedService struct {
	Name     string
	Partners []resource.Partner
}

// ResourceDigest names one resource of a file.
type ResourceDigest struct {
	Kind   resource.Kind
	Name   string
	Digest resource.Digest
}

// ZoneStatus is how far a zone is.
type ZoneStatus struct {
	Region  string
	Zone    string
	Members uint32
	// Holding is how many members are counted at the newest version or later.
	Holding uint32
	Minimum Version
	Behind  []NodeID
	Silent  []NodeID
}

// Summary is what the region roots know together.
type Summary struct {
	Version    Version
	InForce    Version
	AcceptedAt time.Time
	InForceAt  time.Time
	Zones      []ZoneStatus
	// CutRegions are regions whose root has not been heard lately; they may
	// hold older versions, so nothing is called in force there.
	CutRegions []string
}

// StatusReply answers a StatusRequest.
type StatusReply struct {
	Code    result.Code
	Summary Summary
	Files   []FileStatus
	Members []Member
	// MemberCursor, From and Incarnation are for the next request of the same
	// root.
	MemberCursor uint64
	From         NodeID
	Incarnation  Incarnation
}
