// Package pipelining measures what it is worth to run the requests that a caller
// sends one behind another on a connection side by side, and what that costs callers
// that send one request at a time.
package pipelining

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/host"
	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/rig"
	"github.com/springstack/springstack/internal/lab/scenario"
	"github.com/springstack/springstack/internal/proxy"
)

// Options describe a run.
type Options struct {
	Seed uint64
	// Depth is how many requests a caller sends at once.
	Depth int
	// Bursts is how often each connection does.
	Bursts   int
	Progress func(event string)
}

const (
	connections = 12
	service     = 10 * time.Millisecond
	// aloneBursts is how often a connection sends one request at a time, where the
	// processor time is measured; aloneTurns is how often the two ways take turns.
	aloneBursts = 400
	aloneTurns  = 5
	// answerLimit bounds the wait for one answer.
	answerLimit = 30 * time.Second
)

// Figures are the outcome, times in milliseconds from the sending of a burst.
type Figures struct {
	Depth     int     `json:"depth"`
	SerialP50 float64 `json:"serial_p50_ms"`
	SerialP99 float64 `json:"serial_p99_ms"`
	AheadP50  float64 `json:"ahead_p50_ms"`
	AheadP99  float64 `json:"ahead_p99_ms"`
	// AloneCost is the processor time of callers that send one request at a time,
	// against the same with requests in turn only.
	AloneCost float64 `json:"alone_processor_ratio"`
	// Violations counts answers that were not those of their requests.
	Violations int `json:"violations"`
}

// Run measures both ways.
func Run(ctx context.Context, options Options) (*Figures, error) {
	figures := &Figures{Depth: options.Depth}
	var err error
	options.Progress("serial")
	if figures.SerialP50, figures.SerialP99, err = figures.bursts(ctx, options, serial); err != nil {
		return nil, errors.Trace(err)
	}
	options.Progress("ahead")
	if figures.AheadP50, figures.AheadP99, err = figures.bursts(ctx, options, ahead); err != nil {
		return nil, errors.Trace(err)
	}
	options.Progress("alone")
	figures.AloneCost, err = figures.alone(ctx, options)
	return figures, errors.Trace(err)
}

// way is one way to serve a connection's requests.
type way int

const (
	// serial runs each request in its turn, ahead starts those that wait.
	serial way = iota
	ahead
)

// limits are the proxy's for a way.
func (w way) limits() proxy.Limits {
	limits := proxy.DefaultLimits()
	if w == serial {
		limits.AheadCalls = -1
	}
	return limits
}

func startRig(options Options, w way, mean time.Duration) (*rig.Rig, error) {
	return rig.Start(rig.Options{
		Deployment:   scenario.Windhoek(),
		Backend:      backend.Config{MeanService: mean, Slots: connections},
		WithoutLinks: true,
		Limits:       w.limits(),
		Seed:         options.Seed,
	})
}

// bursts sends bursts on several connections at once and returns quantiles of the
// time to answer.
func (f *Figures) bursts(ctx context.Context, options Options, w way) (p50, p99 float64, err error) {
	started, err := startRig(options, w, service)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	defer started.Close()
	took, err := f.drive(ctx, started, options.Depth, options.Bursts)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	slices.Sort(took)
	return milliseconds(took[len(took)/2]), milliseconds(took[len(took)*99/100]), nil
}

// alone compares the processor time of single requests, the two ways taking turns.
func (f *Figures) alone(ctx context.Context, options Options) (float64, error) {
	rigs := [2]*rig.Rig{}
	for w := range rigs {
		started, err := startRig(options, way(w), backend.NoService)
		if err != nil {
			return 0, errors.Trace(err)
		}
		defer started.Close()
		rigs[w] = started
	}
	var used [2]time.Duration
	for turn := range aloneTurns + 1 {
		for w, started := range rigs {
			before := host.ProcessorTime()
			if _, err := f.drive(ctx, started, 1, aloneBursts); err != nil {
				return 0, errors.Trace(err)
			}
			if turn > 0 { // the first one warms up
				used[w] += host.ProcessorTime() - before
			}
		}
	}
	return float64(used[ahead]) / float64(used[serial]), nil
}

// drive sends bursts of requests on each connection.
func (f *Figures) drive(ctx context.Context, started *rig.Rig, depth, bursts int) ([]time.Duration, error) {
	kind := scenario.Windhoek().Calls[0].Kind
	var mutex sync.Mutex
	var all []time.Duration
	group, ctx := errgroup.WithContext(ctx)
	for number := range connections {
		machine := started.Machines[number%len(started.Machines)]
		group.Go(func() error {
			took, wrong, err := drive(ctx, machine.CallerAddress, kind, number, depth, bursts)
			mutex.Lock()
			defer mutex.Unlock()
			all = append(all, took...)
			f.Violations += wrong
			return errors.Trace(err)
		})
	}
	return all, errors.Trace(group.Wait())
}

// drive sends the bursts of one connection and counts the answers that are not those
// of their requests.
func drive(ctx context.Context, address string, kind load.Kind, number, depth, bursts int) (took []time.Duration, wrong int, err error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for burst := range bursts {
		var text strings.Builder
		ids := make([]string, depth)
		for index := range ids {
			ids[index] = fmt.Sprintf("p%d-%d-%d", number, burst, index)
			fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 512\r\n\r\n",
				kind.Path, kind.Host, backend.HeaderRequest, ids[index], backend.HeaderAnswerBytes)
		}
		_ = conn.SetDeadline(time.Now().Add(answerLimit))
		sent := time.Now()
		if _, err := io.WriteString(conn, text.String()); err != nil {
			return took, wrong, errors.Trace(err)
		}
		for _, id := range ids {
			fine, err := takeAnswer(reader, id)
			if err != nil {
				return took, wrong, errors.Annotatef(err, "answer to %s", id)
			}
			if !fine {
				wrong++
			}
			took = append(took, time.Since(sent))
		}
	}
	return took, wrong, nil
}

// takeAnswer reads one answer and tells whether it is that of a request.
func takeAnswer(reader *bufio.Reader, id string) (bool, error) {
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, errors.Trace(err)
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return false, errors.Trace(err)
	}
	return answer.StatusCode == http.StatusOK && answer.Header.Get(backend.HeaderRequest) == id, nil
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}
