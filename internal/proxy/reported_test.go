package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/callclass"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quarantine"
)

// The answers that a gate counted for one start of its back end must not count for the next start.
func TestNewStartResetsAnswerCounts(t *testing.T) {
	check := is.New(t)
	proxy := New(Config{Clock: testClock, NodeID: "gate", Backend: "i", Reported: true})
	t.Cleanup(proxy.Close)
	report := BackendReport{Start: protocol.BackendStart{Instance: "i", Born: 100}, Slots: 2, State: protocol.EndpointReady}
	proxy.ReportBackend(report)
	proxy.SetAnswerCounting(true)
	proxy.rolloutAnswers.Record(callclass.Class(0), true, true, time.Second)
	proxy.ReportBackend(report)
	counts, _ := proxy.AnswerEvidence()
	check.Equal(counts[0].Failures, uint32(1))
	report.Start.Born = 200
	proxy.ReportBackend(report)
	counts, _ = proxy.AnswerEvidence()
	check.Equal(counts[0].Failures, uint32(0))
}

// If a back end restarts under its name and ends under the same request again, that counts as
// several ends.
func TestEndsUnderOneNameCountPerStart(t *testing.T) {
	check := is.New(t)
	proxy := newProxyWithAnswers(t)
	for born := range int64(quarantine.DefaultRules().Ends) {
		end := newBackendEnd(proxy, "i", "/a")
		end.start.Born = born + 1
		proxy.attributeEnd(end)
	}
	check.Equal(proxy.HarmfulState(signatureOf(proxy, "/a")), quarantine.Held)
}
