// Package result defines the numbered result codes of springstack. Codes are
// stable: a number is never reused with another meaning. docs/RESULT-CODES.md
// is the table for operators; a test checks that it matches this package.
package result

import "fmt"

// Code is a stable result number. Codes are grouped by hundreds:
// 0xx success, 1xx files, 2xx acceptance, 3xx distribution, 4xx requests,
// 5xx platform, 6xx settings and access.
type Code int

// Execution states whether the operation or request that got a code was
// executed.
type Execution string

// The values of Execution.
const (
	// RanYes means that it was executed.
	RanYes Execution = "yes"
	// RanNo means that it was not executed, so sending it again can't execute it
	// twice.
	RanNo Execution = "no"
	// RanUnknown means that it may have been executed.
	RanUnknown Execution = "unknown"
)

// Entry describes one code for operators and clients.
type Entry struct {
	// Code is the number, which never changes.
	Code Code
	// Name is a stable identifier in snake case.
	Name string
	// Ran states whether the operation or request was executed.
	Ran Execution
	// Exit is the exit status of the operators' client for this code.
	Exit int
	// HTTPStatus is the status of an HTTP response with the code.
	HTTPStatus int
	// Meaning explains the code to an operator, in one sentence.
	Meaning string
	// Mend is the remedy that an operator can apply.
	Mend string
}

// Error is an error with a code and the place in a file that it concerns. Detail
// never contains the value of a secret.
type Error struct {
	// Code identifies the kind of error.
	Code Code `json:"code"`
	// File is the file that the error concerns, if any.
	File string `json:"file,omitempty"`
	// Line is the 1-based line in File; 0 if unknown.
	Line int `json:"line,omitempty"`
	// Field is the path of the field in File, such as routes[2].match.path.
	Field string `json:"field,omitempty"`
	// Detail describes the error in one sentence.
	Detail string `json:"detail,omitempty"`
	// Mend is the remedy that the sender of the file or request can apply.
	Mend string `json:"mend,omitempty"`
}

// Error returns one line with the code, place, detail and remedy.
func (e *Error) Error() string {
	text := fmt.Sprintf("springstack-%d %s", e.Code, e.Code.Name())
	if e.File != "" {
		text += " " + e.File
	}
	if e.File != "" && e.Line > 0 {
		text += fmt.Sprintf(":%d", e.Line)
	}
	if e.Field != "" {
		text += " " + e.Field
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Mend != "" {
		text += " (" + e.Mend + ")"
	}
	return text
}

// New returns an error with a code and a detail.
func New(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, arguments...)}
}

// Lookup returns the entry of a code.
func Lookup(code Code) (Entry, bool) {
	for _, entry := range entries {
		if entry.Code == code {
			return entry, true
		}
	}
	return Entry{}, false
}

// Name returns the stable identifier of a code, or "unlisted" if the code
// has no entry.
func (c Code) Name() string {
	entry, found := Lookup(c)
	if !found {
		return "unlisted"
	}
	return entry.Name
}

// Entries returns the whole table in ascending order of code.
func Entries() []Entry {
	table := make([]Entry, len(entries))
	copy(table, entries)
	return table
}
