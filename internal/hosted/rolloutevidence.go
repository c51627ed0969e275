package hosted

import (
	"context"
	"sync"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
)

// observe asks gates for what they have counted.
func (d *rolloutDecider) collectEvidence(record rollout.Record, target, stable []rolloutGate) rollout.Observation {
	seen := rollout.Observation{
		Stable: rollout.Evidence{}, Target: rollout.Evidence{},
		StableSlots: totalSlots(stable), TargetSlots: totalSlots(target),
	}
	asked := stable
	if record.Stage == rollout.StageCanary {
		asked = stable[:min(maxEvidenceGates, len(stable))]
	}
	replies := d.queryGates(record.Service, append(asked[:len(asked):len(asked)], target[:min(maxEvidenceGates, len(target))]...))
	seen.StableKnown = true
	for index, reply := range replies {
		ofTarget := index >= len(asked)
		switch {
		case reply == nil:
			seen.StableKnown = seen.StableKnown && ofTarget
		case ofTarget && reply.Software == record.Target:
			seen.Target.Add(reply.Evidence)
		case !ofTarget && reply.Software != record.Target:
			seen.Stable.Add(reply.Evidence)
			seen.StableRunning += reply.Outstanding
		}
	}
	return seen
}

// ask asks gates at the same time; nil stands for those that did not answer.
func (d *rolloutDecider) queryGates(service resource.ServiceRef, gates []rolloutGate) []*protocol.EvidenceReply {
	replies := make([]*protocol.EvidenceReply, len(gates))
	var waiting sync.WaitGroup
	for index, gate := range gates {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			replies[index] = d.queryGate(service, gate)
		}()
	}
	waiting.Wait()
	return replies
}

func (d *rolloutDecider) queryGate(service resource.ServiceRef, gate rolloutGate) *protocol.EvidenceReply {
	m := d.mesh
	request := &protocol.EvidenceRequest{Format: protocol.Format, From: m.self.ID, Service: service}
	if gate.peer.ID == m.self.ID {
		return m.handleEvidenceRequest(request)
	}
	ctx, cancel := context.WithTimeout(m.context, controlTimeout)
	defer cancel()
	body, err := m.client.Call(ctx, gate.peer.Address, request)
	reply, typed := body.(*protocol.EvidenceReply)
	if err != nil || !typed {
		return nil
	}
	return reply
}
