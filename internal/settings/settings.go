// Package settings reads the settings file of springstackd, applies overrides
// from flags, and lists every mistake at once.
package settings

import (
	"time"

	"github.com/springstack/springstack/internal/core/node"
)

// Settings is all that a daemon is told at its start.
type Settings struct {
	Node      Node      `koanf:"node" validate:"required"`
	Listen    Listen    `koanf:"listen" validate:"required"`
	Mesh      Mesh      `koanf:"mesh"`
	Backend   Backend   `koanf:"backend"`
	Platform  Platform  `koanf:"platform" validate:"required"`
	Operators Operators `koanf:"operators"`
	TLS       TLS       `koanf:"tls"`
	Limits    Limits    `koanf:"limits"`
	Drain     Drain     `koanf:"drain"`
	Log       Log       `koanf:"log"`
	Timing    Timing    `koanf:"timing"`
}

// Node is who the daemon is and where its machine stands.
type Node struct {
	// ID is the stable identity of the machine, as in the machine list.
	ID string `koanf:"id" validate:"required,name"`
	// Region is the group of zones that distributes by itself when cut off.
	Region string `koanf:"region" validate:"required,name"`
	// Zone is the part of the region that fails as one.
	Zone string `koanf:"zone" validate:"required,name"`
}

// Listen holds the addresses that the daemon listens on, as IP:port. A port
// of 0 takes any free port.
type Listen struct {
	// Callers takes calls from the callers of this machine.
	Callers string `koanf:"callers" validate:"required,address"`
	// Gate takes calls from other daemons for the back end of this machine.
	Gate string `koanf:"gate" validate:"required,address"`
	// Control takes net/rpc calls from other daemons.
	Control string `koanf:"control" validate:"required,address"`
	// Operators serves the operators' API.
	Operators string `koanf:"operators" validate:"required,address"`
	// Admin serves liveness, readiness and metrics.
	Admin string `koanf:"admin" validate:"required,address"`
}

// Mesh says whom the daemon talks to and what its callers may reach.
type Mesh struct {
	// Seeds are control addresses of some daemons.
	Seeds []string `koanf:"seeds" validate:"dive,target"`
	// Partners are the partners whose callers use this daemon.
	Partners []string `koanf:"partners" validate:"dive,name"`
	// Services limits what the callers may reach, each partner/name; empty for
	// all that the partners' routes lead to.
	Services []string `koanf:"services" validate:"dive,reference"`
}

// Backend names the back end beside the daemon; all empty for none.
type Backend struct {
	// Partner owns the back end and its service.
	Partner string `koanf:"partner" validate:"required_with=Address,omitempty,name"`
	// Service is what the back end serves.
	Service string `koanf:"service" validate:"required_with=Address,omitempty,name"`
	// Name is the back end's name in its partner's file.
	Name string `koanf:"name" validate:"required_with=Address,omitempty,name"`
	// Address is where the back end listens.
	Address string `koanf:"address" validate:"required_with=Name,omitempty,target"`
	// Slots is how many calls the back end runs at once.
	Slots int `koanf:"slots" validate:"required_with=Address,omitempty,min=1,max=10000"`
}

// Present tells whether there is a back end beside the daemon.
func (b Backend) Present() bool { return b.Address != "" }

// Platform is where the platform's service is.
type Platform struct {
	// URL is its base, http or https, with an IP number.
	URL string `koanf:"url" validate:"required,baseurl"`
}

// Operators says who may use the operators' API.
type Operators struct {
	// Tokens lists the tokens taken.
	Tokens []Token `koanf:"tokens" validate:"dive"`
}

// Token lets the bearer of a token act for a partner. Only its digest is kept.
type Token struct {
	// Partner is for whom the bearer acts.
	Partner string `koanf:"partner" validate:"required,name"`
	// SHA256 is the digest of the token, 64 lower-case hexadecimal digits.
	SHA256 string `koanf:"sha256" validate:"required,digest"`
}

// TLS names the PEM files that guard the control and operators' ports. They
// are read again when they change.
type TLS struct {
	// Certificate is this daemon's own. It names the node id as its common name
	// or as the URI springstack://node/ID.
	Certificate string `koanf:"certificate" validate:"required_with=Key Authority"`
	// Key is the certificate's private key.
	Key string `koanf:"key" validate:"required_with=Certificate"`
	// Authority holds the certificates that peers' certificates are checked by.
	Authority string `koanf:"authority" validate:"required_with=Certificate"`
	// AllowInsecure lets the daemon listen beyond loopback without TLS.
	AllowInsecure bool `koanf:"allow_insecure"`
}

// Enabled tells whether certificates are given.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Limits bounds what one daemon takes on.
type Limits struct {
	// BodyBytes bounds the body of a request, in bytes.
	BodyBytes int64 `koanf:"body_bytes" validate:"min=1024,max=17179869184"`
	// HeaderBytes bounds the headers of a request, in bytes.
	HeaderBytes int `koanf:"header_bytes" validate:"min=1024,max=1048576"`
	// Connections bounds the connections open to each listening address.
	Connections int `koanf:"connections" validate:"min=1,max=1000000"`
	// Queue bounds the calls that wait for a slot of the back end.
	Queue int `koanf:"queue" validate:"min=0,max=100000"`
}

// Drain bounds a planned stop.
type Drain struct {
	// Bound is when calls still running are cut, with a code of their own.
	Bound time.Duration `koanf:"bound" validate:"min=1s,max=24h"`
	// Settle is how long the daemon stays after its last call, so that the mesh
	// hears of the drain.
	Settle time.Duration `koanf:"settle" validate:"min=0s,max=5m"`
}

// Log says what is logged.
type Log struct {
	// Level is the least level of the lines written.
	Level string `koanf:"level" validate:"oneof=debug info warn error"`
}

// Timing overrides the periods of the node core; a period that is left out
// keeps its default. It is meant for tests: all daemons of a mesh need the same
// values.
type Timing struct {
	// FetchWait is how long a parent may hold a fetch open.
	FetchWait time.Duration `koanf:"fetch_wait" validate:"omitempty,min=10ms,max=1m"`
	// ServingLease is how long a daemon serves without word from the mesh.
	ServingLease time.Duration `koanf:"serving_lease" validate:"omitempty,min=100ms,max=10m"`
	// DeadAfter is when a silent member is no longer counted; at least three
	// serving leases.
	DeadAfter time.Duration `koanf:"dead_after" validate:"omitempty,min=300ms,max=1h"`
	// ReaderLease is how long a reader lease lasts on the platform.
	ReaderLease time.Duration `koanf:"reader_lease" validate:"omitempty,min=100ms,max=10m"`
}

// Effective returns the node core's periods: its defaults, overridden.
func (t Timing) Effective() node.Timing {
	effective := node.DefaultTiming()
	override(&effective.FetchWait, t.FetchWait)
	override(&effective.ServingLease, t.ServingLease)
	override(&effective.DeadAfter, t.DeadAfter)
	override(&effective.ReaderLease, t.ReaderLease)
	return effective
}

func override(period *time.Duration, given time.Duration) {
	if given > 0 {
		*period = given
	}
}

// Default returns the settings before the file and the overrides are applied.
func Default() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:   256 << 20,
			HeaderBytes: 64 << 10,
			Connections: 4096,
			Queue:       64,
		},
		Drain: Drain{Bound: 30 * time.Second, Settle: 2 * time.Second},
		Log:   Log{Level: "info"},
	}
}
