// Package resource defines the configuration of springstack: files in which
// partners declare services, routes, back ends and secrets. It parses, validates
// and encodes files and checks the references between them. It does no input or
// output.
package resource

import (
	"cmp"
	"fmt"
	"time"
)

// Partner is the name of one of the organisations that share the mesh, for example
// kameeldoring. Each partner has its own name space for files and resources.
type Partner string

// Digest is the lower-case hexadecimal SHA-256 of a canonical encoding.
type Digest string

// Kind is the kind of a resource.
type Kind string

// The kinds of resources.
const (
	KindService Kind = "service"
	KindBackend Kind = "backend"
	KindSecret  Kind = "secret"
	KindRoute   Kind = "route"
)

// Key identifies a resource throughout the mesh.
type Key struct {
	Partner Partner
	Kind    Kind
	Name    string
}

// String returns partner/kind/name.
func (k Key) String() string {
	return fmt.Sprintf("%s/%s/%s", k.Partner, k.Kind, k.Name)
}

// Compare compares keys by partner, then kind, then name. The result is negative, zero
// or positive if k is less than, equal to or greater than other.
func (k Key) Compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.Partner, other.Partner),
		cmp.Compare(k.Kind, other.Kind),
		cmp.Compare(k.Name, other.Name),
	)
}

// Less reports whether k precedes other in the order of Compare.
func (k Key) Less(other Key) bool { return k.Compare(other) < 0 }

// FileKey identifies a submitted file.
type FileKey struct {
	Partner Partner
	Name    string
}

// String returns partner/name.
func (k FileKey) String() string {
	return string(k.Partner) + "/" + k.Name
}

// Compare compares file keys by partner, then name. The result is negative, zero or
// positive if k is less than, equal to or greater than other.
func (k FileKey) Compare(other FileKey) int {
	return cmp.Or(cmp.Compare(k.Partner, other.Partner), cmp.Compare(k.Name, other.Name))
}

// Preference is a partner's choice between fast convergence and few bytes of control
// traffic.
type Preference string

// The preferences that a file may state.
const (
	// PreferConvergence distributes each change at once.
	PreferConvergence Preference = "convergence"
	// PreferBytes saves bytes: it collects changes for a batching window before
	// distributing them.
	PreferBytes Preference = "bytes"
)

// File is a parsed file. It is applied as a whole.
type File struct {
	Partner      Partner
	Name         string
	Distribution Distribution
	Services     []Service
	Backends     []Backend
	Secrets      []Secret
	Routes       []Route
}

// Key returns the partner and name that identify the file.
func (f *File) Key() FileKey {
	return FileKey{Partner: f.Partner, Name: f.Name}
}

// Distribution holds the settings for the distribution of a file.
type Distribution struct {
	Prefer Preference `json:"prefer"`
	// BatchWindow is the maximum time for which a change is delayed in order to be
	// distributed together with other changes; at most 5 s.
	BatchWindow time.Duration `json:"batch_window,omitempty"`
}

// Service is a destination of routes, served by back ends.
type Service struct {
	Partner Partner `json:"-"`
	Name    string  `json:"name"`
	// ExportTo lists the other partners that may use the service, sorted.
	ExportTo []Partner `json:"export_to,omitempty"`
	// HealthPath is the path of health probes on the back end; empty means no probes.
	HealthPath string `json:"health_path,omitempty"`
	// LoadPath is the path at which the back end reports its load; empty means none.
	LoadPath string `json:"load_path,omitempty"`
	// WarmUp limits the calls to a cold back end; MaxConnections is the maximum number of
	// connections to any back end, 0 for no limit. Both can be set by an external
	// authority only, not in files.
	WarmUp         WarmUp `json:"-"`
	MaxConnections int    `json:"-"`
}

// WarmUp limits the calls to a service's back ends while they are cold: after their start,
// and whenever they report that they have become cold again. The zero value sets no
// limit.
type WarmUp struct {
	// Duration is the time for which a back end is cold after its start.
	Duration time.Duration
	// PerSecond is the maximum number of calls per second to a cold back end; 0 means no
	// limit.
	PerSecond float64
}

// Key returns the partner, kind and name that identify the service.
func (s Service) Key() Key { return Key{Partner: s.Partner, Kind: KindService, Name: s.Name} }

// ServiceRef refers to a service of any partner.
type ServiceRef struct {
	Partner Partner `json:"partner"`
	Name    string  `json:"name"`
}

// Key returns the partner, kind and name that identify the service.
func (r ServiceRef) Key() Key { return Key{Partner: r.Partner, Kind: KindService, Name: r.Name} }

// String returns partner/name.
func (r ServiceRef) String() string { return string(r.Partner) + "/" + r.Name }

// Backend is one upstream of a service. It is reached only through the daemon on
// the same machine.
type Backend struct {
	Partner Partner `json:"-"`
	Name    string  `json:"name"`
	// Service is the name of the service, which belongs to the same partner.
	Service string `json:"service"`
	// Address is the IP address and port at which the daemon on the same machine
	// accepts calls.
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	// Slots is the maximum number of calls that the back end runs at once.
	Slots int `json:"slots"`
}

// Key returns the partner, kind and name that identify the back end.
func (b Backend) Key() Key { return Key{Partner: b.Partner, Kind: KindBackend, Name: b.Name} }

// ServiceRef returns the service that the back end belongs to.
func (b Backend) ServiceRef() ServiceRef { return ServiceRef{Partner: b.Partner, Name: b.Service} }

// Secret is a confidential value that routes of the same partner send to back ends.
type Secret struct {
	Partner Partner     `json:"-"`
	Name    string      `json:"name"`
	Value   SecretValue `json:"value"`
}

// Key returns the partner, kind and name that identify the secret.
func (s Secret) Key() Key { return Key{Partner: s.Partner, Kind: KindSecret, Name: s.Name} }

// SecretValue is the text of a secret. Formatting and encoding it yields a
// placeholder, so that logs, errors and status contain its digest at most. The data
// path obtains the text with Reveal.
type SecretValue string

// String returns a placeholder instead of the value.
func (SecretValue) String() string { return "[secret]" }

// GoString returns a placeholder instead of the value.
func (SecretValue) GoString() string { return "[secret]" }

// MarshalText returns a placeholder instead of the value. The canonical encoding of
// secrets uses secretWire instead.
func (SecretValue) MarshalText() ([]byte, error) { return []byte("[secret]"), nil }

// Reveal returns the text of the secret.
func (v SecretValue) Reveal() string { return string(v) }

// Priority is the precedence of calls under overload; higher values go first.
type Priority int

// The priorities that a route may state.
const (
	PriorityLow    Priority = 0
	PriorityNormal Priority = 1
	PriorityHigh   Priority = 2
)

// PriorityCount is the number of priorities that a route may state.
const PriorityCount = PriorityHigh + 1

// CallPriorityCount is the number of priorities that calls may have: those of routes, followed by
// those that ForTenant returns.
const CallPriorityCount = PriorityCount + PriorityCount*PriorityCount

// ForTenant returns the priority of a tenant's call on a route with priority p. Calls of a tenant
// with a higher priority precede those of all other tenants, whatever their routes.
func (p Priority) ForTenant(tenant Priority) Priority { return (tenant+1)*PriorityCount + p }

// Class reduces the priority of a call to one that a route may state. The tenant's priority decides,
// and the route's only for tenants of PriorityNormal.
func (p Priority) Class() Priority {
	if p < PriorityCount {
		return p
	}
	route, tenant := p%PriorityCount, p/PriorityCount-1
	if tenant != PriorityNormal {
		return min(tenant, PriorityHigh)
	}
	return route
}

// Route directs matching calls of its partner's callers to services.
type Route struct {
	Partner Partner `json:"-"`
	Name    string  `json:"name"`
	Match   Match   `json:"match"`
	// Split lists destinations; weights are relative and at least 1.
	Split []Destination `json:"split"`
	// Secret is sent in a header of the request to the back end; nil means none.
	Secret *SecretUse `json:"secret,omitempty"`
	// Timeout is the time limit of the whole call; 0 means the default of 15 s.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Target is the response time that callers expect; 0 means none. A gate refuses a
	// call that would probably miss it because of the wait in the queue.
	Target time.Duration `json:"target,omitempty"`
	// Repeatable states whether a call may safely run twice. If it is nil, GET and
	// HEAD are repeatable and all other methods are not.
	Repeatable *bool `json:"repeatable,omitempty"`
	// RetryAttempts is the maximum number of attempts of a call, including the
	// first; 0 means the default.
	RetryAttempts int      `json:"retry_attempts,omitempty"`
	Priority      Priority `json:"priority"`
	// RequestKeyHeader is the name of a header whose value identifies the operation
	// (an idempotency key). A gate refuses to start an operation twice within its
	// key window. Empty means none.
	RequestKeyHeader string `json:"request_key_header,omitempty"`
	// AllowedRegions lists the regions in which calls may run and their bodies may be
	// stored; nil allows all regions, an empty list none. It can be set by an external
	// authority only, not in files.
	AllowedRegions []string `json:"-"`
	// Public allows calls without an API key. It can be set by an external authority only,
	// not in files.
	Public bool `json:"-"`
}

// Key returns the partner, kind and name that identify the route.
func (r Route) Key() Key { return Key{Partner: r.Partner, Kind: KindRoute, Name: r.Name} }

// Match holds the conditions of a route, all of which a call must meet. The most
// specific matching route wins: an exact path takes precedence over the longest
// prefix. Among routes with the same path, those with a host come first, then those
// that list more methods and headers in total; the remaining ties are broken by name
// and partner.
type Match struct {
	// Host is compared without case and port; empty matches every host.
	Host string `json:"host,omitempty"`
	// Path matches the whole path if it is not empty.
	Path string `json:"path,omitempty"`
	// PathPrefix matches whole leading segments if Path is empty.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Methods lists methods, sorted; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// Headers lists headers that must be present with the given values.
	Headers []HeaderMatch `json:"headers,omitempty"`
}

// HeaderMatch is the condition that a header has a given value.
type HeaderMatch struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Destination is a service to which a route sends a weighted share of its calls.
type Destination struct {
	Service ServiceRef `json:"service"`
	Weight  int        `json:"weight"`
}

// SecretUse states in which header a route sends a secret.
type SecretUse struct {
	// Name is the name of a secret of the route's partner.
	Name   string `json:"name"`
	Header string `json:"header"`
}

// Resource is any of Service, Backend, Secret and Route.
type Resource interface {
	// Key identifies the resource throughout the mesh.
	Key() Key
}

// Encoded is a resource in its canonical encoding, as stored in snapshots and sent
// between daemons. Payload is shared and must not be changed.
type Encoded struct {
	Key     Key
	Digest  Digest
	Payload []byte
}
