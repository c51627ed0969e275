package hosted

import (
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/following"
	"github.com/springstack/springstack/internal/proxy"
)

// contactSource is a source from which a daemon learns of configuration versions.
type contactSource int

// The sources.
const (
	// contactWatch is the store, by a watch or by a read other than a poll.
	contactWatch contactSource = iota
	// contactPoll is the store, by a poll in addition to the watch.
	contactPoll
	// contactPeer is any other daemon that called this one or answered it.
	contactPeer
	contactSourceCount
)

// contactSourceNames are the names of the sources in logs and metrics.
var contactSourceNames = [contactSourceCount]string{following.SourceStore, following.SourcePoll, following.SourcePeer}

// contactTimes holds the time of the last contact with each source. It is safe for concurrent use.
type contactTimes struct {
	clock func() time.Duration
	// contactedAt holds, by source, the clock's time of the last contact in nanoseconds; 0 if there
	// was none.
	contactedAt [contactSourceCount]atomic.Int64
}

func newContactTimes(clock func() time.Duration) *contactTimes { return &contactTimes{clock: clock} }

func (c *contactTimes) record(source contactSource) { c.contactedAt[source].Store(int64(c.clock())) }

// age returns the time since the last contact with a source, and false if there was none.
func (c *contactTimes) age(source contactSource) (age time.Duration, contacted bool) {
	last := time.Duration(c.contactedAt[source].Load())
	return c.clock() - last, last != 0
}

// ageFields returns for each source a log field with the time since its last contact.
func (c *contactTimes) ageFields() []proxy.EventField {
	fields := make([]proxy.EventField, 0, contactSourceCount)
	for source, name := range contactSourceNames {
		text := "never"
		if age, contacted := c.age(contactSource(source)); contacted {
			text = formatMillis(age)
		}
		fields = append(fields, proxy.EventField{Key: name + "_heard_ms", Value: text})
	}
	return fields
}
