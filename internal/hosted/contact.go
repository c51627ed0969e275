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
	contactSources
)

// contactNames are the sources' names in logs and metrics.
var contactNames = [contactSources]string{following.SourceStore, following.SourcePoll, following.SourcePeer}

// contact keeps when each source was last heard. It may be used by several goroutines.
type contact struct {
	clock func() time.Duration
	// heardAt is on the clock, in nanoseconds; 0 for never.
	heardAt [contactSources]atomic.Int64
}

func newContact(clock func() time.Duration) *contact { return &contact{clock: clock} }

func (c *contact) note(source contactSource) { c.heardAt[source].Store(int64(c.clock())) }

// age is how long ago a source was heard; false if it never was.
func (c *contact) age(source contactSource) (age time.Duration, ever bool) {
	heard := time.Duration(c.heardAt[source].Load())
	return c.clock() - heard, heard != 0
}

// fields tell for each source how long ago it was heard.
func (c *contact) fields() []proxy.EventField {
	fields := make([]proxy.EventField, 0, contactSources)
	for source, name := range contactNames {
		text := "never"
		if age, ever := c.age(contactSource(source)); ever {
			text = milliseconds(age)
		}
		fields = append(fields, proxy.EventField{Key: name + "_heard_ms", Value: text})
	}
	return fields
}
