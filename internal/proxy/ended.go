package proxy

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/quarantine"
	"github.com/springstack/springstack/internal/result"
)

const (
	// endDialTimeout bounds one connection to a back end on the same machine, which takes
	// connections or refuses them within a millisecond.
	endDialTimeout = 50 * time.Millisecond
	// endDialTries and endDialPause are how often and how far apart a back end is asked that
	// still takes connections or has not answered in time: an ending process may close its
	// connections before its port.
	endDialTries = 2
	endDialPause = 3 * time.Millisecond
	// endGather is how long calls are gathered that were at work on a back end as it ended.
	// Their connections break in the same moment; it allows for the scheduling of the
	// goroutines that read them.
	endGatherTime = 5 * time.Millisecond
)

// backendEnds finds out whether the back end has ended when connections to it break under
// calls, and which calls were at work there.
type backendEnds struct {
	mutex sync.Mutex
	// newest is the last moment at which calls broke; nil for none.
	newest *backendEnd
	// answeredBefore is how many calls were answered well before the software version came
	// that runs now.
	succeededBeforeVersion atomic.Uint64
}

// backendEnd is one moment at which connections to an instance broke.
type backendEnd struct {
	// start is the start of the instance, which may start again under its name.
	start protocol.BackendStart
	// settled is closed when ended is known and all calls have been gathered.
	resolved chan struct{}
	ended    bool
	// atWork are the calls whose connections broke; guarded by the mutex until settled.
	interruptedCalls []*gateCall
	// suspected are the requests that the end is put down to.
	suspectedRequests map[quarantine.Signature]bool
}

// awaitEnd waits, after the connection of the call broke before an answer, until it is known
// whether the instance has ended: some 5 ms, endDialTimeout where nothing answers. It
// returns the start if it has and this call is suspected of it, and else nothing.
func (c *gateCall) awaitSuspectedEnd() string {
	end := c.proxy.addInterruptedCall(c)
	<-end.resolved
	signature, signed := c.signature()
	if !end.ended || !signed || !end.suspectedRequests[signature] {
		return ""
	}
	return end.start.String()
}

// gatherEnd adds a call to the moment at which its connection broke.
func (p *Proxy) addInterruptedCall(call *gateCall) *backendEnd {
	p.backendEnds.mutex.Lock()
	end := p.backendEnds.newest
	if end == nil || end.start != call.start {
		end = &backendEnd{start: call.start, resolved: make(chan struct{})}
		p.backendEnds.newest = end
		go p.resolveEnd(end)
	}
	if !end.isResolved() {
		end.interruptedCalls = append(end.interruptedCalls, call)
	}
	p.backendEnds.mutex.Unlock()
	return end
}

func (e *backendEnd) isResolved() bool {
	select {
	case <-e.resolved:
		return true
	default:
		return false
	}
}

// settleEnd finds out whether an instance has ended.
func (p *Proxy) resolveEnd(end *backendEnd) {
	ended := p.gate.RefusalCode() != result.Draining && refusesConnections(p.connectToBackend)
	if ended {
		time.Sleep(endGatherTime)
	}
	p.backendEnds.mutex.Lock()
	defer p.backendEnds.mutex.Unlock()
	end.ended = ended
	if ended {
		p.counters.backendEnds.Add(1)
		p.attributeEnd(end)
		p.logEnd(end)
	} else {
		p.backendEnds.newest = nil // the next broken call asks anew
	}
	end.interruptedCalls = nil // their requests and bodies are not kept for it
	close(end.resolved)
}

// suspectOf puts an end down to the requests that were at work; which of them did it follows
// from all ends that they were at work at (quarantine.Table). A software version that has
// never answered anything here may be unable to, whatever it runs: its ends speak of no
// request.
func (p *Proxy) attributeEnd(end *backendEnd) {
	end.suspectedRequests = map[quarantine.Signature]bool{}
	if !p.hasVersionAnswered() {
		return
	}
	unknown := false
	trials := map[quarantine.Signature]uint32{}
	for _, call := range end.interruptedCalls {
		signature, signed := call.signature()
		if signed {
			end.suspectedRequests[signature] = true
			trials[signature] = max(trials[signature], call.trial)
		}
		unknown = unknown || !signed
	}
	if unknown {
		p.harmful.recordUnidentified(end.start.String())
	}
	p.harmful.recordEndInTrials(trials, end.start.String(), lo.Keys(end.suspectedRequests)...)
}

// softwareHasAnswered tells whether the software version that runs, or ran last, has answered
// a call well at this gate.
func (p *Proxy) hasVersionAnswered() bool {
	return p.counters.succeeded.Load() > p.backendEnds.succeededBeforeVersion.Load()
}

// refusesConnections tells whether nothing listens where a connection is opened and closed. A
// reset connection, a lost answer and a back end that is silent or full are no end of it. One
// try that takes too long says nothing: this process itself may have been without processor.
func refusesConnections(connect func() error) bool {
	for try := range endDialTries {
		if try > 0 {
			time.Sleep(endDialPause)
		}
		err := connect()
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case err != nil && !isTimeout(err):
			return false
		}
	}
	return false
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// connectToBackend opens and closes a connection to the back end.
func (p *Proxy) connectToBackend() error {
	conn, err := net.DialTimeout("tcp", p.config.BackendAddress, endDialTimeout)
	if err != nil {
		return err
	}
	return conn.Close()
}

// logEnd writes that an instance has ended, and a line for each call that was at work there.
func (p *Proxy) logEnd(end *backendEnd) {
	p.logEvent("backend_ended", textField("backend", end.start.Instance), bornField(end.start), textField("at_work", formatInt(len(end.interruptedCalls))))
	for _, call := range end.interruptedCalls {
		signature, _ := call.signature()
		p.logEvent("call_at_end", textField("backend", end.start.Instance), bornField(end.start),
			textField("request", p.requestID(call.request.Header)),
			textField("signature", signature.String()),
			textField("suspected", strconv.FormatBool(end.suspectedRequests[signature])),
			textField("trial", formatInt(int(call.trial))),
			textField("method", call.request.Method),
			textField("caller", call.callerService()))
	}
}
