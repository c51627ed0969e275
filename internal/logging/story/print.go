package story

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// Print writes the story for people, one line a decision; what was believed
// then stands below it, with its age.
func (s Story) Print(to io.Writer) error {
	if _, err := fmt.Fprintf(to, "request %s\n", s.Request); err != nil {
		return err
	}
	var first time.Time
	for index, step := range s.Steps {
		if index == 0 {
			first = step.Line.Time
		}
		if err := step.print(to, first); err != nil {
			return err
		}
	}
	for _, line := range s.Dropped {
		if _, err := fmt.Fprintf(to, "lines may be missing: %s dropped %s lines by %s\n",
			line.Node, line.Get("lines"), line.Time.Format(time.TimeOnly)); err != nil {
			return err
		}
	}
	return nil
}

func (s Step) print(to io.Writer, first time.Time) error {
	_, err := fmt.Fprintf(to, "%9.1f ms  %-22s %-20s %s\n",
		milliseconds(s.Line.Time.Sub(first)), s.Line.Node, s.Line.Event, fields(s.Line, "request"))
	for _, belief := range s.Beliefs {
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(to, "              believed for %.0f ms: %s %s\n",
			milliseconds(s.Line.Time.Sub(belief.Time)), belief.Event, fields(belief))
	}
	return err
}

func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

// fields are the fields of a line as text, but for some.
func fields(line Line, without ...string) string {
	var parts []string
	for _, field := range line.Fields {
		left := false
		for _, name := range without {
			left = left || field.Key == name
		}
		if left {
			continue
		}
		value := field.Value
		if strings.ContainsAny(value, " \"") {
			value = fmt.Sprintf("%q", value)
		}
		parts = append(parts, field.Key+"="+value)
	}
	return strings.Join(parts, " ")
}
