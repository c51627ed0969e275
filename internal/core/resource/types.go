// Package resource holds the typed configuration of springstack: partners'
// files of services, routes, back ends and secrets; how they are parsed,
// validated, related to each other and encoded. It does no input or output.
package resource

import (
	"cmp"
	"fmt"
	"time"
)

// Partner names one of the organisations that share the mesh, for example
// kameeldoring. Names belong to the partner whose file declares them.
type Partner string

// Digest is the lower-case hexadecimal SHA-256 of a canonical encoding.
type Digest string

// Kind tells the four kinds of resources apart.
type Kind string

// The kinds of resources.
const (
	KindService Kind = "service"
	KindBackend Kind = "backend"
	KindSecret  Kind = "secret"
	KindRoute   Kind = "route"
)

// Key names one resource in the whole mesh.
type Key struct {
	Partner Partner
	Kind    Kind
	Name    string
}

// String returns partner/kind/name.
func (k Key) String() string {
	return fmt.Sprintf("%s/%s/%s", k.Partner, k.Kind, k.Name)
}

// Compare orders keys by partner, kind and name: negative, zero or positive.
func (k Key) Compare(other Key) int {
	return cmp.Or(
		cmp.Compare(k.Partner, other.Partner),
		cmp.Compare(k.Kind, other.Kind),
		cmp.Compare(k.Name, other.Name),
	)
}

// Less orders keys by partner, kind and name.
func (k Key) Less(other Key) bool { return k.Compare(other) < 0 }

// FileKey names one submitted file.
type FileKey struct {
	Partner Partner
	Name    string
}

// String returns partner/name.
func (k FileKey) String() string {
	return string(k.Partner) + "/" + k.Name
}

// Compare orders file keys by partner and name: negative, zero or positive.
func (k FileKey) Compare(other FileKey) int {
	return cmp.Or(cmp.Compare(k.Partner, other.Partner), cmp.Compare(k.Name, other.Name))
}

// Preference is a partner's trade between convergence time and control bytes.
type Preference string

// The preferences that a file may state.
const (
	// PreferConvergence distributes each change at once.
	PreferConvergence Preference = "convergence"
	// PreferBytes gathers changes for a batching window.
	PreferBytes Preference = "bytes"
)

// File is one submitted file, parsed. It is applied as a whole.
type File struct {
	Partner      Partner
	Name         string
	Distribution Distribution
	Services     []Service
	Backends     []Backend
	Secrets      []Secret
	Routes       []Route
}

// Key returns the file's key.
func (f *File) Key() FileKey {
	return FileKey{Partner: f.Partner, Name: f.Name}
}

// Distribution is the partner's distribution trade for this file.
type Distribution struct {
	Prefer Preference `json:"prefer"`
	// BatchWindow is how long a change may wait for others; at most 5 s.
	BatchWindow time.Duration `json:"batch_window,omitempty"`
}

// Service is something that calls can be routed to.
type Service struct {
	Partner Partner `json:"-"`
	Name    string  `json:"name"`
	// ExportTo lists the other partners that may use the service, sorted.
	ExportTo []Partner `json:"export_to,omitempty"`
	// HealthPath is probed on the back end; empty means no probe.
	HealthPath string `json:"health_path,omitempty"`
	// LoadPath is where the back end reports its load; empty means none.
	LoadPath string `json:"load_path,omitempty"`
	// WarmUp bounds the calls to a cold back end, and MaxConnections the connections to any
	// one, 0 for no bound. Only an external authority states them.
	WarmUp         WarmUp `json:"-"`
	MaxConnections int    `json:"-"`
}

// WarmUp is what a back end of a service bears while it is cold: after its start, and
// whenever it says that it has become cold again. The zero value bounds nothing.
type WarmUp struct {
	// Duration is how long a back end is cold after its start.
	Duration time.Duration
	// PerSecond is how many calls a second a cold one bears; 0 for any number.
	PerSecond float64
}

// Key returns the resource's key.
func (s Service) Key() Key { return Key{Partner: s.Partner, Kind: KindService, Name: s.Name} }

// ServiceRef points at a service of any partner.
type ServiceRef struct {
	Partner Partner `json:"partner"`
	Name    string  `json:"name"`
}

// Key returns the key of the service pointed at.
func (r ServiceRef) Key() Key { return Key{Partner: r.Partner, Kind: KindService, Name: r.Name} }

// String returns partner/name.
func (r ServiceRef) String() string { return string(r.Partner) + "/" + r.Name }

// Backend is one upstream of a service. Its daemon, the one on the same
// machine, is the only way in.
type Backend struct {
	Partner Partner `json:"-"`
	Name    string  `json:"name"`
	// Service is the service that it serves, of the same partner.
	Service string `json:"service"`
	// Address is the data address of the daemon beside it, an IP and port.
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	// Slots is how many calls it runs at once.
	Slots int `json:"slots"`
}

// Key returns the resource's key.
func (b Backend) Key() Key { return Key{Partner: b.Partner, Kind: KindBackend, Name: b.Name} }

// ServiceRef returns the service that the back end belongs to.
func (b Backend) ServiceRef() ServiceRef { return ServiceRef{Partner: b.Partner, Name: b.Service} }

// Secret is a value that routes of the same partner rely on.
type Secret struct {
	Partner Partner     `json:"-"`
	Name    string      `json:"name"`
	Value   SecretValue `json:"value"`
}

// Key returns the resource's key.
func (s Secret) Key() Key { return Key{Partner: s.Partner, Kind: KindSecret, Name: s.Name} }

// SecretValue is secret text. It never prints itself: logs, errors and status
// show its digest at most. Reveal gives the text to the data path.
type SecretValue string

// String hides the value.
func (SecretValue) String() string { return "[secret]" }

// GoString hides the value.
func (SecretValue) GoString() string { return "[secret]" }

// MarshalText hides the value from encoders; the canonical encoding of a
// secret goes through a type of its own.
func (SecretValue) MarshalText() ([]byte, error) { return []byte("[secret]"), nil }

// Reveal returns the text.
func (v SecretValue) Reveal() string { return string(v) }

// Priority orders calls when there is too much work; higher goes first.
type Priority int

// The priorities that a route may state.
const (
	PriorityLow    Priority = 0
	PriorityNormal Priority = 1
	PriorityHigh   Priority = 2
)

// Route directs matching calls of its partner's callers to services.
type Route struct {
	Partner Partner `json:"-"`
	Name    string  `json:"name"`
	Match   Match   `json:"match"`
	// Split lists destinations; weights are relative and at least 1.
	Split []Destination `json:"split"`
	// Secret is put on the request to the back end; nil means none.
	Secret *SecretUse `json:"secret,omitempty"`
	// Timeout bounds the whole call; 0 means the default of 15 s.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Target is the time within which an answer is of full use; 0 when none is
	// stated.
	Target time.Duration `json:"target,omitempty"`
	// Repeatable says that running a call twice does no harm. When the file
	// leaves it out, GET and HEAD are repeatable and all others are not.
	Repeatable *bool `json:"repeatable,omitempty"`
	// RetryAttempts is the most attempts of one call, the first included.
	RetryAttempts int      `json:"retry_attempts,omitempty"`
	Priority      Priority `json:"priority"`
	// RequestKeyHeader names a header whose value identifies the operation, so
	// that a gate refuses a second start within its window. Empty means none.
	RequestKeyHeader string `json:"request_key_header,omitempty"`
	// AllowedRegions are the regions in which calls may run and their bodies may be held;
	// nil allows all, an empty list none. Only an external authority states them.
	AllowedRegions []string `json:"-"`
}

// Key returns the resource's key.
func (r Route) Key() Key { return Key{Partner: r.Partner, Kind: KindRoute, Name: r.Name} }

// Match says which calls a route takes. All conditions must hold. The most
// specific route wins: exact path before longest prefix, then host, then more
// methods and headers given, then name.
type Match struct {
	// Host is compared without case and port; empty matches every host.
	Host string `json:"host,omitempty"`
	// Path is matched exactly when set.
	Path string `json:"path,omitempty"`
	// PathPrefix matches whole segments when Path is empty.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Methods lists methods, sorted; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// Headers must all be present with the given value.
	Headers []HeaderMatch `json:"headers,omitempty"`
}

// HeaderMatch requires a header to have a value.
type HeaderMatch struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Destination is one weighted target of a route.
type Destination struct {
	Service ServiceRef `json:"service"`
	Weight  int        `json:"weight"`
}

// SecretUse says which secret is sent in which header.
type SecretUse struct {
	Name   string `json:"name"`
	Header string `json:"header"`
}

// Resource is any of Service, Backend, Secret and Route.
type Resource interface {
	// Key names the resource in the whole mesh.
	Key() Key
}

// Encoded is one resource in its canonical encoding, as it is stored in
// snapshots and sent between daemons. Payload is immutable and shared.
type Encoded struct {
	Key     Key
	Digest  Digest
	Payload []byte
}
