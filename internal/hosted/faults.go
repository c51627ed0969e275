package hosted

import (
	"strconv"
	"sync"
)

// maxLoggedFaults limits the number of faults that are logged and remembered. Further faults are not
// logged.
const maxLoggedFaults = 256

// faultLog logs each fault of an ignored store entry once. It is safe for concurrent
// use.
type faultLog struct {
	events eventLog

	mutex  sync.Mutex
	logged map[string]bool
}

func newFaultLog(events eventLog) *faultLog {
	return &faultLog{events: events, logged: map[string]bool{}}
}

// logOnce logs a fault unless it has been logged before. It implements FaultHandler.
func (l *faultLog) logOnce(kind, name string, fault error) {
	key := kind + "/" + name + ": " + fault.Error()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.logged[key] || len(l.logged) >= maxLoggedFaults {
		return
	}
	l.logged[key] = true
	l.events.event("store_entry_left_out", field("kind", kind), field("name", strconv.QuoteToASCII(name)),
		field("code", formatCode(codeOf(fault))), field("error", fault.Error()))
}
