package processes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/result"
	"github.com/springstack/springstack/internal/sim/oracle"
)

// look asks what is in force. Once a version is said to be in force, no daemon
// may answer from an older one, whenever it is asked.
func (r *run) look(ctx context.Context) {
	status, refused := r.operator.Status(ctx)
	if refused != nil || status.Partial != "" || status.InForce < r.accepted || !r.certain {
		return
	}
	r.journal.with(func(judge *oracle.Oracle, at time.Duration) {
		judge.ToldInForce(at, "operator", status.InForce)
	})
	older := r.probeAll(ctx)
	if len(older) > 0 && r.findLate(ctx, older[0]) {
		// All daemons must have that change then, those that had the other one too.
		older = r.probeAll(ctx)
	}
	for _, d := range older {
		r.journal.with(func(judge *oracle.Oracle, at time.Duration) {
			judge.ServedOlder(at, d.name(), r.accepted)
		})
	}
}

// probeAll calls the route of the current change on every daemon and returns those
// that know no such route: they serve an older version.
func (r *run) probeAll(ctx context.Context) (older []*daemonProcess) {
	for _, d := range r.daemons {
		if d.running() && d != r.paused && r.send(ctx, d).Code == result.NoRoute {
			older = append(older, d)
		}
	}
	return older
}

// findLate looks on a daemon for a change of unknown outcome that has been accepted
// after the current one, and makes it the current one.
func (r *run) findLate(ctx context.Context, d *daemonProcess) bool {
	expected := r.current
	for _, marker := range r.doubted {
		r.current = marker
		if r.send(ctx, d).Code == result.OK {
			r.options.Report("change %d, of unknown outcome, came after change %d", marker, expected)
			return true
		}
	}
	r.current = expected
	return false
}

// call makes one call through a random daemon.
func (r *run) call(ctx context.Context) {
	d := r.daemons[r.random.IntN(len(r.daemons))]
	if d.running() && d != r.paused {
		r.send(ctx, d)
	}
}

// send makes one call that may not be repeated and tells the oracle.
func (r *run) send(ctx context.Context, d *daemonProcess) oracle.Outcome {
	r.calls++
	id := fmt.Sprintf("call-%06d", r.calls)
	expected := backend.AnswerHead(backend.RequestID(id), emptyDigest, 0)
	r.journal.with(func(judge *oracle.Oracle, _ time.Duration) { judge.CallSent(id, false, expected) })
	outcome := r.exchange(ctx, d, id)
	r.journal.with(func(judge *oracle.Oracle, at time.Duration) { judge.CallEnded(at, id, outcome) })
	return outcome
}

// emptyDigest is the digest of a request without body.
const emptyDigest = 0xef46db3751d8e999

func (r *run) exchange(ctx context.Context, d *daemonProcess, id string) oracle.Outcome {
	unknown := oracle.Outcome{Code: result.Unreachable, Ran: result.RanUnknown}
	url := "http://" + d.callers + "/" + markerText(r.current)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return unknown
	}
	request.Header.Set(backend.HeaderRequest, id)
	answer, err := r.client.Do(request)
	if err != nil {
		return unknown
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return unknown
	}
	if refusal, err := strconv.Atoi(answer.Header.Get("Springstack-Code")); err == nil {
		return oracle.Outcome{Code: result.Code(refusal), Ran: result.Execution(answer.Header.Get("Springstack-Ran"))}
	}
	return oracle.Outcome{Code: result.OK, Ran: result.RanYes, Body: string(body), Whole: true}
}
