package proxy

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/bytebudget"
	"github.com/springstack/springstack/internal/result"
)

// Estimates of the memory that a request takes while it runs.
const (
	// requestMemory is the memory of a request without its header: buffers, goroutines and the
	// records of its attempts.
	requestMemory = 8 << 10
	// headerFieldMemory is the memory of a header field besides its text: its entries in the header
	// of the request and in the copy that is sent on.
	headerFieldMemory = 256
	// headTextCopies is how often the text of a head is in memory.
	headTextCopies = 2
	// costlyHeadMemory is the estimate from which on a head counts as costly: ordinary requests are
	// far below it.
	costlyHeadMemory = 64 << 10
	// costlyShare is the share of the memory for requests that requests with costly heads may use.
	costlyShare = 0.25
	// aheadShare is the share of it that may be in use, also by requests in their turn, when another one
	// starts ahead of its turn.
	aheadShare = 1.0 / 16
)

// headLimits limits the heads of the requests that a server receives. The HTTP library parses a head
// while it arrives, and a field of a few bytes takes many times that as an entry of a header. So
// incomplete heads are held as text, and a complete one is parsed only if the memory for it is
// available.
type headLimits struct {
	// maxBytes returns the maximum size of a head.
	maxBytes func() int
	// timeout is the time after which an incomplete head is refused. closeAfter returns the time after
	// which its connection is closed without an answer; 0 if it is not.
	timeout    time.Duration
	closeAfter func() time.Duration
	// incomplete holds the text of incomplete heads.
	incomplete *evictingBudget
	// requests limits the estimated memory of the requests that run.
	requests *bytebudget.Budget
	// onRefused is called with each refusal of a head.
	onRefused func(Refusal)
	// edge is set for callers of a foreign platform.
	edge *Edge
}

// unlimitedHeadBytes is the HTTP library's limit of a head on connections with headLimits.
const unlimitedHeadBytes = 1 << 30

// newHeadLimits returns the limits of the heads that a server with the given limits receives.
func newHeadLimits(limits Limits) *headLimits {
	return &headLimits{
		maxBytes:   func() int { return limits.HeaderBytes },
		timeout:    limits.HeaderTimeout,
		closeAfter: func() time.Duration { return 0 },
		incomplete: newEvictingBudget(limits.IncompleteHeadBytes),
		requests:   bytebudget.New(limits.RequestBytes),
		onRefused:  func(Refusal) {},
	}
}

// headLimits returns the limits of the heads that the server of this side receives.
func (s *sideHandler) headLimits() *headLimits {
	p := s.proxy
	limits := newHeadLimits(p.limits)
	limits.onRefused = func(refusal Refusal) { p.counters.recordRefusal(refusal.Code) }
	if !s.isCallerSide {
		// The callers' side has checked the head as it was sent. It adds headers and a space to each
		// field, and its daemon may have a version with other limits in force.
		limits.maxBytes = func() int { return gateHeadFactor * max(p.RequestLimits().HeaderBytes, p.limits.HeaderBytes) }
		return limits
	}
	limits.maxBytes = func() int { return p.RequestLimits().HeaderBytes }
	limits.closeAfter = func() time.Duration { return p.RequestLimits().HeaderTimeout }
	limits.edge = p.config.Edge
	return limits
}

// gateHeadFactor is the factor between the limit of a head at the gate and that of a caller's.
const gateHeadFactor = 2

// headMemory estimates the memory that a request with the given head takes.
func headMemory(size, lines int) int64 {
	return requestMemory + int64(size)*headTextCopies + int64(lines)*headerFieldMemory
}

// admit reserves the memory for a request. It returns false if the memory is not available.
func (h *headLimits) admit(memory int64) bool {
	if memory > costlyHeadMemory {
		return h.requests.TryReserveShare(memory, costlyShare)
	}
	return h.requests.TryReserve(memory)
}

// admitAhead reserves the memory for a request that is to run ahead of its turn, and returns the
// function that releases it. It returns false if the request has to wait for its turn.
func (h *headLimits) admitAhead(head []byte) (release func(), admitted bool) {
	if len(head) > h.maxBytes() {
		return nil, false
	}
	memory := headMemory(len(head), bytes.Count(head, []byte("\n")))
	if !h.requests.TryReserveShare(memory, aheadShare) {
		return nil, false
	}
	return func() { h.requests.Release(memory) }, true
}

// headReader reads the heads of a connection's requests. Its fields are used by the server's reads,
// which don't overlap.
type headReader struct {
	// size and lines are the size and the number of lines that have been read of the current head,
	// lineBytes is the number of bytes of its last line without carriage returns.
	size, lines int
	lineBytes   int
	// text holds bytes that the server has not read yet.
	text headText
}

// scan advances over bytes of the head. It returns true once the empty line at the end of the head
// has been read. Leading empty lines count as an end as well: the server then reads again.
func (r *headReader) scan(text []byte) bool {
	isComplete := false
	for len(text) > 0 && !isComplete {
		newline := bytes.IndexByte(text, '\n')
		line := text
		if newline >= 0 {
			line = text[:newline]
		}
		r.lineBytes += len(line) - bytes.Count(line, []byte("\r"))
		r.size += len(line)
		if newline < 0 {
			return false
		}
		r.size++
		r.lines++
		isComplete = r.lineBytes == 0
		r.lineBytes = 0
		text = text[newline+1:]
	}
	return isComplete
}

// reset prepares for the next head.
func (r *headReader) reset() { r.size, r.lines, r.lineBytes = 0, 0, 0 }

// readHead reads a part of a request while no handler runs: it returns bytes once the head is complete.
// A head that exceeds the limits is refused, and the connection ends.
func (c *countedConn) readHead(buffer []byte) (int, error) {
	head := &c.head
	count, err := c.Conn.Read(buffer)
	if count == 0 {
		return 0, err
	}
	if !head.scan(buffer[:count]) {
		if err := c.completeHead(buffer[:count]); err != nil {
			return 0, err
		}
		count = head.text.take(buffer)
	}
	if refusal, admitted := c.admitHead(); !admitted {
		return 0, c.refuseHead(refusal)
	}
	return count, nil
}

// completeHead holds the given start of a head and reads until the head is complete.
func (c *countedConn) completeHead(start []byte) error {
	head, limits := &c.head, c.listener.heads
	head.text.add(start)
	c.startHeadTimeout()
	// The text of a request that has run ahead has arrived already.
	mayRefuse := !c.hasPendingAnswers()
	if mayRefuse {
		defer limits.incomplete.remove(c)
		if !limits.incomplete.add(c, head.text.memory()) {
			return c.refuseHead(overloadedRefusal())
		}
	}
	for {
		if mayRefuse && head.size > limits.maxBytes() {
			return c.refuseHead(headTooLarge(limits.maxBytes()))
		}
		free := head.text.free()
		if mayRefuse && !limits.incomplete.resize(c, head.text.memory()) {
			return c.refuseHead(overloadedRefusal())
		}
		count, err := c.Conn.Read(free)
		head.text.extend(count)
		if head.scan(free[:count]) {
			return nil
		}
		switch {
		case isStallError(err):
			return c.refuseHead(Refusal{Code: result.RequestMalformed, Detail: "The headers have not arrived in time."})
		case err != nil:
			head.text.drop()
			return err
		}
	}
}

// startHeadTimeout limits the time until the head is complete. The server's own timeout starts with
// the first byte that it gets.
func (c *countedConn) startHeadTimeout() {
	limits := c.listener.heads
	c.idleTimer.reset(limits.closeAfter(), c)
	_ = c.Conn.SetReadDeadline(time.Now().Add(limits.timeout)) // fails on a closed connection, and then reading fails
}

// admitHead checks the limits of a complete head and reserves the memory for its request. A request
// that has run ahead is not refused any more.
func (c *countedConn) admitHead() (Refusal, bool) {
	head, limits := &c.head, c.listener.heads
	memory := headMemory(head.size, head.lines)
	switch {
	case c.hasPendingAnswers():
		limits.requests.Reserve(memory)
	case head.size > limits.maxBytes():
		return headTooLarge(limits.maxBytes()), false
	case limits.admit(memory):
	case memory <= costlyHeadMemory && c.listener.evictBody():
		limits.requests.Reserve(memory) // the evicted call releases its memory soon
	default:
		return overloadedRefusal(), false
	}
	limits.requests.Release(c.requestMemory.Swap(memory))
	return Refusal{}, true
}

// releaseRequest returns the memory of the connection's request.
func (c *countedConn) releaseRequest() {
	if c.listener.heads != nil {
		c.listener.heads.requests.Release(c.requestMemory.Swap(0))
	}
}

// refuseHead answers with a refusal as the last answer of the connection, within refusalTimeout. It
// returns io.EOF, with which the server closes the connection.
func (c *countedConn) refuseHead(refusal Refusal) error {
	refusal.edge = c.listener.heads.edge
	c.listener.heads.onRefused(refusal)
	c.head.text.drop()
	if !c.phase.CompareAndSwap(phaseIdle, phaseRetired) {
		return io.EOF
	}
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout)) // fails on a closed connection, and then writing fails
	sendRefusal(c.Conn, refusal)
	return io.EOF
}

// evict closes a connection whose request is incomplete, since its memory is needed for others.
func (c *countedConn) evict() { c.closeIdle() }

// headTooLarge returns the refusal of a head that exceeds the limit.
func headTooLarge(limit int) Refusal {
	detail := "The headers are larger than " + strconv.Itoa(limit) + " bytes."
	return Refusal{Code: result.RequestTooLarge, Status: http.StatusRequestHeaderFieldsTooLarge, Detail: detail}
}

// overloadedRefusal returns the refusal of a request for which no memory is available.
func overloadedRefusal() Refusal {
	return Refusal{Code: result.Overloaded, Detail: "The memory for requests is in use.", RetryAfter: time.Second}
}
