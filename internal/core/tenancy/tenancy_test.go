package tenancy

import (
	"math"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/result"
)

func TestKeyIdentifiesOnlyTheTenantThatHoldsIt(t *testing.T) {
	check := is.New(t)
	directory, err := NewDirectory([]Tenant{
		{Name: "a", Keys: []KeyDigest{DigestOf("key-a1"), DigestOf("key-a2")}},
		{Name: "b", Keys: []KeyDigest{DigestOf("key-b")}},
		{Name: "keyless"},
	})
	check.NoErr(err)
	check.Equal(directory.Find("key-a1").Name, "a")
	check.Equal(directory.Find("key-a2").Name, "a")
	check.Equal(directory.Find("key-b").Name, "b")
	for _, unknown := range []string{"", "key-a", "key-a1 ", "KEY-B", strings.Repeat("k", MaxKeyBytes+1)} {
		check.True(directory.Find(unknown) == nil)
	}
	check.Equal(len(directory.All()), 3)
}

func TestDirectoryWithoutTenantsRequiresNoKeys(t *testing.T) {
	check := is.New(t)
	directory, err := NewDirectory(nil)
	check.NoErr(err)
	check.True(!directory.IsRequired())
	check.True(directory.Find("key") == nil)
	check.Equal(len(directory.All()), 0)
}

func TestInvalidTenantsAreRefusedWithoutTellingAKey(t *testing.T) {
	key := DigestOf("secret-key")
	for _, given := range []struct {
		name    string
		tenants []Tenant
		code    result.Code
	}{
		{"name used twice", []Tenant{{Name: "a"}, {Name: "a"}}, result.FileDuplicateName},
		{"key of two tenants", []Tenant{{Name: "a", Keys: []KeyDigest{key}}, {Name: "b", Keys: []KeyDigest{key}}}, result.FileDuplicateName},
		{"negative rate", []Tenant{{Name: "a", Quota: Quota{PerSecond: -1}}}, result.FileBadValue},
		{"negative burst", []Tenant{{Name: "a", Quota: Quota{PerSecond: 1, Burst: -1}}}, result.FileBadValue},
		{"infinite rate", []Tenant{{Name: "a", Quota: Quota{PerSecond: math.Inf(1)}}}, result.FileBadValue},
		{"rate is no number", []Tenant{{Name: "a", Quota: Quota{PerSecond: math.NaN()}}}, result.FileBadValue},
	} {
		t.Run(given.name, func(t *testing.T) {
			check := is.New(t)
			directory, err := NewDirectory(given.tenants)
			var failure *result.Error
			check.True(directory == nil)
			check.True(errors.As(err, &failure))
			check.Equal(failure.Code, given.code)
			check.True(!strings.Contains(err.Error(), "secret-key"))
		})
	}
}
