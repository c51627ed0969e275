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
	endGather = 5 * time.Millisecond
)

// backendEnds finds out whether the back end has ended when connections to it break under
// calls, and which calls were at work there.
type backendEnds struct {
	mutex sync.Mutex
	// newest is the last moment at which calls broke; nil for none.
	newest *backendEnd
	// answeredBefore is how many calls were answered well before the software version came
	// that runs now.
	answeredBefore atomic.Uint64
}

// backendEnd is one moment at which connections to an instance broke.
type backendEnd struct {
	// start is the start of the instance, which may start again under its name.
	start protocol.BackendStart
	// settled is closed when ended is known and all calls have been gathered.
	settled chan struct{}
	ended   bool
	// atWork are the calls whose connections broke; guarded by the mutex until settled.
	atWork []*gateCall
	// suspected are the requests that the end is put down to.
	suspected map[quarantine.Signature]bool
}

// awaitEnd waits, after the connection of the call broke before an answer, until it is known
// whether the instance has ended: some 5 ms, endDialTimeout where nothing answers. It
// returns the start if it has and this call is suspected of it, and else nothing.
func (c *gateCall) awaitEnd() string {
	end := c.proxy.gatherEnd(c)
	<-end.settled
	signature, signed := c.signature()
	if !end.ended || !signed || !end.suspected[signature] {
		return ""
	}
	return end.start.String()
}

// gatherEnd adds a call to the moment at which its connection broke.
func (p *Proxy) gatherEnd(call *gateCall) *backendEnd {
	p.ends.mutex.Lock()
	end := p.ends.newest
	if end == nil || end.start != call.start {
		end = &backendEnd{start: call.start, settled: make(chan struct{})}
		p.ends.newest = end
		go p.settleEnd(end)
	}
	if !end.isSettled() {
		end.atWork = append(end.atWork, call)
	}
	p.ends.mutex.Unlock()
	return end
}

func (e *backendEnd) isSettled() bool {
	select {
	case <-e.settled:
		return true
	default:
		return false
	}
}

// settleEnd finds out whether an instance has ended.
func (p *Proxy) settleEnd(end *backendEnd) {
	ended := p.gate.RefusalCode() != result.Draining && refusesConnections(p.connectToBackend)
	if ended {
		time.Sleep(endGather)
	}
	p.ends.mutex.Lock()
	defer p.ends.mutex.Unlock()
	end.ended = ended
	if ended {
		p.tally.backendEnds.Add(1)
		p.suspectOf(end)
		p.logEnd(end)
	} else {
		p.ends.newest = nil // the next broken call asks anew
	}
	end.atWork = nil // their requests and bodies are not kept for it
	close(end.settled)
}

// suspectOf puts an end down to the requests that were at work; which of them did it follows
// from all ends that they were at work at (quarantine.Table). A software version that has
// never answered anything here may be unable to, whatever it runs: its ends speak of no
// request.
func (p *Proxy) suspectOf(end *backendEnd) {
	end.suspected = map[quarantine.Signature]bool{}
	if !p.softwareHasAnswered() {
		return
	}
	unknown := false
	trials := map[quarantine.Signature]uint32{}
	for _, call := range end.atWork {
		signature, signed := call.signature()
		if signed {
			end.suspected[signature] = true
			trials[signature] = max(trials[signature], call.trial)
		}
		unknown = unknown || !signed
	}
	if unknown {
		p.harmful.noteUnknownAtEnd(end.start.String())
	}
	p.harmful.noteEndedIn(trials, end.start.String(), lo.Keys(end.suspected)...)
}

// softwareHasAnswered tells whether the software version that runs, or ran last, has answered
// a call well at this gate.
func (p *Proxy) softwareHasAnswered() bool {
	return p.tally.answered.Load() > p.ends.answeredBefore.Load()
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
	p.event("backend_ended", textField("backend", end.start.Instance), bornField(end.start), textField("at_work", number(len(end.atWork))))
	for _, call := range end.atWork {
		signature, _ := call.signature()
		p.event("call_at_end", textField("backend", end.start.Instance), bornField(end.start),
			textField("request", p.requestID(call.request.Header)),
			textField("signature", signature.String()),
			textField("suspected", strconv.FormatBool(end.suspected[signature])),
			textField("trial", number(int(call.trial))),
			textField("method", call.request.Method),
			textField("caller", call.caller()))
	}
}
