package convergence

import (
	"context"
	"fmt"
	"sync"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/lab/catalogue"
	"github.com/springstack/springstack/internal/lab/hollow"
	"github.com/springstack/springstack/internal/platform"
	"github.com/springstack/springstack/internal/result"
)

// buildDirect starts the baseline in which every proxy reads the platform
// itself: one daemon accepts changes, and readers watch the head and load the
// contents that it names.
func buildDirect(options Options) (*bench, error) {
	cluster, err := hollow.New(hollow.Options{
		Daemons: 1,
		Shape:   catalogue.DefaultShape(options.Services),
		Seed:    options.Seed,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	cluster.Platform.SetReaderLimit(0)
	cluster.Observer.IgnoreClaims()
	if err := cluster.Start(); err != nil {
		cluster.Close()
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	closeAll := func() {
		cancel()
		running.Wait()
		cluster.Close()
	}
	for number := range options.Daemons {
		port, err := platform.NewHTTP(platform.HTTPConfig{
			URL:    cluster.PlatformURL(),
			Client: fmt.Sprintf("direct-%04d", number),
		})
		if err != nil {
			closeAll()
			return nil, errors.Trace(err)
		}
		reader := &directReader{
			id:       fmt.Sprintf("direct-%04d", number),
			port:     port,
			observer: cluster.Observer,
			files:    make(map[resource.Digest]*resource.File),
		}
		running.Go(func() {
			defer port.Close()
			reader.run(ctx)
		})
	}
	// The accepting daemon is a proxy too.
	cluster.Observer.Expect(options.Daemons + 1)
	received := func() uint64 { return cluster.Platform.Counters().BytesOut }
	return &bench{cluster: cluster, received: received, close: closeAll}, nil
}

// directReader is one proxy that reads the platform itself.
type directReader struct {
	id       string
	port     platform.Port
	observer *hollow.Observer
	files    map[resource.Digest]*resource.File
	version  protocol.Version
}

// run follows the head until ctx ends; a broken watch is opened again.
func (r *directReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		reply := r.port.Do(ctx, object.Call{Kind: object.CallGet, Name: ledger.HeadObject})
		if reply.Code == result.OK {
			r.adopt(ctx, reply.Object.Data)
		}
		r.port.Watch(ctx, ledger.HeadObject, reply.Object.Version, func(event object.Event) {
			if event.Object.Name == ledger.HeadObject {
				r.adopt(ctx, event.Object.Data)
			}
		})
	}
}

// adopt puts a newer head in force once its contents are loaded.
func (r *directReader) adopt(ctx context.Context, data []byte) {
	head, err := ledger.Decode(data)
	if err != nil || head.Version <= r.version {
		return
	}
	files, complete := r.load(ctx, head)
	if !complete {
		return
	}
	var resources []resource.Encoded
	for _, file := range files {
		resources = append(resources, resource.Encode(file)...)
	}
	resource.SortEncoded(resources)
	built, err := snapshot.Build(head.Version, resources)
	if err != nil {
		return
	}
	r.files = files
	r.version = head.Version
	r.observer.Swapped(r.id, built)
}

// load returns the accepted files of a head, loading those that are new.
func (r *directReader) load(ctx context.Context, head *ledger.Head) (map[resource.Digest]*resource.File, bool) {
	files := make(map[resource.Digest]*resource.File)
	for _, entry := range head.Files {
		if entry.Accepted == nil {
			continue
		}
		digest := entry.Accepted.Digest
		file, known := r.files[digest]
		if !known {
			reply := r.port.Do(ctx, object.Call{Kind: object.CallGet, Name: ledger.ContentObject(digest)})
			decoded, err := resource.DecodeFile(reply.Object.Data)
			if reply.Code != result.OK || err != nil {
				return nil, false
			}
			file = decoded
		}
		files[digest] = file
	}
	return files, true
}
