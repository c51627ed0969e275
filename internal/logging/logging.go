// Package logging writes one line of key=value pairs an event through
// apex/log, and declares the stable names of all events.
package logging

import (
	"encoding"
	"fmt"
	"io"
	"os"
	"reflect"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"
)

// The keys that each line begins with.
const (
	KeyTime  = "time"
	KeyLevel = "level"
	KeyEvent = "event"
)

// New returns a logger that writes events of a level or above to stderr.
func New(level log.Level) *log.Logger { return NewTo(os.Stderr, level) }

// NewTo is New on any writer.
func NewTo(writer io.Writer, level log.Level) *log.Logger {
	// The handler filters, as it knows the levels of the events.
	return &log.Logger{Handler: &handler{writer: writer, least: level}, Level: log.DebugLevel}
}

// ParseLevel reads log.level of the settings.
func ParseLevel(text string) (log.Level, error) {
	level, err := log.ParseLevel(text)
	return level, errors.Trace(err)
}

// handler writes entries as lines. The message of an entry is the event name.
type handler struct {
	mutex  sync.Mutex
	writer io.Writer
	least  log.Level
}

// HandleLog implements log.Handler. A line that can't be written is lost: an
// event is never worth stopping the daemon for.
func (h *handler) HandleLog(entry *log.Entry) error {
	level := lineLevel(entry)
	if level < h.least {
		return nil
	}
	line, err := encode(entry, level)
	if err != nil {
		return errors.Trace(err)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	_, err = h.writer.Write(line)
	return errors.Trace(err)
}

// lineLevel returns the level of a line: that of the call, or that of the event
// when the call leaves it open by logging at info.
func lineLevel(entry *log.Entry) log.Level {
	if entry.Level == log.InfoLevel {
		return LevelOf(entry.Message)
	}
	return entry.Level
}

// encode returns the line of an entry, its fields in order of key.
func encode(entry *log.Entry, level log.Level) ([]byte, error) {
	pairs := []any{
		KeyTime, entry.Timestamp.UTC().Format(time.RFC3339Nano),
		KeyLevel, level.String(),
		KeyEvent, entry.Message,
	}
	for _, name := range entry.Fields.Names() {
		pairs = append(pairs, fieldKey(name), fieldValue(entry.Fields.Get(name)))
	}
	line, err := logfmt.MarshalKeyvals(pairs...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return append(line, '\n'), nil
}

// fieldKey keeps fields from standing in for the keys that begin a line.
func fieldKey(name string) string {
	switch name {
	case "", KeyTime, KeyLevel, KeyEvent:
		return "field_" + name
	default:
		return name
	}
}

// fieldValue returns what is written for a value. Values with parts of their
// own are written as their type alone, as a part could be a secret.
func fieldValue(value any) any {
	switch known := value.(type) {
	case nil, string, error:
		return known
	case encoding.TextMarshaler, fmt.Stringer:
		return known
	}
	switch reflect.TypeOf(value).Kind() {
	case reflect.Bool, reflect.String,
		reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64,
		reflect.Float32, reflect.Float64:
		return fmt.Sprint(value)
	default:
		return fmt.Sprintf("[%T]", value)
	}
}
