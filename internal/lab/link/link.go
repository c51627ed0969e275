// Package link puts emulated network links between clients, zones and back
// ends: TCP relays that add latency, can be cut in one or both directions, and
// reset connections after a number of bytes.
package link

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Config describes one link.
type Config struct {
	// Target is the IP and port that the link leads to.
	Target string
	// Latency is the one-way latency.
	Latency time.Duration
	// OpenCost is what a new connection costs besides the latency.
	OpenCost time.Duration
	// Failed is told of what keeps the link from relaying a connection although its target
	// is there, such as a lack of descriptors. Nil tells nobody.
	Failed func(error)
}

// Direction is one of the two ways of a link.
type Direction int

// The directions of a link.
const (
	// Forward leads to the target.
	Forward Direction = iota
	// Backward leads from the target.
	Backward
)

const directions = 2

// Link is a running relay. Its methods may be called from several goroutines.
type Link struct {
	config   Config
	listener net.Listener
	closed   chan struct{}
	workers  sync.WaitGroup
	sleepers sleepers

	mutex       sync.Mutex
	healed      [directions]chan struct{}
	resetAfter  [directions]int64
	connections map[*connection]struct{}
}

// noReset means that no reset is planned.
const noReset = int64(-1)

// Open starts a link on a free loopback port.
func Open(config Config) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotatef(err, "link to %s", config.Target)
	}
	return relay(listener, config), nil
}

// relay starts a link that takes connections from a listener.
func relay(listener net.Listener, config Config) *Link {
	link := &Link{
		config:      config,
		listener:    listener,
		closed:      make(chan struct{}),
		resetAfter:  [directions]int64{noReset, noReset},
		connections: make(map[*connection]struct{}),
	}
	link.workers.Add(1)
	go link.accept()
	return link
}

// Address is where to connect to reach the target over the link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Cut holds back all bytes of a direction, as a network that drops packets
// does; connections stay open.
func (l *Link) Cut(direction Direction) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.healed[direction] == nil {
		l.healed[direction] = make(chan struct{})
	}
}

// Heal lets the bytes of a direction pass again.
func (l *Link) Heal(direction Direction) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.healed[direction] != nil {
		close(l.healed[direction])
		l.healed[direction] = nil
	}
}

// Silence makes all connections that are open now fall silent for good: bytes and
// closes of either side are lost, without a reset. New connections work.
func (l *Link) Silence() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.connections {
		connection.silent.Store(true)
	}
}

// ResetAfter plans one reset: the connection that first carries a byte beyond
// count in the direction is reset, after exactly count of its bytes since now
// have passed.
func (l *Link) ResetAfter(direction Direction, count int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.resetAfter[direction] = count
}

// CancelReset gives a planned reset up that has not come.
func (l *Link) CancelReset(direction Direction) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.resetAfter[direction] = noReset
}

// Reset breaks all connections at once, but for those that fell silent.
func (l *Link) Reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.connections {
		if !connection.silent.Load() {
			connection.reset()
		}
	}
}

// resetAll breaks all connections, also those that fell silent.
func (l *Link) resetAll() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.connections {
		connection.reset()
	}
}

// Close ends the link, its connections and its goroutines.
func (l *Link) Close() {
	close(l.closed)
	// Closing a listener fails only when it is closed already.
	_ = l.listener.Close()
	l.resetAll()
	l.workers.Wait()
	l.sleepers.close()
}

// acceptPause is the time until connections are taken again after an error, such as a lack of
// descriptors, that passes.
const acceptPause = 10 * time.Millisecond

// accept takes connections until the link is closed.
func (l *Link) accept() {
	defer l.workers.Done()
	for {
		near, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.failed(err)
			l.wait(acceptPause)
			continue
		}
		l.workers.Add(1)
		go l.open(near.(*net.TCPConn))
	}
}

// open connects to the target and starts both directions.
func (l *Link) open(near *net.TCPConn) {
	defer l.workers.Done()
	accepted := time.Now()
	far, err := net.Dial("tcp", l.config.Target)
	if err != nil {
		l.failed(err)
		resetConn(near)
		return
	}
	opened := &connection{link: l, near: near, far: far.(*net.TCPConn)}
	if !l.register(opened) {
		opened.reset()
		return
	}
	handshake := accepted.Add(2*l.config.Latency + l.config.OpenCost)
	var both sync.WaitGroup
	both.Add(directions)
	go func() { defer both.Done(); opened.relay(Forward, opened.near, opened.far, handshake) }()
	go func() { defer both.Done(); opened.relay(Backward, opened.far, opened.near, handshake) }()
	both.Wait()
	l.forget(opened)
}

// wait waits for a time; false when the link was closed before.
func (l *Link) wait(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// later does something after a time, or when the link is closed. It is called by a worker of the
// link.
func (l *Link) later(wait time.Duration, action func()) {
	l.workers.Add(1)
	go func() {
		defer l.workers.Done()
		l.wait(wait)
		action()
	}()
}

// sleep waits for a time, exactly unless many do at a time; false when this process lacks the
// means, or the link was closed.
func (l *Link) sleep(wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	sleeper, err := l.sleepers.take()
	if err != nil {
		l.failed(err)
		return false
	}
	if sleeper == nil {
		return l.wait(wait)
	}
	defer l.sleepers.give(sleeper)
	return sleeper.Sleep(wait)
}

// failed tells of an error of this process; that the target is not there, or that the link was
// closed, is none.
func (l *Link) failed(err error) {
	if l.config.Failed != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNREFUSED) {
		l.config.Failed(err)
	}
}

// register keeps a connection for Reset; false when the link is closed.
func (l *Link) register(opened *connection) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	select {
	case <-l.closed:
		return false
	default:
	}
	l.connections[opened] = struct{}{}
	return true
}

// forget drops a connection that has ended.
func (l *Link) forget(ended *connection) {
	l.mutex.Lock()
	delete(l.connections, ended)
	l.mutex.Unlock()
	_ = ended.near.Close()
	_ = ended.far.Close()
}

// waitHealed waits while the direction is cut; false when the link closed.
func (l *Link) waitHealed(direction Direction) bool {
	for {
		l.mutex.Lock()
		healed := l.healed[direction]
		l.mutex.Unlock()
		if healed == nil {
			return true
		}
		select {
		case <-healed:
		case <-l.closed:
			return false
		}
	}
}

// allowance takes a chunk's size off a planned reset. It returns how many of
// the bytes may pass and whether the connection is to be reset after them.
func (l *Link) allowance(direction Direction, size int) (pass int, reset bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	left := l.resetAfter[direction]
	if left == noReset {
		return size, false
	}
	if int64(size) <= left {
		l.resetAfter[direction] -= int64(size)
		return size, false
	}
	l.resetAfter[direction] = noReset
	return int(left), true
}
