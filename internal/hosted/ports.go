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

// Platform is what an adapter to a platform gives a hosted daemon.
type Platform struct {
	Source   authority.Source
	Registry authority.Registry
	Rollouts authority.Rollouts
	Held     authority.HeldRequests
	// Evacuations reads orders to empty zones; nil for none.
	Evacuations authority.Evacuations
	// Edge is how callers and back ends speak.
	Edge proxy.Edge
	// Ready makes the handler that tells whether callers may be sent here.
	Ready func(ready func() bool) http.Handler
	// Reports makes the handler that takes the heartbeats of the back end.
	Reports func(ReportHandler) http.Handler
	// Probe makes the request that asks a back end for its health at a path.
	Probe Prober
	// OnFault has somebody told of entries of the store that are left out; nil for nobody.
	OnFault func(FaultHandler)
	// OnEra has somebody told of the era of each answer of the store; nil for nobody.
	OnEra func(EraHandler)
	// Renew has calls to the store from now on made over new connections; those under way are left
	// alone. Nil where connections can't be told apart.
	Renew func()
	// Close gives up the adapter's connections; nil for none.
	Close func()
}

// TellFault tells of an entry of the store, by its kind and name, that is left out because
// another writer has made it or spoilt it.
type FaultHandler func(kind, name string, fault error)

// TellEra tells of the era of an answer of the store: how often it has come back from an older
// copy. It is 0 where the answer does not tell it in a way that can be read, and fault says why.
type EraHandler func(era uint64, fault error)

// Reports takes what the back end beside the daemon says. When a method
// returns, what was said is in force at this daemon's gate.
type ReportHandler interface {
	Heartbeat(report backend.Report)
	// Leave takes the word of a start that it gets no more work; Born is 0 where it does not
	// tell when it started.
	Leave(start protocol.BackendStart)
	// Refused is told of a report that was not taken, by the name that its sender gave.
	RecordRefusal(instance string, failure *result.Error)
}

// Prober asks the back end at an address itself. It answers with the instance
// that runs there, and whether that takes work.
type Prober func(address, path string, within time.Duration) backend.ProbeResult

// Options are what a hosted daemon is given beside its settings.
type Options struct {
	Logger log.Interface
	// LinesDropped is how many lines the logger's output has dropped; nil for
	// none.
	LinesDropped func() uint64
	Platform     Platform
}
