package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/routing"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// Proxy is the data path of one daemon. All its methods may be called from
// several goroutines.
type Proxy struct {
	config Config
	limits Limits

	// view is replaced whole; calls load it once.
	view atomic.Pointer[view]
	// changing serializes Swap and PublishMembers; calls never take it.
	changing sync.Mutex
	// servingUntil is a time on the clock, in nanoseconds.
	servingUntil atomic.Int64

	draining  atomic.Bool
	drained   chan struct{}
	drainOnce sync.Once
	running   atomic.Int64
	transport *http.Transport
}

// view is everything that a call reads, immutable.
type view struct {
	snapshot *snapshot.Snapshot
	table    *routing.Table
	members  []protocol.Member
}

// New returns a proxy that refuses calls until it has a snapshot and may
// serve.
func New(config Config) *Proxy {
	proxy := &Proxy{
		config:    config,
		limits:    config.Limits.withDefaults(),
		drained:   make(chan struct{}),
		transport: &http.Transport{DisableCompression: true},
	}
	proxy.view.Store(&view{})
	return proxy
}

// Swap puts a snapshot in force by one pointer swap, after everything that
// calls need of it was built.
func (p *Proxy) Swap(held *snapshot.Snapshot) {
	p.changing.Lock()
	defer p.changing.Unlock()
	old := p.view.Load()
	p.view.Store(&view{snapshot: held, table: routing.Compile(held), members: old.members})
}

// PublishMembers gives the newest member records, whole.
func (p *Proxy) PublishMembers(members []protocol.Member) {
	p.changing.Lock()
	defer p.changing.Unlock()
	old := p.view.Load()
	p.view.Store(&view{snapshot: old.snapshot, table: old.table, members: members})
}

// ExtendServing lets the callers' side serve until a time on the clock. It
// never shortens what was granted.
func (p *Proxy) ExtendServing(until time.Duration) {
	for {
		current := p.servingUntil.Load()
		if int64(until) <= current || p.servingUntil.CompareAndSwap(current, int64(until)) {
			return
		}
	}
}

// StartDrain refuses new work at the gate at once; see Drained.
func (p *Proxy) StartDrain() {
	if p.draining.CompareAndSwap(false, true) {
		p.checkDrained()
	}
}

// Drained is closed when a drain has ended: no call runs any more, or the hard
// bound has passed.
func (p *Proxy) Drained() <-chan struct{} { return p.drained }

func (p *Proxy) checkDrained() {
	if p.draining.Load() && p.running.Load() == 0 {
		p.drainOnce.Do(func() { close(p.drained) })
	}
}

// Close gives up the connections to other daemons and the back end.
func (p *Proxy) Close() {
	p.transport.CloseIdleConnections()
}
