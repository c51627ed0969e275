package hosted

import (
	"maps"
	"sync"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/result"
)

// storePurpose is what a call to the store was made for.
type storePurpose string

// The purposes of calls to the store.
const (
	// purposeRead reads the configuration at the start, and after a failure or
	// a lost history.
	purposeRead storePurpose = "read"
	// purposeWatch waits for a change of the configuration.
	purposeWatch storePurpose = "watch"
	// purposePoll reads the configuration beside the watch.
	purposePoll storePurpose = "poll"
	// purposeList lists the registered daemons.
	purposeList storePurpose = "list"
	// purposeRegister writes the daemon's own registration.
	purposeRegister storePurpose = "register"
	// purposeRollout reads orders and writes what became of them.
	purposeRollout storePurpose = "rollout"
	// purposeEvacuation reads orders to empty zones.
	purposeEvacuation storePurpose = "evacuation"
	// purposeHeld reads and writes the requests that are held.
	purposeHeld storePurpose = "held"
	// purposeUnregister takes it away.
	purposeUnregister storePurpose = "unregister"
)

// storePurposes are all purposes, in the order of summaries.
var storePurposes = []storePurpose{
	purposeList, purposeRegister, purposeRead, purposeWatch, purposePoll, purposeRollout, purposeEvacuation, purposeHeld,
	purposeUnregister,
}

// storeCall is a kind of call to the store with its result.
type storeCall struct {
	purpose storePurpose
	code    result.Code
}

// storeCalls counts the calls to the store. It may be used by several goroutines.
type storeCalls struct {
	mutex  sync.Mutex
	counts map[storeCall]uint64
}

// note counts a call.
func (c *storeCalls) record(purpose storePurpose, code result.Code) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.counts == nil {
		c.counts = map[storeCall]uint64{}
	}
	c.counts[storeCall{purpose: purpose, code: code}]++
}

// noteError counts a call by its error, which may be nil.
func (c *storeCalls) recordError(purpose storePurpose, err error) {
	c.record(purpose, codeOf(err))
}

// codeOf is the result code of a call to the store; PlatformUnknown for an error
// without one.
func codeOf(err error) result.Code {
	if err == nil {
		return result.OK
	}
	if coded := (*result.Error)(nil); errors.As(err, &coded) {
		return coded.Code
	}
	return result.PlatformUnknown
}

// snapshot returns the counts so far.
func (c *storeCalls) snapshot() map[storeCall]uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return maps.Clone(c.counts)
}
