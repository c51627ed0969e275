package daemon

import (
	"github.com/apex/log"

	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/platform"
	"github.com/springstack/springstack/internal/settings"
)

// Overrides replaces parts of a daemon; the zero value replaces none.
type Overrides struct {
	// Platform is used in place of the HTTP adapter.
	Platform platform.Port
	// Logger takes the event lines; nil drops them.
	Logger log.Interface
	// Incarnation of the daemon; 0 takes the wall clock in nanoseconds.
	Incarnation protocol.Incarnation
	// RandomSeed of the node's choices; 0 draws one.
	RandomSeed uint64
	// Pprof serves /debug/pprof on the admin address.
	Pprof bool
}

// nodeConfig translates settings for the node.
func nodeConfig(from settings.Settings, overrides Overrides) node.Config {
	return node.Config{
		ID:          protocol.NodeID(from.Node.ID),
		Incarnation: overrides.Incarnation,
		Region:      from.Node.Region,
		Zone:        from.Node.Zone,
		Scope:       scope(from.Mesh),
		Seeds:       from.Mesh.Seeds,
		Service:     backendService(from.Backend),
		Backend:     from.Backend.Name,
		Slots:       from.Backend.Slots,
		RandomSeed:  overrides.RandomSeed,
		Timing:      from.Timing.Effective(),
	}
}

// scope returns what the callers of the daemon may reach.
func scope(mesh settings.Mesh) protocol.Scope {
	var scope protocol.Scope
	for _, partner := range mesh.Partners {
		scope.Partners = append(scope.Partners, resource.Partner(partner))
	}
	for _, name := range mesh.Services {
		scope.Services = append(scope.Services, serviceRef(name))
	}
	return scope
}

// serviceRef splits a checked partner/name.
func serviceRef(text string) resource.ServiceRef {
	for i := range text {
		if text[i] == '/' {
			return resource.ServiceRef{Partner: resource.Partner(text[:i]), Name: text[i+1:]}
		}
	}
	return resource.ServiceRef{Name: text}
}

func backendService(backend settings.Backend) resource.ServiceRef {
	return resource.ServiceRef{Partner: resource.Partner(backend.Partner), Name: backend.Service}
}
