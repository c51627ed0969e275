package reader

import (
	"time"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// Token matches a PlatformCall with its reply, or a StartWatch with its events.
type Token uint64

// Ticket is chosen by the owner and matches a call of Submit or
// RequestFreshHead with its result.
type Ticket uint64

// Output is an action or notification that the owner of a Reader must process.
type Output interface{ output() }

// PlatformCall requests one call to the platform. The reply, or PlatformUnknown
// after Timeout, must be passed to HandlePlatformReply.
type PlatformCall struct {
	Token   Token
	Call    object.Call
	Timeout time.Duration
}

// StartWatch requests a watch of the objects with the prefix, for changes after
// version From. Its events must be passed to HandleEvent, its end to
// HandleWatchEnded.
type StartWatch struct {
	Token  Token
	Prefix string
	From   object.Version
}

// StopWatch ends a watch. Events that arrive later are ignored.
type StopWatch struct{ Token Token }

// SubmitResult is the result of Submit.
type SubmitResult struct {
	Ticket Ticket
	Reply  *protocol.SubmitReply
}

// FreshHeadResult is the result of RequestFreshHead. If OK is unset, the head
// could not be read and Version has no meaning.
type FreshHeadResult struct {
	Ticket Ticket
	OK     bool
	// Version is the configuration version of a head read from the platform
	// after RequestFreshHead was called; 0 if the platform has no head.
	Version protocol.Version
	Keepers []protocol.KeeperSet
}

// CatalogueReady publishes a complete version: all contents were loaded and
// their digests verified. It is emitted once per version, in ascending order,
// and again when held files change at the same version or the lease was lost and
// acquired again.
type CatalogueReady struct {
	Version     protocol.Version
	Resources   []resource.Encoded
	Files       []protocol.FileStatus
	Keepers     []protocol.KeeperSet
	BatchWindow time.Duration
	AcceptedAt  time.Time
}

// LeaseGained reports that the reader lease was acquired, with its fencing term.
type LeaseGained struct{ Term uint64 }

// LeaseLost reports that the reader lease is no longer held.
type LeaseLost struct{}

// LogEvent requests one log line; Name is a stable event name.
type LogEvent struct {
	Name   string
	Fields []LogField
}

// LogField is a key and value of a log line.
type LogField struct {
	Key   string
	Value string
}

func (PlatformCall) output()    {}
func (StartWatch) output()      {}
func (StopWatch) output()       {}
func (SubmitResult) output()    {}
func (FreshHeadResult) output() {}
func (CatalogueReady) output()  {}
func (LeaseGained) output()     {}
func (LeaseLost) output()       {}
func (LogEvent) output()        {}
