package hosted

import (
	"context"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/pause"
	"github.com/springstack/springstack/internal/proxy"
	"github.com/springstack/springstack/internal/result"
)

// The rates of lines, so that logging stays a small part of the daemon's work
// however much goes wrong.
const (
	// beliefsPerSecond bounds lines on what the daemon believes.
	beliefsPerSecond = 50
	beliefsBurst     = 400
	// requestsPerSecond bounds lines on single requests.
	requestsPerSecond = 40
	requestsBurst     = 200
	// summaryPeriod is the time between two summaries.
	summaryPeriod = 10 * time.Second
)

// eventField is one key and value of an event.
type eventField struct{ key, value string }

func field(key, value string) eventField { return eventField{key: key, value: value} }

// bornField tells which start of an instance a line speaks of.
func bornField(born int64) eventField { return field("born", strconv.FormatInt(born, 10)) }

// eventLog writes events with the daemon's name, within a rate.
type eventLog struct {
	logger log.Interface
	node   string
	clock  func() time.Duration
	rate   *logging.Rate
}

func newEventLog(logger log.Interface, node string, clock func() time.Duration) eventLog {
	return eventLog{
		logger: logger, node: node, clock: clock,
		rate: logging.NewRate(beliefsPerSecond, beliefsBurst),
	}
}

func (l eventLog) event(name string, fields ...eventField) {
	if l.logger != nil && l.rate.Allow(l.clock()) {
		l.write(name, fields)
	}
}

func (l eventLog) write(name string, fields []eventField) {
	values := make(log.Fields, len(fields)+1)
	values["node"] = l.node
	for _, one := range fields {
		values[one.key] = one.value
	}
	l.logger.WithFields(values).Info(name)
}

// requestLog writes the decisions that touch requests. It implements
// proxy.Trace.
type requestLog struct {
	events eventLog
	rate   *logging.Rate
}

func newRequestLog(events eventLog) *requestLog {
	return &requestLog{events: events, rate: logging.NewRate(requestsPerSecond, requestsBurst)}
}

// Wants implements proxy.Trace.
func (r *requestLog) Wants(string) bool {
	return r.events.logger != nil && r.rate.Allow(r.events.clock())
}

// Write implements proxy.Trace.
func (r *requestLog) Write(event proxy.Event) {
	r.events.write(event.Name, pathFields(event))
}

// pathFields are the fields of an event of the data path.
func pathFields(event proxy.Event) []eventField {
	fields := make([]eventField, 0, len(event.Fields))
	for _, one := range event.Fields {
		fields = append(fields, field(one.Key, one.Value))
	}
	return fields
}

// summarize writes what ordinary requests came to, which allowed regions are not known and
// how many lines were dropped, until the context ends.
func (d *Daemon) summarize(ctx context.Context) {
	var last proxy.Counters
	var regions regionCheck
	dropped := uint64(0)
	for pause.For(ctx, summaryPeriod) {
		now := d.path.Counters()
		if now.CallerCalls != last.CallerCalls || now.GateCalls != last.GateCalls {
			d.events.event("requests_summary",
				field("callers", count(now.CallerCalls-last.CallerCalls)),
				field("gate", count(now.GateCalls-last.GateCalls)),
				field("attempts", count(now.Attempts-last.Attempts)),
				field("retries", count(now.Retries-last.Retries)),
				field("cut", count(now.Aborted-last.Aborted)),
				field("running", strconv.Itoa(now.GateRunning)),
				field("queued", strconv.Itoa(now.GateQueued)),
				field("version", versionText(d.configuration.version())))
		}
		last = now
		d.summarizeStoreCalls()
		regions.look(d.configuration.built.Load(), d.mesh.regions(), d.events)
		if total := d.linesDropped(); total != dropped {
			d.events.event("log_lines_dropped", field("lines", count(total-dropped)))
			dropped = total
		}
	}
}

// summarizeStoreCalls writes how many calls to the store were made since the start,
// by their purpose.
func (d *Daemon) summarizeStoreCalls() {
	totals := map[storePurpose]uint64{}
	failed := uint64(0)
	for call, made := range d.storeCalls.snapshot() {
		totals[call.purpose] += made
		if call.code != result.OK {
			failed += made
		}
	}
	fields := []eventField{field("failed", count(failed))}
	for _, purpose := range storePurposes {
		fields = append(fields, field(string(purpose), count(totals[purpose])))
	}
	d.events.event("store_summary", fields...)
}

// linesDropped is how many log lines were not written since the start.
func (d *Daemon) linesDropped() uint64 {
	total := d.events.rate.Dropped() + d.requests.rate.Dropped()
	if d.options.LinesDropped != nil {
		total += d.options.LinesDropped()
	}
	return total
}

func count(value uint64) string { return strconv.FormatUint(value, 10) }
