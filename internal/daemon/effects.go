package daemon

import (
	"context"

	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/result"
)

// carryOut does what an effect asks for. Effects that wait are started on a
// goroutine; it returns the message that the effect causes at once, if any.
func (s *Shell) carryOut(effect node.Effect) node.Message {
	switch typed := effect.(type) {
	case node.CallPeer:
		s.spawn(func() { s.callPeer(typed) })
	case node.PeerAnswer:
		s.waiters.deliver(typed.Token, typed.Body)
	case node.OperatorAnswer:
		s.waiters.deliver(typed.Token, typed.Body)
	case node.CallPlatform:
		s.spawn(func() { s.callPlatform(typed) })
	case node.StartWatch:
		s.startWatch(typed)
	case node.StopWatch:
		s.stopWatch(typed.Token)
	case node.SwapSnapshot:
		return s.swap(typed)
	case node.ExtendServingLease:
		s.state.extend(typed.Until)
		s.path.ExtendServing(typed.Until)
	case node.PublishMembers:
		s.state.members.Store(int64(len(typed.Members)))
		s.path.PublishMembers(typed.Members)
	case node.LogEvent:
		s.events.Event(typed.Name, typed.Fields)
	}
	return nil
}

// swap puts a snapshot in force; the node may acknowledge it only now.
func (s *Shell) swap(effect node.SwapSnapshot) node.Message {
	s.path.Swap(effect.Snapshot)
	s.state.swapped(effect.Snapshot)
	return node.SnapshotInForce{Version: effect.Snapshot.Version}
}

func (s *Shell) callPeer(effect node.CallPeer) {
	ctx, cancel := context.WithTimeout(s.ctx, effect.Timeout)
	defer cancel()
	reply, err := s.peers.Call(ctx, effect.Address, effect.Body)
	if err != nil {
		s.state.peerFailures.Add(1)
		reply = nil
	}
	s.send(s.ctx, node.PeerReply{Token: effect.Token, Body: reply, Failed: err != nil})
}

func (s *Shell) callPlatform(effect node.CallPlatform) {
	ctx, cancel := context.WithTimeout(s.ctx, effect.Timeout)
	defer cancel()
	s.state.platformCalls.Add(1)
	reply := s.platform.Do(ctx, effect.Call)
	s.send(s.ctx, node.PlatformReply{Token: effect.Token, Reply: reply})
}

func (s *Shell) startWatch(effect node.StartWatch) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.watches[effect.Token] = cancel
	s.state.platformCalls.Add(1)
	s.spawn(func() {
		defer cancel()
		reply := s.platform.Watch(ctx, effect.Prefix, effect.From, func(event object.Event) {
			s.send(ctx, node.PlatformEvent{Watch: effect.Token, Event: event})
		})
		s.send(ctx, node.WatchEnded{Watch: effect.Token, Code: watchCode(reply)})
	})
}

// watchCode returns why a watch ended; an end without a reason is an outage.
func watchCode(reply object.Reply) result.Code {
	if reply.Code == result.OK {
		return result.PlatformUnavailable
	}
	return reply.Code
}

func (s *Shell) stopWatch(token node.Token) {
	cancel, found := s.watches[token]
	if !found {
		return
	}
	cancel()
	delete(s.watches, token)
}
