package message

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// FromStatus converts a status reply.
func FromStatus(reply *protocol.StatusReply) Status {
	return Status{
		Partial:    lo.Ternary(reply.Code == result.OK, "", reply.Code.Name()),
		Version:    uint64(reply.Summary.Version),
		InForce:    uint64(reply.Summary.InForce),
		AcceptedAt: instant(reply.Summary.AcceptedAt),
		InForceAt:  instant(reply.Summary.InForceAt),
		Zones:      lo.Map(reply.Summary.Zones, fromZone),
		CutRegions: reply.Summary.CutRegions,
		Files:      lo.Map(reply.Files, fromFile),
	}
}

// FromMembers converts member records.
func FromMembers(members []protocol.Member) Members {
	return Members{Members: lo.Map(members, fromMember)}
}

func fromZone(zone protocol.ZoneStatus, _ int) Zone {
	return Zone{
		Region:  zone.Region,
		Zone:    zone.Zone,
		Members: zone.Members,
		Holding: zone.Holding,
		Minimum: uint64(zone.Minimum),
		Behind:  lo.Map(zone.Behind, nodeName),
		Silent:  lo.Map(zone.Silent, nodeName),
	}
}

func fromFile(file protocol.FileStatus, _ int) File {
	return File{
		Partner:    string(file.Partner),
		Name:       file.Name,
		Revision:   file.Revision,
		Digest:     string(file.Digest),
		State:      fileState(file),
		Version:    uint64(file.Version),
		AcceptedAt: instant(file.AcceptedAt),
		WaitsFor:   file.WaitsFor,
		Exports:    lo.Map(file.Exports, func(export protocol.ExportedService, _ int) string { return export.Name }),
	}
}

func fileState(file protocol.FileStatus) FileState {
	switch {
	case file.Held:
		return FileHeld
	case file.InForce:
		return FileInForce
	default:
		return FileAccepted
	}
}

func fromMember(member protocol.Member, _ int) Member {
	converted := Member{
		ID:      string(member.ID),
		State:   member.State.String(),
		Region:  member.Region,
		Zone:    member.Zone,
		Address: member.DataAddress,
		Reader:  member.Reader,
		Backend: member.Backend,
		Slots:   member.Slots,
	}
	if membership.Live(member) && member.Endpoint != protocol.EndpointNone {
		converted.Endpoint = member.Endpoint.String()
	}
	if member.Service.Name != "" {
		converted.Service = member.Service.String()
	}
	return converted
}

func nodeName(id protocol.NodeID, _ int) string { return string(id) }

// instant returns nil for a time that is not known.
func instant(at time.Time) *time.Time {
	if at.IsZero() {
		return nil
	}
	return &at
}
