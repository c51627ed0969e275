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

// Limits on the rate of log lines, so that logging remains a small part of the daemon's
// work even if many failures occur.
const (
	// eventLogsPerSecond and eventLogBurst limit the events that concern the state of the daemon,
	// its peers and its back end.
	eventLogsPerSecond = 50
	eventLogBurst      = 400
	// requestLogsPerSecond and requestLogBurst limit the events that concern single requests.
	requestLogsPerSecond = 40
	requestLogBurst      = 200
	// summaryInterval is the interval between two summaries.
	summaryInterval = 10 * time.Second
)

// eventField is one key-value pair of an event.
type eventField struct{ key, value string }

func field(key, value string) eventField { return eventField{key: key, value: value} }

// startTimeField returns the field with the start time of a back end, which distinguishes instances
// of the same name.
func startTimeField(born int64) eventField { return field("born", strconv.FormatInt(born, 10)) }

// eventLog writes events with the daemon's node ID, at a limited rate.
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

// write writes an event regardless of the rate limit.
func (l eventLog) write(name string, fields []eventField) {
	values := make(log.Fields, len(fields)+1)
	values["node"] = l.node
	for _, pair := range fields {
		values[pair.key] = pair.value
	}
	l.logger.WithFields(values).Info(name)
}

// requestLog writes events that concern single requests, at a limited rate. It implements
// proxy.Tracer.
type requestLog struct {
	events eventLog
	rate   *logging.Rate
}

func newRequestLog(events eventLog) *requestLog {
	return &requestLog{events: events, rate: logging.NewRate(requestLogsPerSecond, requestLogBurst)}
}

// Wants implements proxy.Tracer.
func (r *requestLog) Wants(string) bool {
	return r.events.logger != nil && r.rate.Allow(r.events.clock())
}

// Write implements proxy.Tracer.
func (r *requestLog) Write(event proxy.Event) {
	r.events.write(event.Name, dataPathFields(event))
}

// dataPathFields returns the fields of an event of the data path.
func dataPathFields(event proxy.Event) []eventField {
	fields := make([]eventField, 0, len(event.Fields))
	for _, pair := range event.Fields {
		fields = append(fields, field(pair.Key, pair.Value))
	}
	return fields
}

// logSummaries periodically logs the counts of requests and of calls to the store, routes that allow
// regions without daemons, and the number of dropped log lines, until the context ends.
func (d *Daemon) logSummaries(ctx context.Context) {
	var lastCounters proxy.Counters
	var regions regionCheck
	var lastMessages messageCounts
	droppedBefore := uint64(0)
	for pause.For(ctx, summaryInterval) {
		counters := d.dataPath.Counters()
		if counters.CallerCalls != lastCounters.CallerCalls || counters.GateCalls != lastCounters.GateCalls {
			d.events.event("requests_summary",
				field("callers", formatCount(counters.CallerCalls-lastCounters.CallerCalls)),
				field("gate", formatCount(counters.GateCalls-lastCounters.GateCalls)),
				field("attempts", formatCount(counters.Attempts-lastCounters.Attempts)),
				field("retries", formatCount(counters.Retries-lastCounters.Retries)),
				field("cut", formatCount(counters.Aborted-lastCounters.Aborted)),
				field("running", strconv.Itoa(counters.GateRunning)),
				field("queued", strconv.Itoa(counters.GateQueued)),
				field("version", formatVersion(d.configuration.version())))
		}
		lastCounters = counters
		d.logStoreSummary()
		lastMessages = d.logPeerSummary(lastMessages)
		regions.logUnknownRegions(d.configuration.currentSnapshot.Load(), d.mesh.knownRegions(), d.events)
		if total := d.linesDropped(); total != droppedBefore {
			d.events.event("log_lines_dropped", field("lines", formatCount(total-droppedBefore)))
			droppedBefore = total
		}
	}
}

// logStoreSummary logs the number of calls to the store since the start, by purpose, and
// the number of those that failed.
func (d *Daemon) logStoreSummary() {
	callsByPurpose := map[storePurpose]uint64{}
	failedCalls := uint64(0)
	for kind, calls := range d.storeCalls.snapshot() {
		callsByPurpose[kind.purpose] += calls
		if kind.code != result.OK {
			failedCalls += calls
		}
	}
	fields := []eventField{field("failed", formatCount(failedCalls))}
	for _, purpose := range storePurposes {
		fields = append(fields, field(string(purpose), formatCount(callsByPurpose[purpose])))
	}
	d.events.event("store_summary", fields...)
}

// logPeerSummary logs the number of requests received from peers since the last summary, by kind, and
// returns the counts for the next one.
func (d *Daemon) logPeerSummary(last messageCounts) messageCounts {
	counts := d.mesh.messages.receivedCounts()
	fields := make([]eventField, 0, messageKindCount)
	for kind, name := range messageKindNames {
		fields = append(fields, field(name, formatCount(counts[kind]-last[kind])))
	}
	d.events.event("peers_summary", fields...)
	return counts
}

// linesDropped returns the number of log lines dropped since the start, by the rate limits on events
// and requests and by the log output.
func (d *Daemon) linesDropped() uint64 {
	total := d.events.rate.Dropped() + d.requests.rate.Dropped()
	if d.options.LinesDropped != nil {
		total += d.options.LinesDropped()
	}
	return total
}

func formatCount(value uint64) string { return strconv.FormatUint(value, 10) }
