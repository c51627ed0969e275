package node

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// calls pairs the effects that expect an answer with what to do with it.
type calls struct {
	next    Token
	waiting map[Token]func(body any)
}

func newCalls() calls {
	return calls{waiting: map[Token]func(body any){}}
}

func (n *Node) newToken() Token {
	n.calls.next++
	return n.calls.next
}

// call asks another daemon and calls done with the reply, or with nil when no
// answer came, which leaves open whether the call had its effect.
func (n *Node) call(address string, body any, timeout time.Duration, done func(reply any)) Token {
	token := n.newToken()
	n.calls.waiting[token] = done
	n.emit(CallPeer{Token: token, Address: address, Body: body, Timeout: timeout})
	return token
}

// finishCall hands a reply to the one who waits for it. A reply that nobody
// waits for is late or a duplicate and is dropped.
func (n *Node) finishCall(reply PeerReply) {
	done, found := n.calls.waiting[reply.Token]
	if !found {
		return
	}
	delete(n.calls.waiting, reply.Token)
	if reply.Failed {
		done(nil)
		return
	}
	done(reply.Body)
}

// handlePeerRequest answers another daemon, at once or later.
func (n *Node) handlePeerRequest(request PeerRequest) {
	switch body := request.Body.(type) {
	case *protocol.FetchRequest:
		n.handleFetch(request.Token, body)
	case *protocol.StoreRequest:
		n.answer(request.Token, n.handleStore(body))
	case *protocol.FloorRequest:
		n.handleFloor(request.Token, body)
	case *protocol.SubmitRequest:
		n.handlePeerSubmit(request.Token, body)
	case *protocol.StatusRequest:
		n.handlePeerStatus(request.Token, body)
	}
}

func (n *Node) answer(token Token, body any) {
	n.emit(PeerAnswer{Token: token, Body: body})
}

// knownFormat reports whether a peer's message can be understood whole.
func knownFormat(format int) bool { return format == protocol.Format }

// refusal returns the fetch reply of a daemon that is no parent for the sender.
func refusal(code result.Code, retryAfter time.Duration) *protocol.FetchReply {
	return &protocol.FetchReply{Format: protocol.Format, Code: code, RetryAfter: retryAfter}
}
