package hosted

import (
	"slices"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/result"
)

// regionCheck finds regions that routes allow and in which no daemon is: most likely a slip
// of the operator's, by which a route is served in fewer regions than meant, or in none. It is
// told of each version once.
type regionCheck struct {
	checkedVersion protocol.Version
}

// look writes a line for each such region of a version that was not looked at before.
func (r *regionCheck) logUnknownRegions(held *snapshot.Snapshot, known []string, events eventLog) {
	if held == nil || held.Version == r.checkedVersion {
		return
	}
	r.checkedVersion = held.Version
	for _, route := range held.Routes {
		for _, region := range unknownRegions(route, known) {
			events.event("allowed_region_unknown", field("version", formatVersion(held.Version)),
				field("code", formatCode(result.RegionNotAllowed)), field("route", route.Name), field("region", region))
		}
	}
}

// unknownRegions are the regions that a route allows and that are not known.
func unknownRegions(route resource.Route, known []string) []string {
	return lo.Reject(lo.Uniq(route.AllowedRegions), func(region string, _ int) bool {
		return slices.Contains(known, region)
	})
}

// regions are those in which daemons are, as far as known here.
func (m *mesh) knownRegions() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	members := lo.Map(m.roster.All(), func(member protocol.Member, _ int) string { return member.Region })
	return lo.Uniq(append(members, m.self.Region))
}
