package hosted

import (
	"slices"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/core/snapshot"
	"github.com/springstack/springstack/internal/result"
)

// regionCheck logs regions that routes allow but that have no daemon. They are most likely a mistake
// of the operator, by which a route is served in fewer regions than intended, or in none.
type regionCheck struct {
	// checkedVersion is the latest version that was checked.
	checkedVersion protocol.Version
}

// logUnknownRegions writes a log line for each allowed region of a configuration that is not known,
// unless the previous call had the same version.
func (r *regionCheck) logUnknownRegions(configuration *snapshot.Snapshot, known []string, events eventLog) {
	if configuration == nil || configuration.Version == r.checkedVersion {
		return
	}
	r.checkedVersion = configuration.Version
	for _, route := range configuration.Routes {
		for _, region := range unknownRegions(route, known) {
			events.event("allowed_region_unknown", field("version", formatVersion(configuration.Version)),
				field("code", formatCode(result.RegionNotAllowed)), field("route", route.Name), field("region", region))
		}
	}
}

// unknownRegions returns the regions that a route allows and that are not known.
func unknownRegions(route resource.Route, known []string) []string {
	return lo.Reject(lo.Uniq(route.AllowedRegions), func(region string, _ int) bool {
		return slices.Contains(known, region)
	})
}

// knownRegions returns the regions of all known daemons.
func (m *mesh) knownRegions() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	regions := lo.Map(m.roster.All(), func(member protocol.Member, _ int) string { return member.Region })
	return lo.Uniq(append(regions, m.self.Region))
}
