package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/endpoint"
	"pgregory.net/rapid"
)

func TestLoadReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := endpoint.LoadReport{
			Running: rapid.IntRange(0, 1000).Draw(t, "running"),
			Queued:  rapid.IntRange(0, 1000).Draw(t, "queued"),
			Service: time.Duration(rapid.IntRange(0, 1e9).Draw(t, "us")) * time.Microsecond,
			Own:     -1,
		}
		if rapid.Bool().Draw(t, "own") {
			sent.Own = float64(rapid.IntRange(0, 100).Draw(t, "load"))
			sent.OwnAge = time.Duration(rapid.IntRange(0, 1e6).Draw(t, "ms")) * time.Millisecond
		}
		got, found := parseLoad(formatLoad(sent))
		if !found || got != sent {
			t.Fatalf("%+v was parsed as %+v after formatting", sent, got)
		}
	})
	check := is.New(t)
	for _, text := range []string{"", "1", "1 2", "-1 0 0", "a 0 0", "1 0 0 0", "9999999999999999999 0 0"} {
		_, found := parseLoad(text)
		check.True(!found)
	}
	report, found := parseLoad("1 0 5;NaN 3")
	check.True(found)
	check.Equal(report.Own, -1.0) // NaN counts as no report
}
