package hosted

import (
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/following"
	"github.com/springstack/springstack/internal/proxy"
)

// contactSource is somebody who tells a daemon of versions.
type contactSource int

// The sources.
const (
	// contactWatch is a read or watch of the store that keeps up with its changes.
	contactWatch contactSource = iota
	// contactPoll is a read of the store beside the watch.
	contactPoll
	// contactPeer is another daemon that called this one or answered it.
	contactPeer
	contactSourceCount
)

// contactNames are the sources' names in logs and metrics.
var contactSourceNames = [contactSourceCount]string{following.SourceStore, following.SourcePoll, following.SourcePeer}

// contact keeps when each source was last heard. It may be used by several goroutines.
type contactTimes struct {
	clock func() time.Duration
	// heardAt is on the clock, in nanoseconds; 0 for never.
	contactedAt [contactSourceCount]atomic.Int64
}

func newContactTimes(clock func() time.Duration) *contactTimes { return &contactTimes{clock: clock} }

func (c *contactTimes) record(source contactSource) { c.contactedAt[source].Store(int64(c.clock())) }

// age is how long ago a source was heard; false if it never was.
func (c *contactTimes) age(source contactSource) (age time.Duration, ever bool) {
	heard := time.Duration(c.contactedAt[source].Load())
	return c.clock() - heard, heard != 0
}

// fields tell for each source how long ago it was heard.
func (c *contactTimes) ageFields() []proxy.EventField {
	fields := make([]proxy.EventField, 0, contactSourceCount)
	for source, name := range contactSourceNames {
		text := "never"
		if age, ever := c.age(contactSource(source)); ever {
			text = formatMillis(age)
		}
		fields = append(fields, proxy.EventField{Key: name + "_heard_ms", Value: text})
	}
	return fields
}
