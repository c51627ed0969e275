package overload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/lab/load"
)

func TestPointLeavesOutTheSettlingAndCountsLosses(t *testing.T) {
	is := is.New(t)
	var report load.Report
	add := func(at time.Duration, kind, status int) {
		report.Results = append(report.Results, load.Result{Intended: at, Done: at + time.Millisecond, Kind: kind, Status: status})
	}
	add(time.Minute, kindLow, 503)
	add(time.Minute+settle, kindLow, 200)
	add(time.Minute+settle, kindLow, 503)
	add(time.Minute+settle, kindHigh, 200)
	point := pointOf(&report, 1, 2*settle)
	is.Equal(point.Counts.Calls, 3)
	is.Equal(point.LowLoss, 0.5)
	is.Equal(point.HighLoss, 0.0)
	is.Equal(point.Goodput*capacity(), 2.0)
}
