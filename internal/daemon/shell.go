package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springstack/springstack/internal/access"
	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/platform"
	"github.com/springstack/springstack/internal/result"
)

// inboxLength bounds the messages that wait for the node. Senders wait when it
// is full, which slows peers down instead of taking memory.
const inboxLength = 256

// DataPath is what the node drives on the path of requests. Its methods are
// called by one goroutine and must not block.
type DataPath interface {
	// Swap puts a snapshot in force by one atomic pointer swap.
	Swap(next *snapshot.Snapshot)
	// PublishMembers gives the newest member records, whole.
	PublishMembers(members []protocol.Member)
	// ExtendServing allows serving until a time on the shell's clock.
	ExtendServing(until time.Duration)
}

// PeerCaller calls other daemons; control.Client is one.
type PeerCaller interface {
	Call(ctx context.Context, address string, body any) (any, error)
}

// Clock tells monotonic time since an arbitrary origin.
type Clock func() time.Duration

// NewClock returns a clock whose origin is now.
func NewClock() Clock {
	origin := time.Now()
	return func() time.Duration { return time.Since(origin) }
}

// Shell steps one node. One goroutine steps it; effects that wait run on their
// own goroutines, which end with the shell.
type Shell struct {
	node     *node.Node
	clock    Clock
	peers    PeerCaller
	platform platform.Port
	path     DataPath
	events   EventLog

	ctx     context.Context
	cancel  context.CancelFunc
	inbox   chan node.Message
	running sync.WaitGroup

	nextToken atomic.Uint64
	waiters   waiters
	// watches are the running watches; only the stepping goroutine uses them.
	watches map[node.Token]context.CancelFunc

	// backend is the newest state of the back end beside the daemon;
	// backendChanged has an entry while the node has not been told.
	backend        atomic.Int64
	backendChanged chan struct{}

	state shellState
}

// ShellOptions are the parts that a shell is made of.
type ShellOptions struct {
	Node     *node.Node
	Clock    Clock
	Peers    PeerCaller
	Platform platform.Port
	Path     DataPath
	Events   EventLog
}

// NewShell returns a shell that does not run yet.
func NewShell(options ShellOptions) *Shell {
	ctx, cancel := context.WithCancel(context.Background())
	return &Shell{
		node:     options.Node,
		clock:    options.Clock,
		peers:    options.Peers,
		platform: options.Platform,
		path:     options.Path,
		events:   options.Events,
		ctx:      ctx,
		cancel:   cancel,
		inbox:    make(chan node.Message, inboxLength),

		backendChanged: make(chan struct{}, 1),
		waiters:        waiters{pending: make(map[node.Token]chan any)},
		watches:        make(map[node.Token]context.CancelFunc),
	}
}

// Start begins to step the node.
func (s *Shell) Start() {
	s.running.Add(1)
	go s.run()
}

// Stop ends the shell and waits for all of its goroutines. Calls that wait for
// the node get an error.
func (s *Shell) Stop() {
	s.cancel()
	s.running.Wait()
}

func (s *Shell) run() {
	defer s.running.Done()
	ticker := time.NewTicker(node.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.step(node.Tick{WallClock: time.Now()})
		case message := <-s.inbox:
			s.step(message)
		case <-s.backendChanged:
			s.step(node.BackendReport{State: protocol.EndpointState(s.backend.Load())})
		}
	}
}

// step steps the node with a message and with those that its effects cause at
// once.
func (s *Shell) step(message node.Message) {
	pending := []node.Message{message}
	for len(pending) > 0 {
		next := pending[0]
		pending = pending[1:]
		began := time.Now()
		effects := s.node.Step(s.clock(), next)
		s.state.stepped(s.clock(), time.Since(began))
		for _, effect := range effects {
			if follows := s.carryOut(effect); follows != nil {
				pending = append(pending, follows)
			}
		}
	}
}

// send gives the node a message unless the shell or ctx ends first.
func (s *Shell) send(ctx context.Context, message node.Message) bool {
	select {
	case s.inbox <- message:
		return true
	case <-ctx.Done():
		return false
	case <-s.ctx.Done():
		return false
	}
}

// spawn runs work on a goroutine that Stop waits for.
func (s *Shell) spawn(work func()) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		work()
	}()
}

// errStopped answers callers when the shell ends before the node answered.
var errStopped = result.New(result.NotReadyYet, "the daemon is stopping")

// ask sends the message that build makes for a new token and waits for the
// answer.
func (s *Shell) ask(ctx context.Context, build func(token node.Token) node.Message) (any, error) {
	token := node.Token(s.nextToken.Add(1))
	answer := s.waiters.add(token)
	defer s.waiters.remove(token)
	if !s.send(ctx, build(token)) {
		return nil, stopReason(ctx)
	}
	select {
	case body := <-answer:
		return body, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.ctx.Done():
		return nil, errStopped
	}
}

func stopReason(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errStopped
}

// HandlePeer passes a peer's call to the node and returns its answer. With TLS,
// each peer has certificates, and speaks only for the node that they name.
func (s *Shell) HandlePeer(ctx context.Context, peer control.Peer, body any) (any, error) {
	if len(peer.Certificates) > 0 {
		if refusal := access.CheckRequest(peer.Certificates, body); refusal != nil {
			return nil, refusal
		}
	}
	return s.ask(ctx, func(token node.Token) node.Message {
		return node.PeerRequest{Token: token, Body: body}
	})
}

// AskOperator passes an operator's request to the node and returns its answer.
func (s *Shell) AskOperator(ctx context.Context, body any) (any, error) {
	return s.ask(ctx, func(token node.Token) node.Message {
		return node.OperatorRequest{Token: token, Body: body, WallClock: time.Now()}
	})
}

// Leave tells the mesh that the daemon is leaving.
func (s *Shell) Leave(ctx context.Context) bool { return s.send(ctx, node.Leave{}) }

// Stopped tells the mesh that the data path has stopped for good. The shell
// must run on for StoppedReport, so that the word goes out.
func (s *Shell) Stopped(ctx context.Context) bool { return s.send(ctx, node.Stopped{}) }

// StoppedReport is how long the word of a stop takes to go out.
const StoppedReport = 500 * time.Millisecond

// ReportBackend tells the node the state of the back end beside it. It does
// not block; of several reports in a row the node may see only the newest.
func (s *Shell) ReportBackend(state protocol.EndpointState) {
	s.backend.Store(int64(state))
	select {
	case s.backendChanged <- struct{}{}:
	default:
	}
}

// SinceStep returns how long ago the node was last stepped.
func (s *Shell) SinceStep() time.Duration { return s.clock() - s.state.lastStepAt() }

// State returns what the shell has seen of its node.
func (s *Shell) State() State { return s.state.load(s.clock()) }

// waiters are the calls that wait for an answer of the node.
type waiters struct {
	mutex   sync.Mutex
	pending map[node.Token]chan any
}

func (w *waiters) add(token node.Token) chan any {
	answer := make(chan any, 1)
	w.mutex.Lock()
	w.pending[token] = answer
	w.mutex.Unlock()
	return answer
}

func (w *waiters) remove(token node.Token) {
	w.mutex.Lock()
	delete(w.pending, token)
	w.mutex.Unlock()
}

// deliver hands an answer to its caller, if that still waits.
func (w *waiters) deliver(token node.Token, body any) {
	w.mutex.Lock()
	answer, found := w.pending[token]
	delete(w.pending, token)
	w.mutex.Unlock()
	if found {
		answer <- body
	}
}
