// Package tenancy identifies the tenant of a request by its API key. Keys are kept as digests
// only. The package does no input or output and reads no clock.
package tenancy

import (
	"crypto/sha256"
	"math"
	"slices"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

// MaxKeyBytes is the maximum length of an API key.
const MaxKeyBytes = 256

// KeyDigest is the SHA-256 digest of an API key. Keys are compared by their digests, so that the
// time of a comparison does not depend on where two keys differ.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Quota is the rate of requests that a tenant may send, over all daemons together.
type Quota struct {
	// PerSecond is the sustained rate; 0 means no limit.
	PerSecond float64
	// Burst is the number of requests that may be sent at once on top of the rate.
	Burst float64
}

// IsLimited reports whether the quota states a limit.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Tenant is a party whose requests are identified by its API keys.
type Tenant struct {
	Name string
	Keys []KeyDigest
	// Priority precedes the priority of the route.
	Priority resource.Priority
	Quota    Quota
}

// Directory finds tenants by their keys. It is immutable; a nil Directory has no tenants, and
// then requests are not identified.
type Directory struct {
	tenants []*Tenant
	byName  map[string]*Tenant
	byKey   map[KeyDigest]*Tenant
}

// NewDirectory returns the directory of tenants; nil if there are none. It fails with a
// *result.Error if a name or a key is used twice or if a quota is not valid. The error never
// contains a key.
func NewDirectory(tenants []Tenant) (*Directory, error) {
	if len(tenants) == 0 {
		return nil, nil
	}
	directory := &Directory{
		byName: make(map[string]*Tenant, len(tenants)),
		byKey:  make(map[KeyDigest]*Tenant, len(tenants)),
	}
	for index := range tenants {
		tenant := &tenants[index]
		if directory.byName[tenant.Name] != nil {
			return nil, result.New(result.FileDuplicateName, "tenant %q is declared twice", tenant.Name)
		}
		directory.byName[tenant.Name] = tenant
		if !isAmount(tenant.Quota.PerSecond) || !isAmount(tenant.Quota.Burst) {
			return nil, result.New(result.FileBadValue, "the quota of tenant %q is not valid", tenant.Name)
		}
		if err := directory.add(tenant); err != nil {
			return nil, err
		}
	}
	return directory, nil
}

// add adds a tenant with its keys.
func (d *Directory) add(tenant *Tenant) error {
	for _, key := range tenant.Keys {
		if holder := d.byKey[key]; holder != nil && holder != tenant {
			return result.New(result.FileDuplicateName, "tenants %q and %q hold the same key", holder.Name, tenant.Name)
		}
		d.byKey[key] = tenant
	}
	d.tenants = append(d.tenants, tenant)
	return nil
}

// isAmount reports whether a number is a valid rate or burst.
func isAmount(amount float64) bool { return amount >= 0 && !math.IsInf(amount, 0) }

// IsRequired reports whether requests must carry a key, except those on public routes.
func (d *Directory) IsRequired() bool { return d != nil }

// Find returns the tenant that holds a key; nil if there is none.
func (d *Directory) Find(key string) *Tenant {
	if d == nil || key == "" || len(key) > MaxKeyBytes {
		return nil
	}
	return d.byKey[DigestOf(key)]
}

// Named returns a tenant by its name; nil if there is none.
func (d *Directory) Named(name string) *Tenant {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// All returns the tenants in the order of the configuration. The result must not be changed.
func (d *Directory) All() []*Tenant {
	if d == nil {
		return nil
	}
	return slices.Clip(d.tenants)
}
