// Package authority holds the ports to an external configuration authority: a
// store, run by somebody else, that has accepted a configuration before a
// daemon hears of it. Versions come from the authority and grow in uneven
// steps. The adapters behind these ports translate; they decide nothing, keep
// nothing and do not try again.
package authority

import (
	"context"
	"time"

	"github.com/springstack/springstack/internal/core/position"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/tenancy"
	"github.com/springstack/springstack/internal/result"
)

// Owner owns all services and routes of an external authority, whose
// configurations name no partners.
const Owner resource.Partner = "platform"

// Document is one accepted configuration as the authority wrote it.
type Document struct {
	// Version is the authority's; 0 means that there is no configuration yet.
	Version protocol.Version
	// Body is the text, immutable.
	Body []byte
}

// Configuration is a document decoded.
type Configuration struct {
	Version  protocol.Version
	Services []resource.Service
	Routes   []resource.Route
	Tenants  []tenancy.Tenant
	Limits   RequestLimits
	// Faults are what the authority has accepted and no daemon can carry out: each names the
	// field. The rest is in force nevertheless.
	Faults []error
}

// RequestLimits bound what callers may send, and how long they may take.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Position is a place in the history of the store's changes. An adapter leaves the era out, as 0,
// where the store's answer did not tell it.
type Position = position.Position

// Reading is what a read or watch brought.
type Reading struct {
	// Code is OK, or why there is nothing: PlatformUnavailable when nothing was
	// answered or done, PlatformCompacted when the history that a watch asked
	// for is gone, UnknownFormat when the document can't be read.
	Code result.Code
	// Detail explains a failure for people.
	Detail string
	// At is the position after what was read.
	At Position
	// Document is the newest configuration read; its version is 0 when there
	// was none.
	Document Document
}

// Err is the failure of a reading; nil for none.
func (r Reading) Err() error {
	if r.Code == result.OK {
		return nil
	}
	return result.New(r.Code, "%s", r.Detail)
}

// Freshness is how new an answer of the store must be.
type Freshness int

// The kinds of freshness.
const (
	// Linearizable answers hold every change that was acknowledged before.
	Linearizable Freshness = iota + 1
	// Lagging answers come from a replica and may be seconds old. They are cheap.
	Lagging
)

// Source reads accepted configurations.
type Source interface {
	// Read returns the newest configuration, as far as the freshness goes.
	Read(ctx context.Context, freshness Freshness) Reading
	// Watch returns as soon as there is a change after a position, or with
	// nothing new when wait has passed. It is cheap and may lag behind Read by
	// seconds, or be silent about a change.
	Watch(ctx context.Context, from Position, wait time.Duration) Reading
	// Decode decodes a document. It fails with a *result.Error that names the
	// field at fault.
	Decode(document Document) (Configuration, error)
}

// Registration is what a daemon leaves in the store so that others find it.
type Registration struct {
	ID protocol.NodeID
	// Address is where it takes control calls.
	Address string
	Zone    string
	Region  string
}

// Registry holds one registration for each daemon.
type Registry interface {
	// List returns all registrations, as far as the freshness goes.
	List(ctx context.Context, freshness Freshness) ([]Registration, error)
	// Find returns the registration of one daemon, as far as the freshness goes; false if there is
	// none that can be read.
	Find(ctx context.Context, id protocol.NodeID, freshness Freshness) (Registration, bool, error)
	// Put writes the registration of a daemon, in place of an earlier one.
	Put(ctx context.Context, registration Registration) error
	// Remove takes a registration away.
	Remove(ctx context.Context, id protocol.NodeID) error
}
