package report

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"
	"strings"

	"github.com/juju/errors"
)

// Round is one change that was measured before and after.
type Round struct {
	Title string
	// Cause says why the change was made, Change what it was, Conclusion what
	// the figures say.
	Cause      string
	Change     string
	Conclusion string
	// Before and After name records; Before may be empty.
	Before string
	After  string
}

// WriteRound writes one section of docs/MEASUREMENTS.md: the round's text and
// a table of every top-level number of its records.
func WriteRound(out io.Writer, round Round, records []Record) error {
	after, err := numbersOf(records, round.After)
	if err != nil {
		return errors.Trace(err)
	}
	before := map[string]float64{}
	if round.Before != "" {
		if before, err = numbersOf(records, round.Before); err != nil {
			return errors.Trace(err)
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "\n## %s\n\nCause: %s\n\nChange: %s\n\n", round.Title, round.Cause, round.Change)
	text.WriteString("| figure | before | after |\n|---|---:|---:|\n")
	for _, name := range sortedNames(after) {
		fmt.Fprintf(&text, "| `%s` | %s | %s |\n", name, cell(before, name), cell(after, name))
	}
	if round.Conclusion != "" {
		fmt.Fprintf(&text, "\nConclusion: %s\n", round.Conclusion)
	}
	_, err = io.WriteString(out, text.String())
	return errors.Trace(err)
}

// notFigures are numbers that describe the run rather than its outcome.
var notFigures = map[string]bool{"seed": true}

// numbersOf returns the top-level numbers of a record, and the machine's load.
func numbersOf(records []Record, name string) (map[string]float64, error) {
	for _, record := range records {
		if record.Name != name {
			continue
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(record.text, &fields); err != nil {
			return nil, errors.Annotate(err, name)
		}
		return flatNumbers(fields), nil
	}
	return nil, errors.NotFoundf("record %q", name)
}

// nestedFields are the objects whose numbers belong into a table as well.
var nestedFields = map[string]bool{"conditions": true, "processor_us_per_call": true, "uploads": true}

// flatNumbers picks the numbers of an object.
func flatNumbers(fields map[string]json.RawMessage) map[string]float64 {
	numbers := make(map[string]float64)
	for name, raw := range fields {
		var number float64
		if json.Unmarshal(raw, &number) == nil && !notFigures[name] {
			numbers[name] = number
		}
		var inner map[string]json.RawMessage
		if nestedFields[name] && json.Unmarshal(raw, &inner) == nil {
			for innerName, value := range flatNumbers(inner) {
				numbers[name+"."+innerName] = value
			}
		}
	}
	return numbers
}

// sortedNames returns the keys in order.
func sortedNames(numbers map[string]float64) []string {
	names := make([]string, 0, len(numbers))
	for name := range numbers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// wholeFrom is from where figures are printed without decimals.
const wholeFrom = 100

// cell prints a figure, or a dash when it is missing.
func cell(numbers map[string]float64, name string) string {
	number, found := numbers[name]
	if !found {
		return "–"
	}
	if number == float64(int64(number)) {
		return fmt.Sprintf("%d", int64(number))
	}
	if math.Abs(number) >= wholeFrom {
		return fmt.Sprintf("%.0f", number)
	}
	return fmt.Sprintf("%.3g", number)
}
