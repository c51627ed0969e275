package hosted

import (
	"github.com/apex/log"
)

// eventField is one key and value of an event.
type eventField struct{ key, value string }

func field(key, value string) eventField { return eventField{key: key, value: value} }

// eventLog writes events with the daemon's name.
type eventLog struct {
	logger log.Interface
	node   string
}

func newEventLog(logger log.Interface, node string) eventLog {
	return eventLog{logger: logger, node: node}
}

func (l eventLog) event(name string, fields ...eventField) {
	if l.logger == nil {
		return
	}
	values := log.Fields{"node": l.node}
	for _, one := range fields {
		values[one.key] = one.value
	}
	l.logger.WithFields(values).Info(name)
}
