package printer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/operator/client"
	"github.com/springstack/springstack/internal/operator/message"
)

func TestProgressNamesWhomItWaitsFor(t *testing.T) {
	is := is.New(t)
	var shown bytes.Buffer
	printer := Printer{Progress: &shown, Format: Table}
	printer.Watch()(client.Progress{Version: 6, Status: message.Status{
		Version:    6,
		InForce:    5,
		Zones:      []message.Zone{{Members: 2, Holding: 1, Behind: []string{"osu-1"}, Silent: []string{"spintex-1"}}},
		CutRegions: []string{"windhoek"},
	}})
	is.Equal(shown.String(),
		"version 6: in force 5; 1 of 2 daemons hold version 6; behind: osu-1; silent: spintex-1; cut regions: windhoek\n")
}

func TestZoneWithoutAcknowledgementHasNoMinimum(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	printer := Printer{Out: &out, Format: Table}
	printer.Status(message.Status{Zones: []message.Zone{{Region: "accra", Zone: "osu-hall", Members: 1, Silent: []string{"osu-1"}}}})
	is.True(strings.Contains(out.String(), "accra   osu-hall  1        0        -                osu-1"))
}

func TestEndpointOfAMemberThatLeftIsNotShown(t *testing.T) {
	is := is.New(t)
	members := message.FromMembers([]protocol.Member{
		{ID: "a", State: protocol.MemberAlive, Endpoint: protocol.EndpointReady},
		{ID: "b", State: protocol.MemberLeft, Endpoint: protocol.EndpointReady},
		{ID: "c", State: protocol.MemberDead, Endpoint: protocol.EndpointReady},
	})
	is.Equal(members.Members[0].Endpoint, "ready")
	is.Equal(members.Members[1].Endpoint, "")
	is.Equal(members.Members[2].Endpoint, "")
}
