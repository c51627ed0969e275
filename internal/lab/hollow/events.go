package hollow

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/platform"
	"github.com/springstack/springstack/internal/result"
)

// The events of the node that a cluster follows.
const (
	eventInForce     = "version_in_force"
	eventReader      = "reader_gained"
	eventReaderLost  = "reader_lost"
	eventRoot        = "root_started"
	eventRootStopped = "root_stopped"
)

// roleWatch follows which roles a node holds.
type roleWatch struct {
	reader atomic.Bool
	root   atomic.Bool
}

// eventWatch reads a node's events.
type eventWatch struct {
	node *Node
}

// Event checks claims and follows roles.
func (w eventWatch) Event(name string, fields []node.LogField) {
	switch name {
	case eventInForce:
		w.node.cluster.Observer.InForce(w.node.ID, versionOf(fields))
	case eventReader:
		w.node.role.reader.Store(true)
	case eventReaderLost:
		w.node.role.reader.Store(false)
	case eventRoot:
		w.node.role.root.Store(true)
	case eventRootStopped:
		w.node.role.root.Store(false)
	}
	w.node.cluster.events.add(name)
	if log := w.node.cluster.options.Log; log != nil {
		log(w.node.ID, name, fields)
	}
}

func versionOf(fields []node.LogField) protocol.Version {
	for _, field := range fields {
		if field.Key == "version" {
			version, _ := strconv.ParseUint(field.Value, 10, 64)
			return protocol.Version(version)
		}
	}
	return 0
}

// acceptancePort tells the observer when an update of the head succeeded.
type acceptancePort struct {
	platform.Port
	observer *Observer
}

// Do carries out the call and looks at updates of the head.
func (p acceptancePort) Do(ctx context.Context, call object.Call) object.Reply {
	reply := p.Port.Do(ctx, call)
	writes := call.Kind == object.CallUpdate || call.Kind == object.CallCreate
	if writes && call.Name == ledger.HeadObject && reply.Code == result.OK {
		if head, err := ledger.Decode(call.Data); err == nil {
			p.observer.Accepted(head.Version, time.Now())
		}
	}
	return reply
}

// eventTally counts events by name.
type eventTally struct {
	mutex sync.Mutex
	names map[string]uint64
}

func (t *eventTally) add(name string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.names == nil {
		t.names = make(map[string]uint64)
	}
	t.names[name]++
}

func (t *eventTally) counts() map[string]uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.names)
}
