package endpoint

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/springstack/springstack/internal/core/protocol"
)

// ChooseOnNode returns a daemon's endpoint only while it is ready, untried, not ejected and has
// not just refused a call.
func TestChooseOnNodeReturnsOnlyHealthyEndpoints(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(3)...)
	members[1].Endpoint = protocol.EndpointWarming
	set := Build(nil, home, backends, members, 0)
	own := set.ChooseOnNode(0, "b0", nil)
	check.Equal(own.Backend, "b0")
	check.Equal(set.ChooseOnNode(0, "b1", nil), nil) // the back end is warming
	check.Equal(set.ChooseOnNode(0, "b9", nil), nil) // the service has no such back end
	check.Equal(set.ChooseOnNode(0, "b0", Tried{own}), nil)
	own.Begin()
	own.End(0, Overloaded)
	check.Equal(set.ChooseOnNode(0, "b0", nil), nil)
	check.Equal(set.ChooseOnNode(overloadPeriod, "b0", nil), own)
	own.Begin()
	own.End(time.Second, Unreachable)
	check.Equal(set.ChooseOnNode(time.Second, "b0", nil), nil)
}

// A gate may refuse a call as cold before the member record says so.
func TestChooseOnNodeSkipsAColdRefusal(t *testing.T) {
	check := is.New(t)
	backends, members := fixture(sameZone(1)...)
	set := Build(nil, home, backends, members, 0)
	set.ChooseOnNode(0, "b0", nil).RecordStartRefusal(0, time.Second, 0)
	check.Equal(set.ChooseOnNode(0, "b0", nil), nil)
	check.True(set.ChooseOnNode(time.Second, "b0", nil) != nil)
}
