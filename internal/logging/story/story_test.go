package story

import (
	"bytes"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

const played = `   0.1 sidecar-a time=2026-04-01T18:45:42.000Z level=info event=configuration_in_force node=a version=4
noise of another program
time=2026-04-01T18:45:42.100Z level=info event=endpoint_news node=a instance=i-1 state=ready peer=b
time=2026-04-01T18:45:43.200Z level=info event=gate_refused node=b request=q-17 instance=i-1 code=404
time=2026-04-01T18:45:43.201Z level=info event=attempt_ended node=a request=q-17 endpoint=i-1 peer=b outcome=refused_by_gate detail="two words"
time=2026-04-01T18:45:43.300Z level=info event=endpoint_news node=a instance=i-1 state=draining peer=b
time=2026-04-01T18:45:43.100Z level=info event=backend_state node=b backend=i-1 state=ready
time=2026-04-01T18:45:43.400Z level=info event=request_refused node=a request=q-17 code=404
time=2026-04-01T18:45:43.401Z level=info event=request_refused node=a request=q-18 code=402
time=2026-04-01T18:45:44.000Z level=warn event=log_lines_dropped node=a lines=7
time=2026-04-01T18:55:44.000Z level=warn event=log_lines_dropped node=a lines=9
`

func lines(t *testing.T) []Line {
	t.Helper()
	read, err := Read(strings.NewReader(played))
	is.New(t).NoErr(err)
	return read
}

func TestTheStoryIsInOrderWithWhatWasBelieved(t *testing.T) {
	check := is.New(t)
	told, err := Tell(lines(t), "q-17")
	check.NoErr(err)
	check.Equal(len(told.Steps), 3)
	check.Equal(told.Steps[0].Line.Event, "gate_refused")
	check.Equal(told.Steps[0].Beliefs[0].Get("state"), "ready") // its own daemon's, though logged later
	attempt := told.Steps[1]
	check.Equal(len(attempt.Beliefs), 2)
	check.Equal(attempt.Beliefs[0].Event, "configuration_in_force")
	check.Equal(attempt.Beliefs[1].Get("state"), "ready") // draining came after it
	check.Equal(len(told.Dropped), 1)
	check.Equal(told.Dropped[0].Get("lines"), "7")
	var out bytes.Buffer
	check.NoErr(told.Print(&out))
	for _, wanted := range []string{"request q-17", "believed for 1101 ms: endpoint_news", `detail="two words"`, "dropped 7 lines"} {
		check.True(strings.Contains(out.String(), wanted))
	}
}

func TestAPrefixMustBeOfOneRequest(t *testing.T) {
	check := is.New(t)
	_, err := Tell(lines(t), "q-1")
	check.True(errors.Is(err, errors.NotValid))
	_, err = Tell(lines(t), "q-9")
	check.True(errors.Is(err, errors.NotFound))
	told, err := Tell(lines(t), "q-18")
	check.NoErr(err)
	check.Equal(len(told.Steps), 1)
}
