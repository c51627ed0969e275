package hosted

import (
	"strconv"
	"sync"
)

// toldLimit bounds the entries of the store whose faults are remembered as told.
const maxLoggedFaults = 256

// faultLog tells once of each entry of the store that is left out. It may be used by several
// goroutines.
type faultLog struct {
	events eventLog

	mutex  sync.Mutex
	logged map[string]bool
}

func newFaultLog(events eventLog) *faultLog {
	return &faultLog{events: events, logged: map[string]bool{}}
}

// tell implements TellFault.
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
