package proxy

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/tenancy"
	"github.com/springstack/springstack/internal/result"
)

var keyEdge = &Edge{Key: "Authorization", KeyScheme: "Token", Tenant: "Tenant"}

func TestKeyIsReadFromOneHeaderLineOnly(t *testing.T) {
	for name, given := range map[string]struct {
		lines []string
		key   string
	}{
		"none":           {nil, ""},
		"one":            {[]string{"Token abc"}, "abc"},
		"case of scheme": {[]string{"TOKEN abc"}, "abc"},
		"more spaces":    {[]string{"Token   abc"}, "abc"},
		"two lines":      {[]string{"Token abc", "Token abc"}, ""},
		"other scheme":   {[]string{"Basic abc"}, ""},
		"no scheme":      {[]string{"abc"}, ""},
		"no key":         {[]string{"Token"}, ""},
		"empty key":      {[]string{"Token "}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(keyEdge.parseKey(http.Header{"Authorization": given.lines}), given.key)
		})
	}
}

func TestRefusalsOfTenantsHaveTheirStatus(t *testing.T) {
	check := is.New(t)
	check.Equal(keyEdge.refusalStatus(Refusal{Code: result.UnknownKey}), http.StatusUnauthorized)
	check.Equal(keyEdge.refusalStatus(Refusal{Code: result.QuotaExceeded}), http.StatusTooManyRequests)
}

// Guards against reports that are ignored because they have a field more.
func TestLoadIsReadWithThreeOrFourFields(t *testing.T) {
	for text, wanted := range map[string]int{
		"3,0,8": 3, "3, 2, 8": 5, "3,2,8,140": 5, "3,2,8,?": 5,
		"": -1, "3,2": -1, "3,2,8,100,1": -1, "x,2,8": -1, "-1,2,8": -1, "3,,8": -1,
	} {
		held, isReported := ParseHeldCalls(text)
		if !isReported {
			held = -1
		}
		is.New(t).Equal(held, wanted)
	}
}

// FuzzKeyHeader feeds header lines to the look-up of keys: only the one valid line finds the tenant.
func FuzzKeyHeader(f *testing.F) {
	directory, err := tenancy.NewDirectory([]tenancy.Tenant{{Name: "a", Keys: []tenancy.KeyDigest{tenancy.DigestOf("secret")}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, line := range []string{"Token secret", "token  secret", "Token", " Token secret", "Token secret ", "Token\tsecret", "Bearer secret", "\x00"} {
		f.Add(line, false)
	}
	f.Add("Token secret", true)
	f.Fuzz(func(t *testing.T, line string, isRepeated bool) {
		lines := []string{line}
		if isRepeated {
			lines = append(lines, line)
		}
		found := directory.Find(keyEdge.parseKey(http.Header{"Authorization": lines}))
		scheme, key, _ := strings.Cut(line, " ")
		isValid := !isRepeated && strings.EqualFold(scheme, "Token") && strings.TrimLeft(key, " ") == "secret"
		if isValid != (found != nil) {
			t.Fatalf("%q, repeated %t: found %t", line, isRepeated, found != nil)
		}
	})
}
