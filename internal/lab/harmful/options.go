package harmful

import (
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
)

// Way is one way to decide which requests are held.
type Way struct {
	Name  string
	Rules quarantine.Rules
	// Answers lets good answers clear a request and count before its first end.
	Answers bool
	// Apart sends a suspected request to one gate and runs one at a time there.
	Apart bool
	// Isolated runs a request alone once one end more may hold it.
	Isolated bool
	// SuspectedFirst puts an end down to the requests that were suspected before, as far as
	// the gate has heard, and to all only where there are none.
	SuspectedFirst bool
}

// Ways are the ways that are compared; the first one is the daemon's.
func Ways() []Way {
	ignoring := func(ends, familiar int) quarantine.Rules {
		return quarantine.Rules{Ends: ends, EndsFamiliar: familiar, IgnoresCompany: true, IgnoresTrials: true}
	}
	byItself := func(ends, familiar int) quarantine.Rules {
		return quarantine.Rules{Ends: ends, EndsFamiliar: familiar, EachByItself: true, IgnoresTrials: true}
	}
	anyTrial := quarantine.DefaultRules()
	anyTrial.IgnoresTrials = true
	shared := quarantine.DefaultRules()
	shared.LeastShare = 2
	return []Way{
		{Name: "alone in a later trial, isolated, 3 (4)", Rules: quarantine.DefaultRules(), Answers: true, Apart: true, Isolated: true},
		{Name: "shares of 2, isolated, 3 (4)", Rules: shared, Answers: true, Apart: true, Isolated: true},
		{Name: "once alone, isolated, 3 (4)", Rules: anyTrial, Answers: true, Apart: true, Isolated: true},
		{Name: "once alone, not isolated, 3 (4)", Rules: anyTrial, Answers: true, Apart: true},
		{Name: "explained, isolated, 3 (4)", Rules: ignoring(3, 4), Answers: true, Apart: true, Isolated: true},
		{Name: "explained, apart, 3 (4)", Rules: ignoring(3, 4), Answers: true, Apart: true},
		{Name: "explained, not apart, 3 (4)", Rules: ignoring(3, 4), Answers: true},
		{Name: "suspected first, apart, 3 (4)", Rules: byItself(3, 4), Answers: true, Apart: true, SuspectedFirst: true},
		{Name: "each by itself, not apart, 3 (4)", Rules: byItself(3, 4), Answers: true},
		{Name: "ends alone, 3", Rules: byItself(3, 3)},
	}
}

// Options describe an experiment.
type Options struct {
	Seed uint64
	// Runs is how many drawn days each way plays, the same for all of them.
	Runs int
	// Length is how long a day is.
	Length time.Duration
	// Harmful is the most harmful requests of a day; 0 plays days whose back ends end of other
	// causes only.
	Harmful int
}

// Figures are what came of one way over all days.
type Figures struct {
	Way string `json:"way"`
	// HarmfulRequests are those that ended a back end at least, EndsMean and EndsMost how many
	// ended under one of them.
	HarmfulRequests int     `json:"harmful_requests"`
	EndsMean        float64 `json:"ends_mean"`
	EndsMost        int     `json:"ends_most"`
	// SentLater counts the harmful requests that came to back ends more than three times
	// later than 3 s after the third end under them.
	SentLater int `json:"sent_on_too_often"`
	// Lost is the share of other callers' requests that were not served, HeldRequests how
	// many different harmless ones were held, HeldDays on how many days.
	Lost         float64 `json:"others_lost"`
	HeldRequests int     `json:"harmless_requests_held"`
	HeldDays     int     `json:"days_with_harmless_held"`
	// HeldLong are those that were held for longer than the first time.
	HeldLong int `json:"harmless_requests_held_long"`
	// KnownMean and KnownMost are the time from the first end until every daemon held a
	// request that all hold in the end, in milliseconds.
	KnownMean float64 `json:"known_to_all_mean_ms"`
	KnownMost float64 `json:"known_to_all_most_ms"`

	requests, lost int
	ends, known    int
	knownTotal     time.Duration
	days           int
}

// Report is the comparison.
type Report struct {
	Seed uint64    `json:"seed"`
	Days int       `json:"days"`
	Ways []Figures `json:"ways"`
}
