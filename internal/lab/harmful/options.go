package harmful

import (
	"time"

	"github.com/springstack/springstack/internal/core/quarantine"
)

// Blame says which of the requests that were at work an end is put down to.
type Blame int

// The kinds of blame.
const (
	// BlameAll puts it down to all of them.
	BlameAll Blame = iota
	// BlameSuspected puts it down to those that were suspected before, if there are any.
	BlameSuspected
	// BlameSorted tells requests that were answered before from others, and leaves it open
	// where two of the others were suspected before. It is the daemon's.
	BlameSorted
)

// Way is one way to decide which requests are held.
type Way struct {
	Name  string
	Rules quarantine.Rules
	// Answers lets good answers clear a request and count before its first end.
	Answers bool
	// Apart sends a suspected request to one gate and runs one at a time there.
	Apart bool
	Blame Blame
}

// Ways are the ways that are compared; the first one is the daemon's.
func Ways() []Way {
	rules := func(ends, familiar int) quarantine.Rules {
		return quarantine.Rules{Ends: ends, EndsFamiliar: familiar}
	}
	return []Way{
		{Name: "apart, sorted, 2 ends (4 familiar)", Rules: quarantine.DefaultRules(), Answers: true, Apart: true, Blame: BlameSorted},
		{Name: "apart, sorted, 1 (4)", Rules: rules(1, 4), Answers: true, Apart: true, Blame: BlameSorted},
		{Name: "apart, sorted, 3 (4)", Rules: rules(3, 4), Answers: true, Apart: true, Blame: BlameSorted},
		{Name: "apart, sorted, 2 (2)", Rules: rules(2, 2), Answers: true, Apart: true, Blame: BlameSorted},
		{Name: "apart, sorted, 2 (3)", Rules: rules(2, 3), Answers: true, Apart: true, Blame: BlameSorted},
		{Name: "apart, suspected first, 2 (4)", Rules: rules(2, 4), Answers: true, Apart: true, Blame: BlameSuspected},
		{Name: "not apart, sorted, 2 (4)", Rules: rules(2, 4), Answers: true, Blame: BlameSorted},
		{Name: "not apart, all, 2 (4)", Rules: rules(2, 4), Answers: true},
		{Name: "not apart, all, 3 (4)", Rules: rules(3, 4), Answers: true},
		{Name: "ends alone, 2", Rules: rules(2, 2)},
		{Name: "ends alone, 3", Rules: rules(3, 3)},
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
