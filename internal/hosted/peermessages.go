package hosted

import (
	"context"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/metrics"
)

// messageKind is the kind by which requests between daemons are counted.
type messageKind int

// The kinds of requests.
const (
	// messageComparison compares the records of two daemons.
	messageComparison messageKind = iota
	// messagePush carries member records.
	messagePush
	// messageHarmful carries records of harmful requests.
	messageHarmful
	// messageNotice carries neither: it checks whether a peer is reachable, or announces a version.
	messageNotice
	messageDocument
	messageEvidence
	messageQuota
	messageKindCount
)

// messageKindNames are the names of the kinds in metrics.
var messageKindNames = [messageKindCount]string{"comparison", "push", "harmful", "notice", "document", "evidence", "quota"}

// messageKindOf returns the kind of a request; false if it is none of a hosted daemon's.
func messageKindOf(request any) (messageKind, bool) {
	switch request := request.(type) {
	case *protocol.ExchangeRequest:
		return exchangeKind(request), true
	case *protocol.DocumentRequest:
		return messageDocument, true
	case *protocol.EvidenceRequest:
		return messageEvidence, true
	case *protocol.QuotaRequest:
		return messageQuota, true
	}
	return 0, false
}

func exchangeKind(request *protocol.ExchangeRequest) messageKind {
	switch {
	case !request.Push:
		return messageComparison
	case len(request.Harmful) > 0:
		return messageHarmful
	case len(request.Members) > 0:
		return messagePush
	}
	return messageNotice
}

// peerMessages counts the requests between this daemon and its peers. It is safe for concurrent use.
type peerMessages struct {
	received [messageKindCount]atomic.Uint64
	sent     [messageKindCount]atomic.Uint64
}

// messageCounts holds a number of requests for each kind.
type messageCounts [messageKindCount]uint64

// receivedCounts returns the numbers of requests received since the start.
func (p *peerMessages) receivedCounts() (counts messageCounts) {
	for kind := range p.received {
		counts[kind] = p.received[kind].Load()
	}
	return counts
}

func (p *peerMessages) recordReceived(request any) {
	if kind, known := messageKindOf(request); known {
		p.received[kind].Add(1)
	}
}

func (p *peerMessages) recordSent(request any) {
	if kind, known := messageKindOf(request); known {
		p.sent[kind].Add(1)
	}
}

// collect sends the metrics.
func (p *peerMessages) collect(out chan<- prometheus.Metric) {
	for kind, name := range messageKindNames {
		metrics.PeerMessages.Send(out, float64(p.received[kind].Load()), name, "in")
		metrics.PeerMessages.Send(out, float64(p.sent[kind].Load()), name, "out")
	}
}

// sendRequest sends one request to a peer, counts it, and waits for its reply.
func (m *mesh) sendRequest(ctx context.Context, address string, request any) (any, error) {
	m.messages.recordSent(request)
	return m.client.Call(ctx, address, request)
}
