// Package object defines the objects, calls and replies of the platform's object
// store as plain values. The platform port in internal/platform executes the
// calls.
package object

import "github.com/springstack/springstack/internal/result"

// Version is an object version. All objects of the platform share one sequence
// of versions, which grows with each change to any of them. 0 means that the
// object does not exist.
type Version uint64

// Object is a named value in the store.
type Object struct {
	// Name is a slash-separated path such as head or content/4f2a.
	Name string
	// Version is the object version at which Data was written.
	Version Version
	// Data is the value, of at most 1 MiB.
	Data []byte
}

// EventKind is the kind of change that a watch event reports.
type EventKind int

// The kinds of watch events.
const (
	EventPut EventKind = iota + 1
	EventDelete
)

// Event is one change reported by a watch. Events may arrive late, twice or out
// of order; Object.Version orders them.
type Event struct {
	Kind   EventKind
	Object Object
}

// CallKind selects the operation of a Call.
type CallKind int

// The operations of the platform's API.
const (
	CallGet CallKind = iota + 1
	// CallList lists the objects with a prefix.
	CallList
	// CallCreate fails with PlatformExists if the object exists.
	CallCreate
	CallUpdate
	CallDelete
	// CallMachines returns the platform's machine list.
	CallMachines
)

// Call is one request to the platform.
type Call struct {
	Kind CallKind
	// Name is the name of the object, or the prefix for CallList.
	Name string
	// Expect is the version that the object must have: CallUpdate and CallDelete
	// fail with PlatformConflict if it has another one.
	Expect Version
	// Data is the value for CallCreate and CallUpdate.
	Data []byte
}

// Machine is one entry of the platform's machine list. The list may be out of
// date.
type Machine struct {
	// ID is the identity of the machine, equal to the daemon's node id.
	ID string
	// Address is the control address, an IP address and port.
	Address string
	Region  string
	Zone    string
	// Leaving is set when the machine is about to be removed.
	Leaving bool
}

// Reply is the result of a Call.
type Reply struct {
	// Code is result.OK or a 5xx code. PlatformUnknown means that the call may
	// have taken effect; PlatformUnavailable means that it did not.
	Code result.Code
	// Object is the result of CallGet, CallCreate and CallUpdate. Data may be
	// empty for the latter two.
	Object Object
	// Objects is the result of CallList.
	Objects []Object
	// ListVersion is the version at which a list of objects or machines was
	// taken; a watch may start from it.
	ListVersion Version
	// Machines is the result of CallMachines.
	Machines []Machine
}
