package hosted

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/springstack/springstack/internal/authority"
	"github.com/springstack/springstack/internal/core/backend"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/result"
)

// Platform contains the ports by which an adapter connects a hosted daemon to its platform.
type Platform struct {
	Source   authority.Source
	Registry authority.Registry
	Rollouts authority.Rollouts
	Held     authority.HeldRequests
	// Evacuations reads orders to empty zones; nil if there are none.
	Evacuations authority.Evacuations
	// Edge describes the headers and conventions of callers and back ends.
	Edge proxy.Edge
	// Ready returns the handler of readiness checks, which reports whether the daemon accepts
	// callers.
	Ready func(ready func() bool) http.Handler
	// Reports returns the handler that receives the heartbeats of the back end.
	Reports func(ReportHandler) http.Handler
	// Probe queries the health of a back end.
	Probe Prober
	// OnFault sets the function that is called for entries of the store that are ignored; nil if
	// the adapter reports none.
	OnFault func(FaultHandler)
	// OnEra sets the function that is called with the era of each answer of the store; nil if the
	// adapter reports none.
	OnEra func(EraHandler)
	// Renew makes later calls to the store use new connections; running calls continue. Nil if the
	// adapter can't do so.
	Renew func()
	// Close closes the adapter's connections; nil if there are none.
	Close func()
}

// FaultHandler is called with the kind and name of an entry of the store that is ignored because
// another writer created it or made it invalid.
type FaultHandler func(kind, name string, fault error)

// EraHandler is called with the era of an answer of the store: how often the store has returned to
// an older copy. era is 0 if the answer contains no readable era; fault is then the reason.
type EraHandler func(era uint64, fault error)

// ReportHandler receives the reports of the daemon's back end. A report has taken effect at this
// daemon's gate when the method returns.
type ReportHandler interface {
	Heartbeat(report backend.Report)
	// Leave handles the report of an instance that it accepts no more work; Born is 0 if the
	// report contains no start time.
	Leave(start protocol.BackendStart)
	// RecordRefusal records that a report was refused, with the instance name in the report.
	RecordRefusal(instance string, failure *result.Error)
}

// Prober sends a health probe to the back end at an address. The result contains the instance that
// runs there, and whether it accepts work.
type Prober func(address, path string, timeout time.Duration) backend.ProbeResult

// Options configure a hosted daemon in addition to its settings.
type Options struct {
	Logger log.Interface
	// LinesDropped returns the number of lines that the logger's output has dropped; nil if it
	// drops none.
	LinesDropped func() uint64
	Platform     Platform
}
