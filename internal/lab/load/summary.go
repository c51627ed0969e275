package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/springstack/springstack/internal/result"
)

// Bounds of the latency histograms, in microseconds.
const (
	lowestLatency     = 1
	highestLatency    = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latencies returns a histogram, in microseconds, of the results that pass.
func Latencies(results []Result, include func(Result) bool) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(lowestLatency, highestLatency, significantDigits)
	for _, outcome := range results {
		if include(outcome) {
			// Values beyond the bound are kept at the bound.
			_ = histogram.RecordValue(min(outcome.Latency().Microseconds(), highestLatency))
		}
	}
	return histogram
}

// Milliseconds returns a quantile (0 to 100) of a histogram in milliseconds.
func Milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
}

// Counts is how calls ended.
type Counts struct {
	Calls int `json:"calls"`
	Good  int `json:"good"`
	// ByCode counts refusals of the mesh by the name of their code.
	ByCode map[string]int `json:"by_code,omitempty"`
	// ByRan counts refusals by what they said about execution.
	ByRan map[result.Execution]int `json:"by_ran,omitempty"`
	// ByFault counts calls without a whole own answer.
	ByFault map[string]int `json:"by_fault,omitempty"`
}

// Count sums up the results that pass.
func Count(results []Result, include func(Result) bool) Counts {
	counts := Counts{
		ByCode:  make(map[string]int),
		ByRan:   make(map[result.Execution]int),
		ByFault: make(map[string]int),
	}
	for _, outcome := range results {
		if !include(outcome) {
			continue
		}
		counts.Calls++
		if outcome.Good() {
			counts.Good++
		}
		if outcome.Code != 0 {
			counts.ByCode[outcome.Code.Name()]++
			counts.ByRan[outcome.Ran]++
		}
		if outcome.Fault != FaultNone {
			counts.ByFault[outcome.Fault.String()]++
		}
	}
	return counts
}

// All passes every result.
func All(Result) bool { return true }
