package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/result"
)

// whole sets every field.
var whole = `node: {id: klein-1, region: windhoek, zone: klein-hall}
listen:
  callers: 127.0.0.1:7001
  gate: 127.0.0.1:7002
  control: 10.0.0.1:7003
  operators: "[fd00::1]:7004"
  admin: 127.0.0.1:7005
mesh:
  seeds: [10.0.0.2:7003, 10.0.0.3:7003]
  partners: [kameeldoring]
  services: [kameeldoring/subscriber]
backend: {partner: kameeldoring, service: subscriber, name: subscriber-1, address: 127.0.0.1:8001, slots: 6}
platform: {url: http://10.0.0.9:7000}
operators:
  tokens:
    - {partner: kameeldoring, sha256: ` + strings.Repeat("ab", 32) + `}
tls: {certificate: /c.pem, key: /k.pem, authority: /a.pem}
limits: {body_bytes: 67108864, header_bytes: 8192, connections: 100, queue: 10}
drain: {bound: 1m, settle: 500ms}
log: {level: debug}
timing: {fetch_wait: 100ms, serving_lease: 1s, dead_after: 4s, reader_lease: 1s}
`

func TestWholeFile(t *testing.T) {
	is := is.New(t)
	settings, mistakes := Parse("s.yaml", []byte(whole), nil)
	is.Equal(mistakes, nil)
	is.Equal(settings.Node, Node{ID: "klein-1", Region: "windhoek", Zone: "klein-hall"})
	is.Equal(settings.Mesh.Seeds, []string{"10.0.0.2:7003", "10.0.0.3:7003"})
	is.Equal(settings.Backend.Slots, 6)
	is.Equal(settings.Operators.Tokens[0].Partner, "kameeldoring")
	is.Equal(settings.Drain, Drain{Bound: time.Minute, Settle: 500 * time.Millisecond})
	is.Equal(settings.Limits, Limits{BodyBytes: 64 << 20, HeaderBytes: 8192, Connections: 100, Queue: 10})
	is.Equal(settings.Timing.DeadAfter, 4*time.Second)
}

// least sets what has no default.
const least = `node: {id: a, region: r, zone: z}
listen: {callers: 127.0.0.1:0, gate: 127.0.0.1:0, control: 127.0.0.1:0, operators: 127.0.0.1:0, admin: 127.0.0.1:0}
platform: {url: "http://127.0.0.1:7000"}
`

func TestDefaultsAndOverrides(t *testing.T) {
	is := is.New(t)
	settings, mistakes := Parse("s.yaml", []byte(least), nil)
	is.Equal(mistakes, nil)
	is.Equal(settings.Limits, Default().Limits)
	is.Equal(settings.Drain, Default().Drain)
	settings, mistakes = Parse("s.yaml", []byte(least), []Override{
		{Field: "node.id", Value: "7"},
		{Field: "mesh.seeds", Value: "127.0.0.1:1,127.0.0.1:2"},
		{Field: "backend.slots", Value: "4"},
		{Field: "backend.name", Value: "x"},
		{Field: "backend.service", Value: "s"},
		{Field: "backend.partner", Value: "p"},
		{Field: "backend.address", Value: "127.0.0.1:3"},
		{Field: "drain.bound", Value: "7s"},
		{Field: "tls.allow_insecure", Value: "true"},
	})
	is.Equal(mistakes, nil)
	is.Equal(settings.Node.ID, "7")
	is.Equal(settings.Node.Zone, "z")
	is.Equal(settings.Mesh.Seeds, []string{"127.0.0.1:1", "127.0.0.1:2"})
	is.Equal(settings.Backend.Slots, 4)
	is.Equal(settings.Drain, Drain{Bound: 7 * time.Second, Settle: Default().Drain.Settle})
	is.True(settings.TLS.AllowInsecure)
}

func TestEveryMistakeIsListedAtOnce(t *testing.T) {
	is := is.New(t)
	text := `node: {id: "Klein 1", region: windhoek}
listen:
  callers: localhost:7001
  gate: 127.0.0.1:7002
  control: 10.0.0.1:7003
  operators: 127.0.0.1:7002
  admin: 127.0.0.1:70000
Mesh: {}
platform:
  url: ftp://10.0.0.1:1
  retries: 3
operators:
  tokens:
    - partner: kameeldoring
      sha256: hunter2
backend: {name: x, slots: 6}
limits: {queue: 1.5, body_bytes: "many"}
drain: {bound: 5, settle: soon}
log: {level: loud}
timing: {serving_lease: 10s, dead_after: 20s}
`
	_, mistakes := Parse("s.yaml", []byte(text), nil)
	found := lo.Map(mistakes, func(m *result.Error, _ int) string { return fmt.Sprintf("%d:%s:%d", m.Line, m.Field, m.Code) })
	is.Equal(found, []string{
		"1:node.id:600",
		"1:node.zone:600",
		"3:listen.callers:600",
		"5:listen.control:603",
		"6:listen.operators:600",
		"7:listen.admin:600",
		"8:Mesh:600",
		"10:platform.url:600",
		"11:platform.retries:600",
		"15:operators.tokens[0].sha256:600",
		"16:backend.address:600",
		"17:limits.body_bytes:600",
		"17:limits.queue:600",
		"18:drain.bound:600",
		"18:drain.settle:600",
		"19:log.level:600",
		"20:timing.dead_after:600",
	})
	for _, mistake := range mistakes {
		is.Equal(mistake.File, "s.yaml")
		is.True(mistake.Detail != "" && mistake.Mend != "")
		is.True(!strings.Contains(mistake.Error(), "hunter2")) // a token put in by error isn't shown
	}
}

func TestWholeFileMistakes(t *testing.T) {
	tests := []struct {
		name string
		text string
		line int
	}{
		{"syntax", "log:\n  level: \"info\n", 2},
		{"duplicate key", "log: {level: info}\nnode: {}\nlog: {level: warn}\n", 3},
		{"two documents", "log: {level: info}\n---\nlog: {level: warn}\n", 3},
		{"no mapping", "- a\n", 1},
		{"anchor", "log: &a {level: info}\n", 1},
		{"alias", "node: {id: a}\nlog: *a\n", 2},
		{"tag", "node:\n  id: !!binary aGk=\n", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, mistakes := Parse("s.yaml", []byte(test.text), nil)
			is.Equal(len(mistakes), 1)
			is.Equal(mistakes[0].Code, result.SettingsInvalid)
			is.Equal(mistakes[0].Line, test.line)
		})
	}
}

func TestMistakenOverridesNameTheFlag(t *testing.T) {
	is := is.New(t)
	_, mistakes := Parse("s.yaml", []byte(least), []Override{
		{Field: "node.zone", Value: "A B"},
		{Field: "node.colour", Value: "red"},
		{Field: "limits", Value: "1"},
		{Field: "drain.bound", Value: "soon"},
	})
	fields := lo.Map(mistakes, func(m *result.Error, _ int) string { return m.Field })
	is.Equal(fields, []string{"drain.bound", "limits", "node.colour", "node.zone"})
	for _, mistake := range mistakes {
		is.Equal(mistake.File, "")
		is.True(strings.Contains(mistake.Detail, "set by a flag"))
	}
}

func TestListeningInTheClearBeyondLoopback(t *testing.T) {
	is := is.New(t)
	beyond := []Override{{Field: "listen.control", Value: "10.0.0.1:7003"}}
	_, mistakes := Parse("", []byte(least), beyond)
	is.Equal(len(mistakes), 1)
	is.Equal(mistakes[0].Code, result.InsecureListen)
	certificates := []Override{
		{Field: "tls.certificate", Value: "c"}, {Field: "tls.key", Value: "k"}, {Field: "tls.authority", Value: "a"},
	}
	_, mistakes = Parse("", []byte(least), append(certificates, beyond...))
	is.Equal(mistakes, nil)
	_, mistakes = Parse("", []byte(least), append(beyond, Override{Field: "tls.allow_insecure", Value: "true"}))
	is.Equal(mistakes, nil)
	_, mistakes = Parse("", []byte(least), []Override{{Field: "listen.admin", Value: "[::]:0"}})
	is.Equal(len(mistakes), 1)
}

func TestPeriodsAreCheckedWithTheirDefaults(t *testing.T) {
	tests := map[string]string{
		"{serving_lease: 20s}":                   "timing.dead_after", // the default is 35 s
		"{dead_after: 5s}":                       "timing.dead_after", // the default lease is 6 s
		"{fetch_wait: 5s}":                       "timing.serving_lease",
		"{serving_lease: 100ms, fetch_wait: 1s}": "timing.serving_lease",
	}
	for given, field := range tests {
		t.Run(given, func(t *testing.T) {
			is := is.New(t)
			_, mistakes := Parse("s.yaml", []byte(least+"timing: "+given+"\n"), nil)
			is.Equal(len(mistakes), 1)
			is.Equal(mistakes[0].Field, field)
		})
	}
}

func TestAddressesThatOthersCallCanBeCalled(t *testing.T) {
	is := is.New(t)
	_, mistakes := Parse("", []byte(least), []Override{
		{Field: "tls.allow_insecure", Value: "true"},
		{Field: "listen.control", Value: "0.0.0.0:7003"},
		{Field: "listen.gate", Value: "[::]:7002"},
		{Field: "listen.admin", Value: "0.0.0.0:7005"}, // nobody is told this one
		{Field: "mesh.seeds", Value: "10.0.0.1:0"},
		{Field: "platform.url", Value: "http://0.0.0.0:7000"},
	})
	fields := lo.Map(mistakes, func(m *result.Error, _ int) string { return m.Field })
	is.Equal(fields, []string{"listen.control", "listen.gate", "mesh.seeds[0]", "platform.url"})
}

func TestLoadReadsTheFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	_, mistakes := Load(path, nil)
	is.Equal(len(mistakes), 1) // no such file
	is.NoErr(os.WriteFile(path, []byte(least), 0o600))
	_, mistakes = Load(path, nil)
	is.Equal(len(mistakes), 0)
	is.NoErr(os.WriteFile(path, make([]byte, MaxFileBytes+1), 0o600))
	_, mistakes = Load(path, nil)
	is.Equal(len(mistakes), 1)
}

// FuzzParse holds that no text panics, that mistakes are always complete, and
// that what is accepted passes its own checks.
func FuzzParse(f *testing.F) {
	f.Add([]byte(whole), "node.id", "x")
	f.Add([]byte(least), "mesh.seeds", "a,b")
	f.Add([]byte("node: [\n"), "", "")
	f.Add([]byte("node.id: 1\n? {a: b}\n: c\n"), "node..id[", "1")
	f.Fuzz(func(t *testing.T, text []byte, field, value string) {
		settings, mistakes := Parse("f.yaml", text, []Override{{Field: field, Value: value}})
		for _, mistake := range mistakes {
			if mistake.Code == result.OK || mistake.Detail == "" || mistake.Mend == "" {
				t.Fatalf("incomplete mistake %+v", mistake)
			}
		}
		if len(mistakes) == 0 && checker.Struct(settings) != nil {
			t.Fatalf("accepted settings that fail their checks: %+v", settings)
		}
	})
}
