package standin

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/object"
	"github.com/springstack/springstack/internal/platform"
)

// The paths by which the lab steers the stand-in; no platform has them.
const (
	PathFaults      = "/lab/faults"
	PathCounters    = "/lab/counters"
	PathMachineList = "/lab/machines"
	PathReaderLimit = "/lab/reader-limit"
	PathCompact     = "/lab/compact"
)

type faultsMessage struct{ Body Faults }

type countersOutput struct{ Body Counters }

type machinesInput struct{ Body []platform.WireMachine }

type readerLimitInput struct {
	Body struct {
		// Readers is how many readers are admitted; 0 means no limit.
		Readers int `json:"readers" minimum:"0"`
	}
}

// registerLab registers the switches of the faults, and the counters.
func (s *Server) registerLab(api huma.API) {
	huma.Get(api, PathFaults, func(context.Context, *struct{}) (*faultsMessage, error) {
		return &faultsMessage{Body: s.service.Faults()}, nil
	})
	huma.Put(api, PathFaults, func(_ context.Context, input *faultsMessage) (*struct{}, error) {
		s.service.SetFaults(input.Body)
		return nil, nil
	})
	huma.Get(api, PathCounters, func(context.Context, *struct{}) (*countersOutput, error) {
		return &countersOutput{Body: s.service.Counters()}, nil
	})
	huma.Put(api, PathMachineList, func(_ context.Context, input *machinesInput) (*struct{}, error) {
		s.service.SetMachines(lo.Map(input.Body, func(machine platform.WireMachine, _ int) object.Machine {
			return object.Machine(machine)
		}))
		return nil, nil
	})
	huma.Put(api, PathReaderLimit, func(_ context.Context, input *readerLimitInput) (*struct{}, error) {
		s.service.SetReaderLimit(input.Body.Readers)
		return nil, nil
	})
	huma.Register(api, huma.Operation{OperationID: "compact", Method: http.MethodPost, Path: PathCompact},
		func(context.Context, *struct{}) (*struct{}, error) {
			s.service.Compact()
			return nil, nil
		})
}
