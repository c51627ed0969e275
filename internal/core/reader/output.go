package reader

import (
	"time"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
)

// Token pairs a PlatformCall or a StartWatch with what answers it.
type Token uint64

// Ticket is chosen by the owner and pairs a submission or a fresh head read
// with its result.
type Ticket uint64

// Output is something that the owner of a Reader must carry out or hand on.
type Output interface{ output() }

// PlatformCall asks for one call to the platform. The answer, or a
// PlatformUnknown reply after Timeout, goes to HandlePlatformReply.
type PlatformCall struct {
	Token   Token
	Call    object.Call
	Timeout time.Duration
}

// StartWatch asks for a watch of the objects under Prefix after version From.
// Events go to HandleEvent, its end to HandleWatchEnded.
type StartWatch struct {
	Token  Token
	Prefix string
	From   object.Version
}

// StopWatch ends a watch. Events that are still on their way are ignored.
type StopWatch struct{ Token Token }

// SubmitDone answers Submit.
type SubmitResult struct {
	Ticket Ticket
	Reply  *protocol.SubmitReply
}

// HeadRead answers FreshHead. With OK unset the head could not be read and
// Version means nothing.
type FreshHeadResult struct {
	Ticket Ticket
	OK     bool
	// Version is the configuration version of a head read from the platform
	// after FreshHead was called; 0 when the platform certainly has no head.
	Version protocol.Version
	Keepers []protocol.KeeperSet
}

// CatalogueReady hands over a whole version: all contents were loaded and
// their digests checked. It is sent once a version, in growing order, and
// again when held files change at the same version.
type CatalogueReady struct {
	Version     protocol.Version
	Resources   []resource.Encoded
	Files       []protocol.FileStatus
	Keepers     []protocol.KeeperSet
	BatchWindow time.Duration
	AcceptedAt  time.Time
}

// Gained reports that the reader lease is held, with its fencing term.
type LeaseGained struct{ Term uint64 }

// Lost reports that the reader lease is no longer held.
type LeaseLost struct{}

// Event asks for one log line; Name is a stable event name.
type LogEvent struct {
	Name   string
	Fields []LogField
}

// EventField is one key and value of a log line.
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
