// Package story tells what became of one request, from the log lines of the
// daemons that had to do with it: the decisions about the request in order,
// and before each what its daemon then believed of the back end and of the
// configuration.
package story

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

// MaxLine bounds one log line, in bytes. Longer ones end the reading.
const MaxLine = 64 << 10

// Field is one key and value of a line.
type Field struct {
	Key   string
	Value string
}

// Line is one event of a log.
type Line struct {
	Time   time.Time
	Event  string
	Node   string
	Fields []Field
}

// Get returns the value of a field; empty when there is none.
func (l Line) Get(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// Step is one decision about the request with what its daemon believed then.
type Step struct {
	Line Line
	// Beliefs are the newest lines of the same daemon on the instance named and
	// on the configuration, oldest first.
	Beliefs []Line
}

// Story is what the logs tell of one request.
type Story struct {
	Request string
	Steps   []Step
	// Dropped are lines by which daemons said, within the span of the request
	// and a while after it, that lines are missing.
	Dropped []Line
}

// droppedWithin is how long after a request the word that lines are missing may
// speak of it.
const droppedWithin = 15 * time.Second

// Read reads the lines of a log. Lines that are no events, as of other
// programs, are passed over; text before a line's first key is too.
func Read(from io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, MaxLine), MaxLine)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Trace(scanner.Err())
}

// parse reads one line.
func parse(text []byte) (Line, bool) {
	start := bytes.Index(text, []byte("time="))
	if start < 0 {
		return Line{}, false
	}
	decoder := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	var line Line
	for decoder.ScanKeyval() {
		value := string(decoder.Value())
		switch string(decoder.Key()) {
		case "time":
			line.Time, _ = time.Parse(time.RFC3339Nano, value)
		case "event":
			line.Event = value
		case "node":
			line.Node = value
		case "level":
		default:
			line.Fields = append(line.Fields, Field{Key: string(decoder.Key()), Value: value})
		}
	}
	return line, line.Event != "" && !line.Time.IsZero()
}

// Tell puts the story of a request together. A prefix of its id is enough when
// no other request begins with it.
func Tell(lines []Line, request string) (Story, error) {
	told := Story{Request: request}
	ids := matching(lines, request)
	switch len(ids) {
	case 0:
		return told, errors.NotFoundf("lines on request %q", request)
	case 1:
		told.Request = ids[0]
	default:
		return told, errors.NotValidf("%q, which begins the ids of %d requests", request, len(ids))
	}
	ordered := slices.Clone(lines)
	slices.SortStableFunc(ordered, func(a, b Line) int { return a.Time.Compare(b.Time) })
	for index, line := range ordered {
		if line.Get("request") == told.Request {
			told.Steps = append(told.Steps, Step{Line: line, Beliefs: beliefs(ordered[:index], line)})
		}
	}
	told.Dropped = told.missing(ordered)
	return told, nil
}

// matching lists the ids of requests that begin with a text.
func matching(lines []Line, request string) []string {
	var found []string
	for _, line := range lines {
		id := line.Get("request")
		if id == request {
			return []string{id}
		}
		if request != "" && strings.HasPrefix(id, request) && !slices.Contains(found, id) {
			found = append(found, id)
		}
	}
	return found
}

// beliefEvents are the events that change what a daemon believes.
var beliefEvents = []string{
	"backend_state", "backend_left", "backend_remembered", "configuration_in_force", "endpoint_news", "peer_lost", "peer_regained",
	"store_lost", "store_regained", "daemon_started", "drain_started",
}

// beliefs returns the newest line of the same daemon for each thing that a
// decision leans on: the instance, the peer beside it, the version, the store
// and the daemon's own start or stop.
func beliefs(earlier []Line, decision Line) []Line {
	var found []Line
	seen := map[string]bool{}
	for _, line := range slices.Backward(earlier) {
		if line.Node != decision.Node || !slices.Contains(beliefEvents, line.Event) {
			continue
		}
		about, relevant := subject(line, decision)
		if !relevant || seen[about] {
			continue
		}
		seen[about] = true
		found = append(found, line)
	}
	slices.Reverse(found)
	return found
}

// subject is what a line is about, and whether a decision leans on it.
func subject(line, decision Line) (string, bool) {
	instance := cmp.Or(decision.Get("endpoint"), decision.Get("instance"))
	switch line.Event {
	case "backend_state", "backend_left", "backend_remembered", "endpoint_news":
		return "instance", instance != "" && cmp.Or(line.Get("instance"), line.Get("backend")) == instance
	case "peer_lost", "peer_regained":
		return "peer", decision.Get("peer") != "" && line.Get("peer") == decision.Get("peer")
	case "configuration_in_force":
		return "configuration", true
	case "store_lost", "store_regained":
		return "store", true
	}
	return "daemon", true
}

// missing are the lines that tell of dropped lines near the request.
func (s Story) missing(lines []Line) []Line {
	if len(s.Steps) == 0 {
		return nil
	}
	first, last := s.Steps[0].Line.Time, s.Steps[len(s.Steps)-1].Line.Time.Add(droppedWithin)
	var found []Line
	for _, line := range lines {
		if line.Event == "log_lines_dropped" && line.Time.After(first) && line.Time.Before(last) {
			found = append(found, line)
		}
	}
	return found
}
