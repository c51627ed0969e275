package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// someValues sends a zero, a labelled counter and a gauge.
type someValues struct{}

func (someValues) Describe(chan<- *prometheus.Desc) {}

func (someValues) Collect(out chan<- prometheus.Metric) {
	Ready.Send(out, 0)
	Members.Send(out, 295)
	PeerMessages.Send(out, 12, "harmful", "in")
}

// Guards against a scrape in which metrics of the process come before those of the daemon: a system
// that keeps only the beginning of it then shows nothing of an incident.
func TestBriefMetricsContainOnlyNonZeroValuesOfTheDaemon(t *testing.T) {
	check := is.New(t)
	answer := httptest.NewRecorder()
	BriefHandler(NewRegistry(someValues{}, NewTimings().Collectors()...)).ServeHTTP(answer, httptest.NewRequest("GET", "/metrics/brief", nil))
	check.Equal(answer.Code, 200)
	check.Equal(strings.Split(strings.TrimSpace(answer.Body.String()), "\n"), []string{
		"springstack_members 295",
		`springstack_peer_messages_total{direction="in",kind="harmful"} 12`,
	})
}
