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
	eventLogsPerSecond = 50
	eventLogBurst      = 400
	// requestsPerSecond bounds lines on single requests.
	requestLogsPerSecond = 40
	requestLogBurst      = 200
	// summaryPeriod is the time between two summaries.
	summaryInterval = 10 * time.Second
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
		rate: logging.NewRate(eventLogsPerSecond, eventLogBurst),
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
	return &requestLog{events: events, rate: logging.NewRate(requestLogsPerSecond, requestLogBurst)}
}

// Wants implements proxy.Trace.
func (r *requestLog) Wants(string) bool {
	return r.events.logger != nil && r.rate.Allow(r.events.clock())
}

// Write implements proxy.Trace.
func (r *requestLog) Write(event proxy.Event) {
	r.events.write(event.Name, dataPathFields(event))
}

// pathFields are the fields of an event of the data path.
func dataPathFields(event proxy.Event) []eventField {
	fields := make([]eventField, 0, len(event.Fields))
	for _, one := range event.Fields {
		fields = append(fields, field(one.Key, one.Value))
	}
	return fields
}

// summarize writes what ordinary requests came to, which allowed regions are not known and
// how many lines were dropped, until the context ends.
func (d *Daemon) logSummaries(ctx context.Context) {
	var last proxy.Counters
	var regions regionCheck
	dropped := uint64(0)
	for pause.For(ctx, summaryInterval) {
		now := d.dataPath.Counters()
		if now.CallerCalls != last.CallerCalls || now.GateCalls != last.GateCalls {
			d.events.event("requests_summary",
				field("callers", formatCount(now.CallerCalls-last.CallerCalls)),
				field("gate", formatCount(now.GateCalls-last.GateCalls)),
				field("attempts", formatCount(now.Attempts-last.Attempts)),
				field("retries", formatCount(now.Retries-last.Retries)),
				field("cut", formatCount(now.Aborted-last.Aborted)),
				field("running", strconv.Itoa(now.GateRunning)),
				field("queued", strconv.Itoa(now.GateQueued)),
				field("version", formatVersion(d.configuration.version())))
		}
		last = now
		d.logStoreSummary()
		regions.logUnknownRegions(d.configuration.currentSnapshot.Load(), d.mesh.knownRegions(), d.events)
		if total := d.linesDropped(); total != dropped {
			d.events.event("log_lines_dropped", field("lines", formatCount(total-dropped)))
			dropped = total
		}
	}
}

// summarizeStoreCalls writes how many calls to the store were made since the start,
// by their purpose.
func (d *Daemon) logStoreSummary() {
	totals := map[storePurpose]uint64{}
	failed := uint64(0)
	for call, made := range d.storeCalls.snapshot() {
		totals[call.purpose] += made
		if call.code != result.OK {
			failed += made
		}
	}
	fields := []eventField{field("failed", formatCount(failed))}
	for _, purpose := range storePurposes {
		fields = append(fields, field(string(purpose), formatCount(totals[purpose])))
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

func formatCount(value uint64) string { return strconv.FormatUint(value, 10) }
