package daemon

import (
	"github.com/apex/log"

	"github.com/springstack/springstack/internal/core/node"
)

// EventLog writes one line an event. It is safe for use by many goroutines.
type EventLog interface {
	Event(name string, fields []node.LogField)
}

// apexEvents writes events through apex/log.
type apexEvents struct {
	logger log.Interface
}

// NewEventLog returns an EventLog that writes to logger.
func NewEventLog(logger log.Interface) EventLog { return apexEvents{logger: logger} }

// Event writes the event's name as the message and its fields beside it.
func (e apexEvents) Event(name string, fields []node.LogField) {
	values := make(log.Fields, len(fields))
	for _, field := range fields {
		values[field.Key] = field.Value
	}
	e.logger.WithFields(values).Info(name)
}

// discardEvents drops all events.
type discardEvents struct{}

// Event does nothing.
func (discardEvents) Event(string, []node.LogField) {}

// DiscardEvents returns an EventLog that drops all events.
func DiscardEvents() EventLog { return discardEvents{} }
