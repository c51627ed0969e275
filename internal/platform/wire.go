package platform

import (
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

// The paths of the platform's HTTP interface.
const (
	PathObject   = "/v1/object"
	PathObjects  = "/v1/objects"
	PathMachines = "/v1/machines"
	PathWatch    = "/v1/watch"
)

// The query parameters of the platform's HTTP interface.
const (
	ParameterName   = "name"
	ParameterPrefix = "prefix"
	ParameterExpect = "expect"
	ParameterFrom   = "from"
)

// ClientHeader carries the id of the client, by which the platform counts
// readers.
const ClientHeader = "Platform-Client"

// WireObject is one object in JSON; Data is base64.
type WireObject struct {
	Name    string         `json:"name"`
	Version object.Version `json:"version"`
	Data    []byte         `json:"data,omitempty"`
}

// WireMachine is one entry of the machine list in JSON.
type WireMachine struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
}

// WireValue is the body of a create or update. An empty value is left out.
type WireValue struct {
	Data []byte `json:"data,omitempty"`
}

// WireReply answers every call. Code is authoritative; the HTTP status only
// agrees with it.
type WireReply struct {
	Code        result.Code    `json:"code"`
	Object      *WireObject    `json:"object,omitempty"`
	Objects     []WireObject   `json:"objects,omitempty"`
	ListVersion object.Version `json:"list_version,omitempty"`
	Machines    []WireMachine  `json:"machines,omitempty"`
	// Answered is always true. It tells a reply from a JSON object of something
	// else on the way, such as a proxy's error page.
	Answered bool `json:"answered"`
}

// WireEventKind is the kind of a line of a watch.
type WireEventKind string

// The kinds of lines of a watch.
const (
	WirePut    WireEventKind = "put"
	WireDelete WireEventKind = "delete"
	// WireHeartbeat shows that an idle watch is alive.
	WireHeartbeat WireEventKind = "heartbeat"
	// WireEnd is the last line; Code says why the watch ended.
	WireEnd WireEventKind = "end"
)

// WireEvent is one line of a watch.
type WireEvent struct {
	Kind   WireEventKind `json:"kind"`
	Object *WireObject   `json:"object,omitempty"`
	Code   result.Code   `json:"code,omitempty"`
}

// EncodeObject returns the wire form of an object.
func EncodeObject(o object.Object) *WireObject {
	return &WireObject{Name: o.Name, Version: o.Version, Data: o.Data}
}

func (w WireObject) decode() object.Object {
	return object.Object{Name: w.Name, Version: w.Version, Data: w.Data}
}

// EncodeReply returns the wire form of a reply.
func EncodeReply(reply object.Reply) WireReply {
	wire := WireReply{Code: reply.Code, ListVersion: reply.ListVersion, Answered: true}
	if reply.Object.Name != "" {
		wire.Object = EncodeObject(reply.Object)
	}
	for _, listed := range reply.Objects {
		wire.Objects = append(wire.Objects, *EncodeObject(listed))
	}
	for _, machine := range reply.Machines {
		wire.Machines = append(wire.Machines, WireMachine(machine))
	}
	return wire
}

func (w WireReply) decode() object.Reply {
	reply := object.Reply{Code: w.Code, ListVersion: w.ListVersion}
	if w.Object != nil {
		reply.Object = w.Object.decode()
	}
	for _, listed := range w.Objects {
		reply.Objects = append(reply.Objects, listed.decode())
	}
	for _, machine := range w.Machines {
		reply.Machines = append(reply.Machines, object.Machine(machine))
	}
	return reply
}

// EncodeEvent returns the wire form of a watch event.
func EncodeEvent(event object.Event) WireEvent {
	kind := WirePut
	if event.Kind == object.EventDelete {
		kind = WireDelete
	}
	return WireEvent{Kind: kind, Object: EncodeObject(event.Object)}
}
