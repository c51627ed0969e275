// Package message defines the JSON of the operators' API. The server and the
// operators' client share it.
package message

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// Answer tells what became of a change, or why a call was refused. It is the
// body of every refusal of the API.
type Answer struct {
	// Code and Name identify the result; docs/RESULT-CODES.md lists them.
	Code result.Code `json:"code" doc:"Numbered result code"`
	Name string      `json:"name" doc:"Stable name of the code"`
	// Ran says whether the change took effect: yes, no or unknown.
	Ran result.Execution `json:"ran" enum:"yes,no,unknown" doc:"Whether the change took effect"`
	// Operation is the operation id; sending it again is safe.
	Operation string `json:"operation,omitempty" doc:"Operation id; sending it again is safe"`
	// Version is the accepted version, or that of the winner of a race.
	Version uint64 `json:"version,omitempty" doc:"Accepted version, or the winner's"`
	// Revision is the file's revision, or that of the winner of a race.
	Revision uint64 `json:"revision,omitempty" doc:"Revision of the file, or the winner's"`
	// WaitsFor lists what a held file waits for.
	WaitsFor []string `json:"waits_for,omitempty" doc:"What a held file waits for"`
	// Promoted lists held files accepted by the same version.
	Promoted []string  `json:"promoted,omitempty" doc:"Held files accepted by the same version"`
	Errors   []Problem `json:"errors,omitempty" doc:"Why the call was refused"`
}

// Problem is one reason of a refusal.
type Problem struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	File   string      `json:"file,omitempty"`
	Line   int         `json:"line,omitempty"`
	Field  string      `json:"field,omitempty"`
	Detail string      `json:"detail,omitempty"`
	Mend   string      `json:"mend,omitempty"`
}

// Refusal returns an answer with one reason, whose mend is the code's.
func Refusal(code result.Code, detail string) Answer {
	entry, _ := result.Lookup(code)
	answer := Coded(code)
	answer.Errors = []Problem{{Code: code, Name: entry.Name, Detail: detail, Mend: entry.Mend}}
	return answer
}

// Coded returns an answer that carries only a code.
func Coded(code result.Code) Answer {
	entry, _ := result.Lookup(code)
	return Answer{Code: code, Name: entry.Name, Ran: entry.Ran}
}

// FromReply returns the answer for a reader's reply to an operation.
func FromReply(operation string, reply *protocol.SubmitReply) Answer {
	answer := Coded(reply.Code)
	answer.Operation = operation
	answer.Version = uint64(reply.Version)
	answer.Revision = reply.Revision
	answer.WaitsFor = reply.WaitsFor
	answer.Promoted = reply.Promoted
	answer.Errors = Problems(reply.Errors)
	entry, _ := result.Lookup(reply.Code)
	if len(answer.Errors) == 0 && entry.Exit != 0 {
		answer.Errors = []Problem{{Code: reply.Code, Name: entry.Name, Detail: entry.Meaning, Mend: entry.Mend}}
	}
	return answer
}

// Problems converts errors.
func Problems(errors []result.Error) []Problem {
	return lo.Map(errors, func(problem result.Error, _ int) Problem {
		return Problem{
			Code:   problem.Code,
			Name:   problem.Code.Name(),
			File:   problem.File,
			Line:   problem.Line,
			Field:  problem.Field,
			Detail: problem.Detail,
			Mend:   problem.Mend,
		}
	})
}

// Err converts a problem back to an error.
func (p Problem) Err() *result.Error {
	return &result.Error{Code: p.Code, File: p.File, Line: p.Line, Field: p.Field, Detail: p.Detail, Mend: p.Mend}
}

// Change is the JSON form of a submission.
type Change struct {
	Operation string `json:"operation" doc:"Operation id: <unix milliseconds>-<random hex>"`
	// Action is submit or replace.
	Action string `json:"action" enum:"submit,replace"`
	// Expect is the revision that the operator saw; left out for any.
	Expect *uint64 `json:"expect,omitempty"`
	// Content is the file's text.
	Content string `json:"content"`
}

// Status is the state of the mesh.
type Status struct {
	// Partial is set to a code's name when no reader could be asked: it is then
	// only what the daemon knows by itself, and files may be missing.
	Partial    string     `json:"partial,omitempty" doc:"Why this is only what one daemon knows"`
	Version    uint64     `json:"version" doc:"Newest accepted version"`
	InForce    uint64     `json:"in_force" doc:"Newest version in force on every counted proxy"`
	AcceptedAt *time.Time `json:"accepted_at,omitempty"`
	InForceAt  *time.Time `json:"in_force_at,omitempty"`
	Zones      []Zone     `json:"zones"`
	// CutRegions have not been heard lately; nothing is called in force there.
	CutRegions []string `json:"cut_regions,omitempty"`
	Files      []File   `json:"files"`
}

// Zone is how far a zone is.
type Zone struct {
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Members uint32 `json:"members"`
	// Holding counts members at the newest version or later.
	Holding uint32 `json:"holding"`
	Minimum uint64 `json:"minimum" doc:"Lowest version in force in the zone"`
	// Behind and Silent name some members.
	Behind []string `json:"behind,omitempty"`
	Silent []string `json:"silent,omitempty"`
}

// File is one revision of a file.
type File struct {
	Partner  string `json:"partner"`
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
	// Digest covers the whole file and is shown to its own partner only.
	Digest     string     `json:"digest,omitempty"`
	State      FileState  `json:"state" enum:"held,accepted,in_force"`
	Version    uint64     `json:"version,omitempty" doc:"Version that accepted this revision"`
	AcceptedAt *time.Time `json:"accepted_at,omitempty"`
	WaitsFor   []string   `json:"waits_for,omitempty"`
	// Exports are the services that other partners may use; in another partner's
	// file, those that the caller may use.
	Exports []string `json:"exports,omitempty"`
}

// FileState is how far a revision is.
type FileState string

// The states of a revision.
const (
	FileHeld     FileState = "held"
	FileAccepted FileState = "accepted"
	FileInForce  FileState = "in_force"
)

// Files lists files.
type Files struct {
	Files []File `json:"files"`
}

// Member is one daemon.
type Member struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Reader   bool   `json:"reader"`
	Service  string `json:"service,omitempty"`
	Backend  string `json:"backend,omitempty"`
	Endpoint string `json:"endpoint,omitempty"`
	Slots    int    `json:"slots,omitempty"`
}

// Members lists daemons.
type Members struct {
	Members []Member `json:"members"`
}

// Difference compares one resource of a file with what is accepted. Digests
// are left out for secrets, which are only told to be equal or not.
type Difference struct {
	Kind   string           `json:"kind"`
	Name   string           `json:"name"`
	Change DifferenceChange `json:"change" enum:"added,removed,changed,same"`
	Held   string           `json:"held,omitempty" doc:"Digest of what is accepted"`
	Local  string           `json:"local,omitempty" doc:"Digest of what was sent"`
}

// DifferenceChange says how a resource differs.
type DifferenceChange string

// The ways in which a resource differs.
const (
	DifferenceAdded   DifferenceChange = "added"
	DifferenceRemoved DifferenceChange = "removed"
	DifferenceChanged DifferenceChange = "changed"
	DifferenceSame    DifferenceChange = "same"
)

// Differences compares a file with its accepted revision.
type Differences struct {
	Partner string `json:"partner"`
	Name    string `json:"name"`
	// Revision is the accepted revision; 0 when there is none.
	Revision uint64 `json:"revision"`
	// Identical is set when the whole file, its distribution included, is what
	// is accepted.
	Identical   bool         `json:"identical"`
	Differences []Difference `json:"differences"`
}
