package protocol

import (
	"time"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// Action is the kind of an operator's change to a file.
type Action string

// The actions on files.
const (
	ActionSubmit   Action = "submit"
	ActionReplace  Action = "replace"
	ActionWithdraw Action = "withdraw"
)

// Expectation is the revision that the file must still have; the zero value matches
// any revision. It is not a pointer, because gob omits a pointer to zero.
type Expectation struct {
	Given    bool
	Revision uint64
}

// ExpectationOf returns the Expectation for an optional revision.
func ExpectationOf(revision *uint64) Expectation {
	if revision == nil {
		return Expectation{}
	}
	return Expectation{Given: true, Revision: *revision}
}

// SubmitRequest submits an operator's change to a reader.
type SubmitRequest struct {
	Format int
	// Operation identifies the change; a repeated request is applied only once.
	Operation string
	// Partner is the authenticated partner of the operator.
	Partner resource.Partner
	Action  Action
	File    string
	// Expect is the file revision on which the change is based.
	Expect Expectation
	// Content is the file's text; empty for withdraw.
	Content []byte
	// SentAt is the wall-clock time of the daemon that received the request.
	SentAt time.Time
}

// SubmitReply reports the outcome of a change.
type SubmitReply struct {
	Code result.Code
	// Errors are the reasons for a refusal.
	Errors []result.Error
	// Version is the accepted version or, in some refusals, the current one.
	Version  Version
	Revision uint64
	// WaitsFor lists missing references of a held file.
	WaitsFor []string
	// Promoted lists held files accepted by the same version.
	Promoted []string
}

// StatusRequest requests the state of files and versions.
type StatusRequest struct {
	Format  int
	Partner resource.Partner
	// From is set only in a request of one region's root to another region's root;
	// Self is the sender's record.
	From NodeID
	Self Member
	// MemberCursor, Peer and PeerIncarnation restrict the records to those that
	// changed since the last reply of that daemon; used with From.
	MemberCursor    uint64
	Peer            NodeID
	PeerIncarnation Incarnation
}

// FileStatus is the state of one file, for operators and, with Resources, for daemons.
type FileStatus struct {
	Partner    resource.Partner
	Name       string
	Revision   uint64
	Digest     resource.Digest
	Held       bool
	WaitsFor   []string
	AcceptedAt time.Time
	// Version is the version by which this revision was accepted.
	Version Version
	InForce bool
	// Exports are the services of the file that other partners may use.
	Exports []ExportedService
	// Resources are the resources of the file with their digests. They are sent to
	// daemons only: an operator must not see the digest of a secret.
	Resources []ResourceDigest
}

// ExportedService is a service and the other partners that may use it.
type ExportedService struct {
	Name     string
	Partners []resource.Partner
}

// ResourceDigest identifies one resource of a file and its content.
type ResourceDigest struct {
	Kind   resource.Kind
	Name   string
	Digest resource.Digest
}

// ZoneStatus is the progress of one zone.
type ZoneStatus struct {
	Region  string
	Zone    string
	Members uint32
	// Holding is the number of members known to hold the newest version or a later
	// one.
	Holding uint32
	// Minimum is the lowest version in force on any member of the zone that an
	// Acknowledgement covers.
	Minimum Version
	// Behind lists up to MaxListedNodes members that hold only Minimum, if that is
	// not the newest version; Silent lists up to MaxListedNodes suspect members.
	Behind []NodeID
	Silent []NodeID
}

// VersionProgress is the progress of the newest version in all regions, combined from the
// reports of the region roots.
type VersionProgress struct {
	Version    Version
	InForce    Version
	AcceptedAt time.Time
	InForceAt  time.Time
	Zones      []ZoneStatus
	// CutRegions are the regions whose root has not replied recently. They may hold
	// older versions, so no newer version is declared in force.
	CutRegions []string
}

// StatusReply answers a StatusRequest.
type StatusReply struct {
	Code    result.Code
	Summary VersionProgress
	Files   []FileStatus
	Members []Member
	// MemberCursor, From and Incarnation are to be returned in the next request of
	// the same root.
	MemberCursor uint64
	From         NodeID
	Incarnation  Incarnation
}
