package hosted

import (
	"context"
	"sync"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/rollout"
)

// collectEvidence queries gates of both versions for their counts and adds them up. It ignores the
// counts of a gate whose reply shows that its back end has changed to or from the target version.
func (d *rolloutDecider) collectEvidence(record rollout.Record, target, stable []rolloutGate) rollout.Observation {
	observation := rollout.Observation{
		Stable: rollout.Evidence{}, Target: rollout.Evidence{},
		StableSlots: totalSlots(stable), TargetSlots: totalSlots(target),
	}
	queriedStable := stable
	if record.Stage == rollout.StageCanary {
		queriedStable = stable[:min(maxEvidenceGates, len(stable))]
	}
	replies := d.queryGates(record.Service, append(queriedStable[:len(queriedStable):len(queriedStable)], target[:min(maxEvidenceGates, len(target))]...))
	observation.StableKnown = true
	for index, reply := range replies {
		ofTarget := index >= len(queriedStable)
		switch {
		case reply == nil:
			observation.StableKnown = observation.StableKnown && ofTarget
		case ofTarget && reply.Software == record.Target:
			observation.Target.Add(reply.Evidence)
		case !ofTarget && reply.Software != record.Target:
			observation.Stable.Add(reply.Evidence)
			observation.StableRunning += reply.Outstanding
		}
	}
	return observation
}

// queryGates queries gates concurrently. The reply of a gate that did not answer is nil.
func (d *rolloutDecider) queryGates(service resource.ServiceRef, gates []rolloutGate) []*protocol.EvidenceReply {
	replies := make([]*protocol.EvidenceReply, len(gates))
	var queries sync.WaitGroup
	for index, gate := range gates {
		queries.Add(1)
		go func() {
			defer queries.Done()
			replies[index] = d.queryGate(service, gate)
		}()
	}
	queries.Wait()
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
	body, err := m.sendRequest(ctx, gate.peer.Address, request)
	reply, isReply := body.(*protocol.EvidenceReply)
	if err != nil || !isReply {
		return nil
	}
	return reply
}
