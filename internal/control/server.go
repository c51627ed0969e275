package control

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/rpc"
	"sync"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// Peer describes the daemon that opened an accepted connection.
type Peer struct {
	// Address is its remote IP and port.
	Address string
	// Certificates are the verified certificates that it presented; empty without TLS.
	Certificates []*x509.Certificate
}

// Handler answers the calls of peers. Body is a pointer to a protocol request;
// the answer is a pointer to the matching reply. ctx ends when the peer's
// connection or the server does; the handler must then return.
type Handler interface {
	HandlePeer(ctx context.Context, peer Peer, body any) (any, error)
}

// Server accepts calls of other daemons.
type Server struct {
	listener net.Listener
	secure   *tls.Config
	handler  Handler
	limits   Limits
	meter    *Meter

	ctx    context.Context
	cancel context.CancelFunc
	calls  chan struct{}
	// receivers holds those that serve no connection.
	receivers sync.Pool

	mutex       sync.Mutex
	connections map[net.Conn]struct{}
	running     sync.WaitGroup
}

// NewServer returns a server for a listener. secure configures mutual TLS; with nil, connections are
// not encrypted.
func NewServer(listener net.Listener, secure *tls.Config, handler Handler, limits Limits, meter *Meter) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		listener:    listener,
		secure:      secure,
		handler:     handler,
		limits:      limits,
		meter:       meter,
		ctx:         ctx,
		cancel:      cancel,
		calls:       make(chan struct{}, limits.Calls),
		connections: make(map[net.Conn]struct{}),
	}
}

// Start begins to accept connections.
func (s *Server) Start() {
	s.running.Add(1)
	go s.accept()
}

// Address returns the IP and port listened on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections, cancels all calls and waits for their goroutines.
func (s *Server) Close() {
	s.cancel()
	s.listener.Close()
	s.mutex.Lock()
	for connection := range s.connections {
		connection.Close()
	}
	s.mutex.Unlock()
	s.running.Wait()
}

func (s *Server) accept() {
	defer s.running.Done()
	for {
		connection, err := s.listener.Accept()
		if s.ctx.Err() != nil {
			if err == nil {
				connection.Close()
			}
			return
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if !s.admit(connection) {
			connection.Close()
		}
	}
}

// admit starts serving a connection, unless Limits.Connections are open.
func (s *Server) admit(connection net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ctx.Err() != nil || len(s.connections) >= s.limits.Connections {
		return false
	}
	s.connections[connection] = struct{}{}
	s.running.Add(1)
	go s.serve(connection)
	return true
}

func (s *Server) serve(raw net.Conn) {
	defer s.running.Done()
	defer func() {
		s.mutex.Lock()
		delete(s.connections, raw)
		s.mutex.Unlock()
		raw.Close()
	}()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	connection, peer, err := s.handshake(ctx, raw)
	if err != nil {
		return
	}
	receiver, err := s.takeReceiver()
	if err != nil {
		return // the methods are fixed; tests show that they register
	}
	defer s.receivers.Put(receiver)
	receiver.service.ctx, receiver.service.peer = ctx, peer
	codec := &serverCodec{
		wire:   newWire(connection, s.limits, s.limits.RequestBytes, s.meter, 0),
		cancel: cancel,
		slots:  make(chan struct{}, s.limits.CallsPerConnection),
		done:   ctx.Done(),
		kinds:  make(map[uint64]Kind),
	}
	receiver.rpc.ServeCodec(codec) // returns when all calls of the connection have ended
}

// receiver is a net/rpc server with the methods of one connection. It is used for one connection
// after the other, since registering the methods costs more than a call.
type receiver struct {
	rpc     *rpc.Server
	service *meshService
}

func (s *Server) takeReceiver() (*receiver, error) {
	if kept, ok := s.receivers.Get().(*receiver); ok {
		return kept, nil
	}
	made := &receiver{rpc: rpc.NewServer(), service: &meshService{server: s}}
	return made, made.rpc.RegisterName(serviceName, made.service)
}

// handshake completes the TLS handshake within the dial timeout, so that a peer that sends nothing does
// not occupy a connection.
func (s *Server) handshake(ctx context.Context, raw net.Conn) (net.Conn, Peer, error) {
	peer := Peer{Address: raw.RemoteAddr().String()}
	if s.secure == nil {
		return raw, peer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.limits.DialTimeout)
	defer cancel()
	connection := tls.Server(raw, s.secure)
	if err := connection.HandshakeContext(ctx); err != nil {
		return nil, peer, err
	}
	peer.Certificates = connection.ConnectionState().PeerCertificates
	return connection, peer, nil
}

// meshService is the net/rpc receiver of one connection.
type meshService struct {
	ctx    context.Context
	peer   Peer
	server *Server
}

// Fetch answers a fetch.
func (m *meshService) Fetch(request *protocol.FetchRequest, reply *protocol.FetchReply) error {
	return answer(m, request, reply)
}

// Store answers a keeper's store.
func (m *meshService) Store(request *protocol.StoreRequest, reply *protocol.StoreReply) error {
	return answer(m, request, reply)
}

// Floor answers a question for the version floor.
func (m *meshService) Floor(request *protocol.FloorRequest, reply *protocol.FloorReply) error {
	return answer(m, request, reply)
}

// Submit answers an operator's change that another daemon passes on.
func (m *meshService) Submit(request *protocol.SubmitRequest, reply *protocol.SubmitReply) error {
	return answer(m, request, reply)
}

// Status answers a question for status.
func (m *meshService) Status(request *protocol.StatusRequest, reply *protocol.StatusReply) error {
	return answer(m, request, reply)
}

// Exchange answers a comparison of member records.
func (m *meshService) Exchange(request *protocol.ExchangeRequest, reply *protocol.ExchangeReply) error {
	return answer(m, request, reply)
}

// Document answers a question for a configuration document.
func (m *meshService) Document(request *protocol.DocumentRequest, reply *protocol.DocumentReply) error {
	return answer(m, request, reply)
}

// Evidence answers a question for what a gate has counted.
func (m *meshService) Evidence(request *protocol.EvidenceRequest, reply *protocol.EvidenceReply) error {
	return answer(m, request, reply)
}

// Quota answers a request for a lease of a tenant's calls.
func (m *meshService) Quota(request *protocol.QuotaRequest, reply *protocol.QuotaReply) error {
	return answer(m, request, reply)
}

// answer runs one call, unless Limits.Calls are running.
func answer[Reply any](m *meshService, request any, reply *Reply) error {
	select {
	case m.server.calls <- struct{}{}:
		defer func() { <-m.server.calls }()
	default:
		return result.New(result.Overloaded, "too many control calls run")
	}
	body, err := m.server.handler.HandlePeer(m.ctx, m.peer, request)
	if err != nil {
		return err
	}
	typed, ok := body.(*Reply)
	if !ok || typed == nil {
		return result.New(result.Internal, "no answer of type %T", reply)
	}
	*reply = *typed
	return nil
}
