// Package object defines the platform's objects and calls as the core sees
// them: typed values only. The port in internal/platform carries them out.
package object

import "github.com/springstack/springstack/internal/result"

// Version is the platform's object version. It grows with each change to any
// object; 0 means "no such object".
type Version uint64

// Object is one named value.
type Object struct {
	// Name is a slash separated path such as head or content/4f2a.
	Name string
	// Version is the object version at which Data was written.
	Version Version
	// Data is the value; at most the platform's size limit, 1 MiB here.
	Data []byte
}

// EventKind tells what a watch event reports.
type EventKind int

// The kinds of watch events.
const (
	EventPut EventKind = iota + 1
	EventDelete
)

// Event is one change seen by a watch. Events may arrive late, twice or
// crossed; Version orders them.
type Event struct {
	Kind   EventKind
	Object Object
}

// CallKind selects the operation of a Call.
type CallKind int

// The operations of the platform's object API.
const (
	CallGet CallKind = iota + 1
	CallList
	CallCreate
	CallUpdate
	CallDelete
	CallMachines
)

// Call is one request to the platform.
type Call struct {
	Kind CallKind
	// Name is the object, or the prefix for CallList.
	Name string
	// Expect is the version that CallUpdate and CallDelete require.
	Expect Version
	// Data is the value for CallCreate and CallUpdate.
	Data []byte
}

// Machine is one entry of the platform's machine list, which lags.
type Machine struct {
	// ID is the identity of the machine, equal to the daemon's node id.
	ID string
	// Address is the control address, an IP number and port.
	Address string
	Region  string
	Zone    string
	// Leaving is set when the machine is about to be taken away.
	Leaving bool
}

// Reply answers a Call.
type Reply struct {
	// Code is result.OK or a 5xx code. PlatformUnknown means that the effect
	// may have happened; PlatformUnavailable that it certainly did not.
	Code result.Code
	// Object answers CallGet, CallCreate and CallUpdate (Data may be left out).
	Object Object
	// Objects answers CallList.
	Objects []Object
	// ListVersion is the version at which a list or machine list was taken; a
	// watch may start from it.
	ListVersion Version
	// Machines answers CallMachines.
	Machines []Machine
}
