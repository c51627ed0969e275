package resource_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
)

func TestCanonicalPath(t *testing.T) {
	cases := []struct{ path, canonical string }{
		{"/", "/"},
		{"/a/b-c_d.e~f", "/a/b-c_d.e~f"},
		{"/a/", "/a/"},
		{"/%61%2D%7E", "/a-~"},
		{"/a%40b;c%3Bd", "/a@b;c;d"},
		{"/caf%c3%a9", "/caf%C3%A9"},
		{"/caf\u00e9", "/caf%C3%A9"},
		{"/a b|c", "/a%20b%7Cc"},
		{"/a%20b", "/a%20b"},
		{"/...", "/..."},
		{"/.well-known", "/.well-known"},
		{"", ""}, {"a", ""}, {"*", ""},
		{"//", ""}, {"/a//b", ""}, {"//a", ""}, {"/a//", ""},
		{"/.", ""}, {"/..", ""}, {"/a/./b", ""}, {"/a/../b", ""}, {"/a/..", ""},
		{"/%2e%2E/b", ""}, {"/a/.%2e", ""}, {"/..;x=1/b", ""},
		{"/a%2Fb", ""}, {"/a%2fb", ""}, {"/a%5Cb", ""}, {"/a\\b", ""}, {"/a%25b", ""},
		{"/a%00", ""}, {"/a%0a", ""}, {"/a%7F", ""}, {"/a\x00", ""}, {"/a\n", ""},
		{"/a%", ""}, {"/a%4", ""}, {"/a%zz", ""}, {"/a?b", ""}, {"/a#b", ""},
		{"/%C0%AF", ""}, {"/%ff", ""}, {"/\xff", ""},
	}
	for _, example := range cases {
		canonical, err := resource.CanonicalPath(example.path)
		if canonical != example.canonical || (err == nil) != (example.canonical != "") {
			t.Errorf("%q: got %q, %v; wanted %q", example.path, canonical, err, example.canonical)
		}
	}
}

func TestCanonicalPathAllocatesNothingWhenCanonical(t *testing.T) {
	check := is.New(t)
	allocations := testing.AllocsPerRun(100, func() { _, _ = resource.CanonicalPath("/renewals/2026/box-12/confirm") })
	check.Equal(allocations, 0.0)
}

func BenchmarkCanonicalPath(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		_, _ = resource.CanonicalPath("/renewals/2026/box-12/confirm")
	}
}

func TestCanonicalHost(t *testing.T) {
	cases := []struct{ host, canonical string }{
		{"app.example", "app.example"},
		{"App.Example.:8080", "app.example"},
		{"app.example:", "app.example"},
		{"10.0.0.1:80", "10.0.0.1"},
		{"[2001:DB8::0001]:443", "[2001:db8::1]"},
		{"xn--caf-dma.example", "xn--caf-dma.example"},
		{"my_service", "my_service"},
		{"", ""}, {":80", ""}, {".", ""}, {"a..b", ""}, {"-a.example", ""}, {"a-.example", ""},
		{"caf\u00e9.example", ""}, {"a b", ""}, {"a/b", ""}, {"user@a", ""}, {"a:b", ""}, {"a:80:80", ""},
		{"2001:db8::1", ""}, {"[2001:db8::1", ""}, {"[10.0.0.1]", ""}, {"[fe80::1%25eth0]", ""}, {"[::1]x", ""},
		{strings.Repeat("a", 64), ""}, {strings.Repeat("a.", 127) + "aa", ""},
	}
	for _, example := range cases {
		canonical, err := resource.CanonicalHost(example.host)
		if canonical != example.canonical || (err == nil) != (example.canonical != "") {
			t.Errorf("%q: got %q, %v; wanted %q", example.host, canonical, err, example.canonical)
		}
	}
}
