package snapshot_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/result"
)

// shop returns the resources of a file with two services. The route to one of them uses a
// secret.
func shop(slots int) []resource.Encoded {
	return resource.Encode(&resource.File{
		Partner:  "kameeldoring",
		Name:     "shop",
		Services: []resource.Service{{Partner: "kameeldoring", Name: "orders"}, {Partner: "kameeldoring", Name: "labels"}},
		Backends: []resource.Backend{
			{Partner: "kameeldoring", Name: "orders-1", Service: "orders", Address: "127.0.0.1:9000", Slots: slots},
			{Partner: "kameeldoring", Name: "labels-1", Service: "labels", Address: "127.0.0.1:9001", Slots: 6},
		},
		Secrets: []resource.Secret{{Partner: "kameeldoring", Name: "key", Value: "hidden"}},
		Routes: []resource.Route{
			route("orders", "orders", nil),
			route("labels", "labels", &resource.SecretUse{Name: "key", Header: "X-Key"}),
		},
	})
}

func route(name, service string, secret *resource.SecretUse) resource.Route {
	return resource.Route{
		Partner: "kameeldoring",
		Name:    name,
		Match:   resource.Match{PathPrefix: "/" + name},
		Split:   []resource.Destination{{Service: resource.ServiceRef{Partner: "kameeldoring", Name: service}, Weight: 1}},
		Secret:  secret,
	}
}

func without(resources []resource.Encoded, key resource.Key) []resource.Encoded {
	var rest []resource.Encoded
	for _, entry := range resources {
		if entry.Key != key {
			rest = append(rest, entry)
		}
	}
	return rest
}

func codeOf(err error) result.Code {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return result.Internal
}

func TestBuildRejectsDanglingRoutes(t *testing.T) {
	is := is.New(t)
	built, err := snapshot.Build(3, shop(6))
	is.NoErr(err)
	is.Equal(len(built.Routes), 2)
	for _, missing := range []resource.Key{
		{Partner: "kameeldoring", Kind: resource.KindService, Name: "orders"},
		{Partner: "kameeldoring", Kind: resource.KindSecret, Name: "key"},
	} {
		_, err = snapshot.Build(3, without(shop(6), missing))
		is.Equal(codeOf(err), result.FileBadReference) // a route must not dangle
	}
}

func TestScopeIsClosedUnderReferencesWithoutUnusedSecrets(t *testing.T) {
	is := is.New(t)
	built, err := snapshot.Build(3, shop(6))
	is.NoErr(err)
	orders := resource.ServiceRef{Partner: "kameeldoring", Name: "orders"}
	selected := built.Select(protocol.Scope{Services: []resource.ServiceRef{orders}})
	scoped, err := snapshot.Build(3, selected)
	is.NoErr(err) // a scope is closed under references
	is.Equal(len(scoped.Routes), 1)
	is.Equal(len(scoped.Secrets), 0) // no route of the scope uses the secret
	is.Equal(len(scoped.Backends[orders]), 1)
	is.Equal(len(built.Select(protocol.Scope{Partners: []resource.Partner{"adomako"}})), 0)
	is.Equal(len(built.Select(protocol.Scope{Relay: true})), len(built.Encoded))
}

func TestStoreDeltasCanBeApplied(t *testing.T) {
	is := is.New(t)
	store := snapshot.NewStore()
	is.NoErr(store.Add(1, shop(6)))
	is.NoErr(store.Add(2, shop(7)))
	labels := protocol.Scope{Services: []resource.ServiceRef{{Partner: "kameeldoring", Name: "labels"}}}
	all := protocol.Scope{}

	whole := store.Delta(all, 0, "")
	held, err := snapshot.Apply(nil, whole)
	is.NoErr(err)
	is.Equal(snapshot.DigestOf(held), whole.Digest)

	first, err := snapshot.Build(1, shop(6))
	is.NoErr(err)
	delta := store.Delta(all, 1, first.Digest)
	is.True(len(delta.Payload) < len(whole.Payload))
	is.True(store.Delta(all, 1, first.Digest) == delta) // encoded once
	updated, err := snapshot.Apply(first.Encoded, delta)
	is.NoErr(err)
	is.Equal(snapshot.DigestOf(updated), whole.Digest)

	unchangedDigest := snapshot.DigestOf(first.Select(labels))
	is.Equal(store.Delta(labels, 1, unchangedDigest), nil)           // the scope did not change
	is.Equal(store.Delta(all, 1, "other").From, protocol.Version(0)) // unknown content gets a whole snapshot
}

func TestStoreIgnoresOlderAndRejectsInvalidVersions(t *testing.T) {
	is := is.New(t)
	store := snapshot.NewStore()
	is.NoErr(store.Add(5, shop(6)))
	is.NoErr(store.Add(4, shop(7)))
	is.Equal(store.Version(), protocol.Version(5))
	dangling := without(shop(8), resource.Key{Partner: "kameeldoring", Kind: resource.KindSecret, Name: "key"})
	is.Equal(codeOf(store.Add(6, dangling)), result.FileBadReference)
	is.Equal(store.Version(), protocol.Version(5))
	for version := protocol.Version(6); version < 6+2*snapshot.HistoryLength; version++ {
		is.NoErr(store.Add(version, shop(int(version))))
	}
	is.Equal(store.Delta(protocol.Scope{}, 5, "x").From, protocol.Version(0)) // history is bounded
}

func TestApplyIsAtomic(t *testing.T) {
	is := is.New(t)
	store := snapshot.NewStore()
	is.NoErr(store.Add(1, shop(6)))
	is.NoErr(store.Add(2, shop(7)))
	first, err := snapshot.Build(1, shop(6))
	is.NoErr(err)
	delta := store.Delta(protocol.Scope{}, 1, first.Digest)
	for position := range delta.Payload {
		broken := *delta
		broken.Payload = append([]byte(nil), delta.Payload...)
		broken.Payload[position] ^= 0x55
		applied, err := snapshot.Apply(first.Encoded, &broken)
		if err == nil {
			is.Equal(snapshot.DigestOf(applied), delta.Digest) // accepted only if the result is the same
		} else {
			is.Equal(codeOf(err), result.DigestMismatch)
		}
	}
	_, err = snapshot.Apply(shop(9), delta)
	is.NoErr(err) // the delta replaces the resources that differ
	other := append(shop(6), resource.Encode(&resource.File{Partner: "adomako", Services: []resource.Service{{Partner: "adomako", Name: "clock"}}})...)
	_, err = snapshot.Apply(other, delta)
	is.Equal(codeOf(err), result.DigestMismatch) // rejected: this base has a resource that the delta's base lacks
}

func FuzzApply(f *testing.F) {
	store := snapshot.NewStore()
	for version := protocol.Version(1); version <= 2; version++ {
		if err := store.Add(version, shop(int(version))); err != nil {
			f.Fatal(err)
		}
		f.Add(store.Delta(protocol.Scope{}, 0, "").Payload)
	}
	f.Add([]byte("not a delta"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		delta := &protocol.Delta{To: 3, Payload: payload}
		applied, err := snapshot.Apply(nil, delta)
		if err == nil {
			t.Fatalf("a delta without a digest was applied: %d resources", len(applied))
		}
		if code := codeOf(err); code != result.DigestMismatch {
			t.Fatalf("code %d", code)
		}
	})
}
