package endpoint

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// ChooseOnNode returns the own-zone endpoint that belongs to a daemon. It returns nil unless
// that endpoint is ready without a limit of starts, untried, not ejected and has not just refused calls.
func (s *Set) ChooseOnNode(now time.Duration, node protocol.NodeID, tried Tried) *Endpoint {
	for _, candidate := range s.tiers[0] {
		if candidate.Node == node && candidate.State == protocol.EndpointReady && !candidate.isLimited() && !tried.contains(candidate) &&
			!candidate.refusesCalls(now) && !candidate.Ejected(now) && !candidate.isOverloaded(now) {
			return candidate
		}
	}
	return nil
}
