package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const hostedText = `node: {id: a-1, region: r, zone: z}
listen: {callers: 10.0.0.1:1, gate: 10.0.0.1:2, control: 10.0.0.1:3, ready: 10.0.0.1:4, reports: 10.0.0.1:5, metrics: 10.0.0.1:6}
backend: {service: app, address: 10.0.0.1:7, heartbeat_milliseconds: 1300}
authority: {address: 10.0.0.9:1, reads_per_second: 2000, value_bytes: 1048576}
retries: {ratio: 0.2, slack: 64}
drain: {grace_seconds: 6}
`

func TestHostedSettings(t *testing.T) {
	check := is.New(t)
	loaded, mistakes := ParseHosted("s.yaml", []byte(hostedText), nil)
	check.Equal(mistakes, nil)
	check.Equal(loaded.Backend.HeartbeatInterval(), 1300*time.Millisecond)
	check.Equal(loaded.Drain.Grace(), 6*time.Second)
	check.Equal(loaded.Retries, HostedRetries{Ratio: 0.2, Slack: 64, WindowSeconds: 10, CallDepth: 2})
}

func TestCapacityClassGrowsWithEachDoubling(t *testing.T) {
	check := is.New(t)
	check.Equal(HostedMachine{}.CapacityClass(), uint8(0))
	check.Equal(HostedMachine{Processors: 1}.CapacityClass(), uint8(8))
	check.Equal(HostedMachine{Processors: 1, ProcessorShare: 0.16}.CapacityClass(), uint8(5))
	check.Equal(HostedMachine{Processors: 2, ProcessorShare: 0.16}.CapacityClass(), uint8(6))
	check.Equal(HostedMachine{Processors: 4096}.CapacityClass(), uint8(15))
}

func TestMistakesOfHostedSettingsNameTheField(t *testing.T) {
	for _, given := range []struct{ name, old, new, field string }{
		{"missing", "service: app, ", "", "backend.service"},
		{"wrong type", "heartbeat_milliseconds: 1300", "heartbeat_milliseconds: soon", "backend.heartbeat_milliseconds"},
		{"unknown", "drain: {", "drain: {hurry: true, ", "drain.hurry"},
		{"no address", "address: 10.0.0.9:1", "address: store", "authority.address"},
		{"not callable", "gate: 10.0.0.1:2", "gate: 0.0.0.0:2", "listen.gate"},
		{"twice", "ready: 10.0.0.1:4", "ready: 10.0.0.1:3", "listen.ready"},
		{"ratio", "ratio: 0.2", "ratio: 2", "retries.ratio"},
	} {
		t.Run(given.name, func(t *testing.T) {
			check := is.New(t)
			check.True(strings.Contains(hostedText, given.old))
			_, mistakes := ParseHosted("s.yaml", []byte(strings.Replace(hostedText, given.old, given.new, 1)), nil)
			check.True(len(mistakes) > 0)
			check.Equal(mistakes[0].Field, given.field)
			check.True(mistakes[0].Line > 0)
		})
	}
}

func TestTheKindOfAFileIsTold(t *testing.T) {
	check := is.New(t)
	path := filepath.Join(t.TempDir(), "s.yaml")
	check.True(!IsHosted(path))
	check.NoErr(os.WriteFile(path, []byte(hostedText), 0o600))
	check.True(IsHosted(path))
	check.NoErr(os.WriteFile(path, []byte(whole), 0o600))
	check.True(!IsHosted(path))
}
