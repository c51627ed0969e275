package world

import (
	"fmt"
	"time"

	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/sim/network"
	"github.com/springstack/springstack/internal/sim/oracle"
)

// Operators' habits.
const (
	operatorPatience = 16 * time.Second
	resendLimit      = 6
	resendPause      = 700 * time.Millisecond
)

// operators plays the operators of both partners.
type operators struct {
	world      *World
	nextMarker int
	// revisions are the file revisions that were told last.
	revisions map[oracle.FileName]uint64
	open      int
}

func newOperators(w *World) *operators {
	return &operators{world: w, revisions: map[oracle.FileName]uint64{}}
}

// change is one operator's change on its way.
type change struct {
	request  protocol.SubmitRequest
	file     oracle.FileName
	sendings int
}

// submit sends a file of a partner: with an expected revision, which may be
// stale, or without.
func (o *operators) submit(partner resource.Partner, name string, expect bool) {
	o.nextMarker++
	spec := o.world.drawSpec(partner, name, o.nextMarker)
	file := spec.file()
	sent := &change{file: file, request: o.request(partner, name, expect, file)}
	sent.request.Content = spec.text()
	_, known := o.revisions[file]
	if known {
		sent.request.Action = protocol.ActionReplace
	}
	o.send(sent, oracle.Change{
		Operation:  sent.request.Operation,
		File:       file,
		Marker:     markerText(spec.marker),
		Declares:   spec.declares(),
		NeverValid: spec.flaw != flawNone,
	})
}

// probe submits a file that nothing can speak against.
func (o *operators) probe(partner resource.Partner) {
	o.nextMarker++
	self := resource.ServiceRef{Partner: partner, Name: probeName}
	spec := fileSpec{partner: partner, name: probeName, marker: o.nextMarker, service: true, routeTo: []resource.ServiceRef{self}}
	sent := &change{file: spec.file(), request: o.request(partner, probeName, false, spec.file())}
	sent.request.Content = spec.text()
	o.send(sent, oracle.Change{
		Operation: sent.request.Operation, File: spec.file(), Marker: markerText(spec.marker),
		Declares: spec.declares(), MustSucceed: true,
	})
}

// probeName is the file that shows that changes are accepted again.
const probeName = "probe"

// withdraw takes a file of a partner back.
func (o *operators) withdraw(partner resource.Partner, name string, expect bool) {
	o.nextMarker++
	file := oracle.FileName(string(partner) + "/" + name)
	sent := &change{file: file, request: o.request(partner, name, expect, file)}
	sent.request.Action = protocol.ActionWithdraw
	o.send(sent, oracle.Change{Operation: sent.request.Operation, File: file, Withdraw: true})
}

func (o *operators) request(partner resource.Partner, name string, expect bool, file oracle.FileName) protocol.SubmitRequest {
	request := protocol.SubmitRequest{
		Format:    protocol.Format,
		Operation: o.operation(),
		Partner:   partner,
		Action:    protocol.ActionSubmit,
		File:      name,
	}
	if revision, known := o.revisions[file]; known && expect {
		request.Expect = protocol.ExpectationOf(&revision)
	}
	return request
}

// operation draws an operation id as the operators' client does.
func (o *operators) operation() string {
	now := epoch.Add(o.world.Now())
	return fmt.Sprintf("%d-%08x%08x", now.UnixMilli(), o.nextMarker, o.world.timeline.Random().Uint32())
}

// send sends a change to some daemon, and again to another one while its
// outcome is not known.
func (o *operators) send(sent *change, described oracle.Change) {
	sent.sendings++
	o.world.oracle.Submitted(described)
	o.open++
	answered := false
	finish := func(reply *protocol.SubmitReply) {
		if answered {
			return
		}
		answered = true
		o.open--
		o.answered(sent, described, reply)
	}
	request := sent.request
	o.world.ask(&request, func(body any) { finish(body.(*protocol.SubmitReply)) })
	o.world.timeline.After(operatorPatience, func() { finish(nil) })
}

// answered takes an answer; nil stands for none.
func (o *operators) answered(sent *change, described oracle.Change, reply *protocol.SubmitReply) {
	w := o.world
	if reply != nil {
		w.oracle.Answered(w.Now(), sent.request.Operation,
			oracle.Answer{Code: reply.Code, Version: uint64(reply.Version)})
		w.countAnswer(reply.Code)
	}
	if reply != nil && !worthResending(reply.Code) {
		o.settled(sent, described, reply)
		return
	}
	giveUp := 0.1
	if reply != nil {
		giveUp = 0.4
	}
	if described.MustSucceed || sent.sendings < resendLimit && !w.timeline.Chance(giveUp) {
		w.timeline.After(resendPause, func() { o.send(sent, described) })
	}
}

// settled takes a final answer. Some operators send an accepted change again
// all the same.
func (o *operators) settled(sent *change, described oracle.Change, reply *protocol.SubmitReply) {
	w := o.world
	if reply.Revision > 0 {
		o.revisions[sent.file] = reply.Revision
	}
	if reply.Code == result.OK && sent.sendings < resendLimit && w.timeline.Chance(0.15) {
		w.timeline.After(w.timeline.Between(0, operatorPatience), func() { o.send(sent, described) })
	}
}

// worthResending reports whether the same operation may succeed later.
func worthResending(code result.Code) bool {
	switch code {
	case result.OutcomeUnknown, result.NotAccepted, result.NoReader, result.Overloaded, result.NotReadyYet:
		return true
	default:
		return false
	}
}

// status asks some daemon how far things are.
func (o *operators) status() {
	partner := partners[o.world.timeline.Random().IntN(len(partners))]
	o.world.ask(&protocol.StatusRequest{Format: protocol.Format, Partner: partner}, func(any) {})
}

// ask sends a request to the operators' API of a random daemon.
func (w *World) ask(body any, deliver func(body any)) {
	s := w.slots[w.timeline.Random().IntN(len(w.slots))]
	operator := network.Place{Region: s.place.Region, Zone: "operators", Node: -1}
	w.network.SendOnce(operator, s.place, func() {
		p := s.process
		if p == nil {
			return
		}
		token := p.nextToken
		p.nextToken++
		p.requests[token] = func(answer any) {
			w.network.SendOnce(s.place, operator, func() { deliver(answer) })
		}
		w.step(p, node.OperatorRequest{Token: token, Body: body, WallClock: s.clock.wall(w.Now())})
	})
}

func (w *World) countAnswer(code result.Code) { w.outcome.Answers[code.Name()]++ }
