package proxy

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
)

func TestCallRateIsAPlainPositiveDecimal(t *testing.T) {
	check := is.New(t)
	for text, expected := range map[string]float64{"5": 5, "5.3": 5.3, "0.25": 0.25, "007.50": 7.5, "1000000": 1e6} {
		rate, notice := parseCallRate([]string{text})
		check.Equal(notice, rateStated)
		check.Equal(rate, expected)
	}
	for _, text := range []string{
		"", " ", "0", "0.000", "-1", "+1", "NaN", "nan", "Inf", "1e3", "1e999", "0x10", "0b1", "1_000", "5.", ".5", "5.5.5", "5,5",
		"1000001", strings.Repeat("9", 400), "0." + strings.Repeat("0", 400) + "1", "٥", "5\x00",
	} {
		_, notice := parseCallRate([]string{text})
		check.Equal(notice, rateInvalid)
	}
	_, notice := parseCallRate([]string{"5", "5"})
	check.Equal(notice, rateInvalid)
	_, notice = parseCallRate(nil)
	check.Equal(notice, rateAbsent)
}

// FuzzCallRate guards against a header value that stops a daemon or puts a limit in force that is no
// positive number.
func FuzzCallRate(f *testing.F) {
	for _, seed := range []string{"5.3", "1e999", "0x1p-2", "NaN", "-0", "", strings.Repeat("1", 300)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rate, notice := parseCallRate([]string{text})
		switch notice {
		case rateStated:
			if !(rate > 0 && rate <= maxCallRate) || math.IsInf(rate, 0) {
				t.Fatalf("%q gives %v", text, rate)
			}
		case rateInvalid:
			if rate != 0 {
				t.Fatalf("%q gives %v", text, rate)
			}
		default:
			t.Fatalf("%q gives %v", text, notice)
		}
	})
}

// Guards against an answer that arrives late and raises or ends a limit that was stated since.
func TestCallRatesThatArriveOutOfOrder(t *testing.T) {
	check := is.New(t)
	start := protocol.BackendStart{Instance: "i-1", Born: 1}
	notices := &backendNotices{}
	second := func(count int) time.Duration { return time.Duration(count) * time.Second }
	check.True(notices.updateRate(start, second(1), second(2), 10))  // begins
	check.True(!notices.updateRate(start, second(1), second(3), 0))  // sent before, no end
	check.True(!notices.updateRate(start, second(1), second(3), 20)) // sent before, no rise
	check.True(notices.updateRate(start, second(1), second(3), 5))   // lower at once
	check.True(!notices.updateRate(start, second(2), second(4), 10)) // sent before it was lowered
	check.True(notices.updateRate(start, second(4), second(5), 10))  // rises
	check.True(notices.updateRate(start, second(6), second(7), 0))   // ends
	check.True(!notices.isLimited.Load())
	check.True(notices.updateRate(start, second(7), second(8), 10))
	next := protocol.BackendStart{Instance: "i-1", Born: 2}
	check.True(notices.updateRate(next, second(1), second(9), 20)) // another start: nothing of before counts
}

// Guards against a message to all daemons for each answer of a back end whose limit changes a little.
func TestOnlySignificantChangesOfACallRateAreReported(t *testing.T) {
	check := is.New(t)
	start := protocol.BackendStart{Instance: "i-1"}
	notices := &backendNotices{}
	reports := 0
	for step := range 100 {
		at := time.Duration(step) * time.Second
		if notices.updateRate(start, at, at, 10-float64(step)*0.05) && notices.takeRateReport() {
			reports++
		}
	}
	check.True(reports >= 3 && reports <= 5)
	check.True(notices.updateRate(start, time.Hour, time.Hour, 0) && notices.takeRateReport())
}
