package hosted

import (
	"context"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/control"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// HandlePeer implements control.Handler. It answers requests of other daemons.
func (m *mesh) HandlePeer(_ context.Context, _ control.Peer, body any) (any, error) {
	m.messages.recordReceived(body)
	switch request := body.(type) {
	case *protocol.ExchangeRequest:
		if request.Format != protocol.Format {
			return nil, result.New(result.UnknownFormat, "format %d of a peer", request.Format)
		}
		return m.handleExchangeRequest(request), nil
	case *protocol.EvidenceRequest:
		if request.Format != protocol.Format {
			return nil, result.New(result.UnknownFormat, "format %d of a peer", request.Format)
		}
		return m.handleEvidenceRequest(request), nil
	case *protocol.QuotaRequest:
		if request.Format != protocol.Format {
			return nil, result.New(result.UnknownFormat, "format %d of a peer", request.Format)
		}
		return m.quotas.handleRequest(request), nil
	case *protocol.DocumentRequest:
		reply := m.documentFor(request.Have)
		return &reply, nil
	}
	return nil, result.New(result.UnknownFormat, "%T is not answered by a hosted daemon", body)
}

// handleExchangeRequest merges the records and orders that a peer has sent, and returns those that
// the peer lacks.
func (m *mesh) handleExchangeRequest(request *protocol.ExchangeRequest) *protocol.ExchangeReply {
	m.eras.observe(request.Era, string(request.From))
	if request.Unregistered {
		m.restoreRegistration()
	}
	storeFails := request.Poll && !m.acceptPollRequest()
	m.onPeerVersion(request.From, request.Version)
	m.handlePeerRollouts(request.Rollouts)
	m.handleEvacuations(m.clock(), string(request.From), request.Evacuations)
	m.mergeHarmful(string(request.From), request.Harmful)
	reply := m.buildExchangeReply(request)
	reply.StoreFails = storeFails
	if request.Push {
		m.handlePush(request)
	} else {
		m.mergeCompared(request.Zone, request.Members)
	}
	return reply
}

// buildExchangeReply returns the records and orders that a peer lacks. It must be called before the
// peer's own records are merged, so that a restarted peer receives the record that its earlier start
// announced.
func (m *mesh) buildExchangeReply(request *protocol.ExchangeRequest) *protocol.ExchangeReply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastPeerContact = m.clock()
	m.contacts.record(contactPeer)
	reply := &protocol.ExchangeReply{
		Version: m.version(), Era: m.eras.current(), Rollouts: m.rollouts.records(m.clock()),
		Evacuations: m.evacuations.SharedOrders(m.clock()),
	}
	sums := m.roster.BucketSums()
	switch {
	case request.Push:
		return reply
	case len(request.Sums) == len(sums):
		reply.Members = m.roster.InDifferingBuckets([len(sums)]uint64(request.Sums))
	case request.Total != sums.Total():
		reply.Sums = sums[:]
	}
	reply.Harmful = m.harmfulRecordsFor(request.HarmfulSum)
	return reply
}

// fetchDocument requests from a peer a document newer than the version have. It returns an empty
// document if the peer has none, does not answer, or sends one that can't be unpacked.
func (m *mesh) fetchDocument(ctx context.Context, id protocol.NodeID, have protocol.Version) authority.Document {
	m.mutex.Lock()
	target, found := m.peerDirectory().Find(id)
	m.mutex.Unlock()
	if !found {
		return authority.Document{}
	}
	callCtx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	request := &protocol.DocumentRequest{Format: protocol.Format, From: m.self.ID, Have: have}
	body, err := m.sendRequest(callCtx, target.Address, request)
	reply, isReply := body.(*protocol.DocumentReply)
	if err != nil || !isReply || reply.Version == 0 {
		return authority.Document{}
	}
	document, err := unpackDocument(*reply, m.maxDocumentBytes)
	if err != nil {
		m.events.event("peer_document_refused", field("peer", string(id)), field("error", err.Error()))
		return authority.Document{}
	}
	return document
}

// documentTimeout limits the time of a request to a peer for a configuration document.
const documentTimeout = 2 * controlTimeout
