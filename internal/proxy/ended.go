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
	// endDialTimeout limits one attempt to connect to a back end on the same machine, which
	// accepts or refuses connections within a millisecond.
	endDialTimeout = 50 * time.Millisecond
	// maxEndDialTries and endDialPause are the maximum number of attempts to connect and the pause
	// between them. A second attempt follows if the first succeeded or timed out: an ending
	// process may close its connections before its port.
	maxEndDialTries = 2
	endDialPause    = 3 * time.Millisecond
	// endGatherTime is how long the calls that an end has interrupted are collected. Their
	// connections break at the same moment; the time is for the scheduling of the goroutines
	// that read them.
	endGatherTime = 5 * time.Millisecond
)

// backendEnds detects whether the back end has ended when connections to it break during calls,
// and collects the calls that were interrupted.
type backendEnds struct {
	mutex sync.Mutex
	// newestEnd is the last backendEnd; nil if there is none or its instance had not ended.
	newestEnd *backendEnd
	// succeededBeforeVersion is the value of counterSet.succeededCalls when the current software
	// version of the back end was first reported.
	succeededBeforeVersion atomic.Uint64
}

// backendEnd is the possible end of an instance: a moment at which connections to it broke.
type backendEnd struct {
	// start identifies the start of the instance, which may start again with the same name.
	start protocol.BackendStart
	// resolved is closed when ended is known and all interrupted calls have been collected.
	resolved chan struct{}
	ended    bool
	// interruptedCalls are the calls whose connections broke; guarded by backendEnds.mutex, and
	// nil once resolved is closed.
	interruptedCalls []*gateCall
	// suspectedRequests are the requests that may have caused the end.
	suspectedRequests map[quarantine.Signature]bool
}

// awaitSuspectedEnd is called after the connection of the call broke before its answer. It waits
// until it is known whether the instance has ended. This takes about 5 ms, or up to the timeouts of
// all attempts to connect if the instance doesn't respond. It returns the start of the instance if
// it has ended and this call's request may have caused that, else the empty string.
func (c *gateCall) awaitSuspectedEnd() string {
	end := c.proxy.addInterruptedCall(c)
	<-end.resolved
	signature, signed := c.signature()
	if !end.ended || !signed || !end.suspectedRequests[signature] {
		return ""
	}
	return end.start.String()
}

// addInterruptedCall adds a call whose connection broke to the backendEnd of its instance. If there
// is none yet, it creates one and starts resolveEnd for it.
func (p *Proxy) addInterruptedCall(call *gateCall) *backendEnd {
	p.backendEnds.mutex.Lock()
	end := p.backendEnds.newestEnd
	if end == nil || end.start != call.start {
		end = &backendEnd{start: call.start, resolved: make(chan struct{})}
		p.backendEnds.newestEnd = end
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

// resolveEnd determines whether an instance has ended, and attributes the end. While the gate
// drains, broken connections are not taken for an end.
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
		p.backendEnds.newestEnd = nil // the next interrupted call starts another check
	}
	end.interruptedCalls = nil // releases their requests and bodies
	close(end.resolved)
}

// attributeEnd records an end for the requests of the interrupted calls. quarantine.Table infers
// from all ends which of them is harmful. A software version that has not answered any call here
// may end under every request, so its ends are not recorded for requests.
func (p *Proxy) attributeEnd(end *backendEnd) {
	end.suspectedRequests = map[quarantine.Signature]bool{}
	if !p.hasVersionAnswered() {
		return
	}
	hasUnidentified := false
	trials := map[quarantine.Signature]uint32{}
	for _, call := range end.interruptedCalls {
		signature, signed := call.signature()
		if signed {
			end.suspectedRequests[signature] = true
			trials[signature] = max(trials[signature], call.trial)
		}
		hasUnidentified = hasUnidentified || !signed
	}
	if hasUnidentified {
		p.harmfulRequests.recordUnidentified(end.start.String())
	}
	p.harmfulRequests.recordEndInTrials(trials, end.start.String(), lo.Keys(end.suspectedRequests)...)
}

// hasVersionAnswered reports whether the software version that runs, or ran last, has answered a
// call without a server error at this gate.
func (p *Proxy) hasVersionAnswered() bool {
	return p.counters.succeededCalls.Load() > p.backendEnds.succeededBeforeVersion.Load()
}

// refusesConnections reports whether connections are refused because no process listens, which
// means that the instance has ended. A reset connection, a lost answer or a back end that is
// silent or full doesn't mean that. An attempt that times out is inconclusive: this process
// itself may have got no processor time.
func refusesConnections(dial func() error) bool {
	for try := range maxEndDialTries {
		if try > 0 {
			time.Sleep(endDialPause)
		}
		err := dial()
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
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// connectToBackend opens and closes a connection to the back end.
func (p *Proxy) connectToBackend() error {
	conn, err := net.DialTimeout("tcp", p.config.BackendAddress, endDialTimeout)
	if err != nil {
		return err
	}
	return conn.Close()
}

// logEnd logs the end of an instance and each call that it interrupted.
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
