package world

import (
	"time"

	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/snapshot"
)

// carryOut does what a node asked of its shell.
func (w *World) carryOut(p *process, effects []node.Effect) {
	for _, effect := range effects {
		switch asked := effect.(type) {
		case node.CallPeer:
			w.callPeer(p, asked)
		case node.PeerAnswer:
			w.answer(p, asked.Token, asked.Body)
		case node.OperatorAnswer:
			w.observeClaim(p, asked.Body)
			w.answer(p, asked.Token, asked.Body)
		case node.CallPlatform:
			w.platform.call(p, asked)
		case node.StartWatch:
			w.platform.startWatch(p, asked)
		case node.StopWatch:
			w.platform.stopWatch(p)
		case node.SwapSnapshot:
			w.swap(p, asked)
		case node.ExtendServingLease:
			p.servingUntil = asked.Until
			w.observeServing(p.slot)
		case node.PublishMembers:
			p.members = asked.Members
		case node.LogEvent:
			w.outcome.Logs[asked.Name]++
		}
	}
}

// swapLimit bounds how long a shell takes to swap.
const swapLimit = 5 * time.Millisecond

// swap puts a snapshot in force a little later, and then tells the node.
func (w *World) swap(p *process, asked node.SwapSnapshot) {
	w.timeline.After(w.timeline.Between(0, swapLimit), func() {
		if !p.alive() {
			return
		}
		if p.paused {
			p.swapOnWake = asked.Snapshot
			return
		}
		w.putInForce(p, asked.Snapshot)
	})
}

func (w *World) putInForce(p *process, next *snapshot.Snapshot) {
	p.inForce = next
	w.observeServing(p.slot)
	w.oracle.PutInForce(w.Now(), p.slot.name(), holdingOf(p.slot, next))
	w.step(p, node.SnapshotInForce{Version: next.Version})
}

// answer passes a node's answer to whoever asked; a second one is ignored.
func (w *World) answer(p *process, token node.Token, body any) {
	deliver, found := p.requests[token]
	if !found {
		return
	}
	delete(p.requests, token)
	deliver(body)
}

// observeClaim judges what a status answer says at the instant it is given.
func (w *World) observeClaim(p *process, body any) {
	status, isStatus := body.(*protocol.StatusReply)
	if !isStatus {
		return
	}
	claimed := status.Summary.InForce
	for _, file := range status.Files {
		if file.InForce && !file.Held {
			claimed = max(claimed, file.Version)
		}
	}
	w.observeAllServing()
	w.oracle.ToldInForce(w.Now(), p.slot.name(), uint64(claimed))
}

// callPeer carries a call to another daemon and its reply back.
func (w *World) callPeer(p *process, asked node.CallPeer) {
	p.calls[asked.Token] = true
	w.timeline.After(p.slot.clock.virtual(asked.Timeout), func() {
		w.reply(p, node.PeerReply{Token: asked.Token, Failed: true})
	})
	target, known := w.byAddress[asked.Address]
	if !known {
		return
	}
	w.network.Send(p.slot.place, target.place, func() {
		w.arrive(p, target, asked)
	})
}

// arrive hands a call to the process that listens at the address now.
func (w *World) arrive(caller *process, target *slot, asked node.CallPeer) {
	callee := target.process
	if callee == nil || target.address != asked.Address {
		w.network.Send(target.place, caller.slot.place, func() {
			w.reply(caller, node.PeerReply{Token: asked.Token, Failed: true})
		})
		return
	}
	token := callee.nextToken
	callee.nextToken++
	callee.requests[token] = func(body any) {
		w.network.Send(target.place, caller.slot.place, func() {
			w.reply(caller, node.PeerReply{Token: asked.Token, Body: body})
		})
	}
	w.step(callee, node.PeerRequest{Token: token, Body: asked.Body})
}

// reply gives a node the first outcome of a call. Later ones do not reach it,
// as the shell has given the call up.
func (w *World) reply(p *process, message node.PeerReply) {
	if !p.calls[message.Token] {
		return
	}
	delete(p.calls, message.Token)
	w.step(p, message)
}
