package endpoint

import (
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
)

// ChooseAt returns the endpoint beside a daemon, or nil when there is none that is ready
// and has given no reason to go elsewhere.
func (s *Set) ChooseOnNode(now time.Duration, node protocol.NodeID, tried Tried) *Endpoint {
	for _, candidate := range s.tiers[0] {
		if candidate.Node == node && candidate.State == protocol.EndpointReady && !tried.has(candidate) &&
			!candidate.shut(now) && !candidate.Ejected(now) && !candidate.refusing(now) {
			return candidate
		}
	}
	return nil
}
