package node

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// callTable holds the callbacks of the peer calls that await a reply.
type callTable struct {
	lastToken Token
	callbacks map[Token]func(body any)
}

func newCallTable() callTable {
	return callTable{callbacks: map[Token]func(body any){}}
}

func (n *Node) newToken() Token {
	n.calls.lastToken++
	return n.calls.lastToken
}

// callPeer sends a request to another daemon and calls done with the reply, or with
// nil when none arrived; the request may have taken effect even then.
func (n *Node) callPeer(address string, body any, timeout time.Duration, done func(reply any)) Token {
	token := n.newToken()
	n.calls.callbacks[token] = done
	n.emit(CallPeer{Token: token, Address: address, Body: body, Timeout: timeout})
	return token
}

// handlePeerReply passes a reply to the callback of its call. A reply without a
// pending call is late or a duplicate and is dropped.
func (n *Node) handlePeerReply(reply PeerReply) {
	done, found := n.calls.callbacks[reply.Token]
	if !found {
		return
	}
	delete(n.calls.callbacks, reply.Token)
	if reply.Failed {
		done(nil)
		return
	}
	done(reply.Body)
}

// handlePeerRequest dispatches a request from another daemon; the answer may be
// sent in a later step.
func (n *Node) handlePeerRequest(request PeerRequest) {
	switch body := request.Body.(type) {
	case *protocol.FetchRequest:
		n.handleFetch(request.Token, body)
	case *protocol.StoreRequest:
		n.answerPeer(request.Token, n.handleStore(body))
	case *protocol.FloorRequest:
		n.handleFloor(request.Token, body)
	case *protocol.SubmitRequest:
		n.handlePeerSubmit(request.Token, body)
	case *protocol.StatusRequest:
		n.handlePeerStatus(request.Token, body)
	}
}

func (n *Node) answerPeer(token Token, body any) {
	n.emit(PeerAnswer{Token: token, Body: body})
}

// isKnownFormat reports whether this daemon understands every field of a peer's
// message.
func isKnownFormat(format int) bool { return format == protocol.Format }

// newRefusal returns the fetch reply of a daemon that does not accept the sender
// as a child.
func newRefusal(code result.Code, retryAfter time.Duration) *protocol.FetchReply {
	return &protocol.FetchReply{Format: protocol.Format, Code: code, RetryAfter: retryAfter}
}
