// Package backend emulates the back ends of a deployment. Model is the pure
// part: it has no clock, no goroutine and no input or output, so that the
// simulator steps the same model that Server serves over HTTP.
package backend

import (
	"math"
	"math/rand/v2"
	"time"
)

// RequestID identifies one operation of a caller. Repeats of an operation
// carry the same id, which is how running twice is noticed.
type RequestID string

// Distribution is the shape of service times.
type Distribution int

// The shapes of service times.
const (
	// DistributionExponential draws exponential times, cut at MaximumFactor means.
	DistributionExponential Distribution = iota
	// DistributionConstant always takes the mean.
	DistributionConstant
	// DistributionLogNormal draws log-normal times with a long tail.
	DistributionLogNormal
)

// MaximumFactor cuts the tail of service times, in means.
const MaximumFactor = 20

// logNormalSigma is the deviation of the logarithm of log-normal times.
const logNormalSigma = 0.8

// DefaultSlots is how many calls a back end runs at once.
const DefaultSlots = 6

// CrashPoint is where in a call a back end dies.
type CrashPoint int

// The points of a call at which a back end can be made to die.
const (
	CrashNone CrashPoint = iota
	// CrashBeforeReading dies before the request is read: it does not run.
	CrashBeforeReading
	// CrashMidWork dies after the work has started and before it completes.
	CrashMidWork
	// CrashBeforeAnswering dies after the work and before the first answer byte.
	CrashBeforeAnswering
	// CrashMidAnswer dies after a part of the answer.
	CrashMidAnswer
)

// Config describes one emulated back end. The zero value of a field means the
// default named at the field.
type Config struct {
	// Slots is how many calls run without slowing each other; 0 means 6.
	Slots int
	// MeanService is the mean service time when warm; 0 means 5 ms and
	// NoService means that calls take no time of their own.
	MeanService  time.Duration
	Distribution Distribution
	// ColdFor is how long after a start calls are slow; 0 means never.
	ColdFor time.Duration
	// ColdFactor multiplies service times at the start and falls linearly to
	// 1 over ColdFor; 0 means 4.
	ColdFactor float64
	// ShedAbove makes the back end refuse calls when this many run, saying that
	// they did not run; 0 means that it never sheds.
	ShedAbove int
	// LoadMode and HealthMode say how far its reports can be trusted.
	LoadMode   ReportMode
	HealthMode ReportMode
	// ReportLag is how old a lagging report is; 0 means 2 s.
	ReportLag time.Duration
	// Seed makes all random draws repeatable.
	Seed uint64
}

// NoService makes calls take no time of their own.
const NoService = time.Duration(-1)

// Defaults of Config.
const (
	defaultMeanService = 5 * time.Millisecond
	defaultColdFactor  = 4
	defaultReportLag   = 2 * time.Second
)

// Outcome is what a back end does with a call that arrives.
type Outcome int

// The outcomes of Arrive.
const (
	// OutcomeStarted means that the call holds a slot and runs.
	OutcomeStarted Outcome = iota + 1
	// OutcomeShed means that the back end refused it and it did not run.
	OutcomeShed
	// OutcomeDown means that the process is dead: no answer comes.
	OutcomeDown
)

// Admission answers Arrive.
type Admission struct {
	Outcome Outcome
	// Run identifies the started run in Finish; it indexes Runs.
	Run int
	// Service is how long the call will work.
	Service time.Duration
	// Crash tells the owner to call Crash at that point of this call.
	Crash CrashPoint
}

// Run is the record of one start of one operation. Records outlive crashes:
// they are what at-most-once and "did not run" are judged from.
type Run struct {
	Request RequestID
	Start   time.Duration
	// End is when the run ended; meaningful when Ended is set.
	End   time.Duration
	Ended bool
	// Completed is set when the work had its whole effect.
	Completed bool
}

// Model is the state of one emulated back end. Times are since an arbitrary
// origin that the owner chooses. It is not safe for concurrent use.
type Model struct {
	config     Config
	random     *rand.Rand
	started    time.Duration
	down       bool
	draining   bool
	drainedAt  time.Duration
	generation int
	running    map[int]struct{}
	maximum    int
	shed       int
	crashPoint CrashPoint
	crashAfter int
	runs       []Run
	reports    reportHistory
}

// NewModel returns a back end that starts at now.
func NewModel(config Config, now time.Duration) *Model {
	if config.Slots == 0 {
		config.Slots = DefaultSlots
	}
	if config.MeanService == 0 {
		config.MeanService = defaultMeanService
	}
	if config.ColdFactor == 0 {
		config.ColdFactor = defaultColdFactor
	}
	if config.ReportLag == 0 {
		config.ReportLag = defaultReportLag
	}
	model := &Model{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)),
		started: now,
		running: make(map[int]struct{}),
	}
	model.observe(now)
	return model
}

// Arrive offers a call. A started call must be ended by Finish, once.
func (m *Model) Arrive(now time.Duration, request RequestID) Admission {
	if m.down {
		return Admission{Outcome: OutcomeDown}
	}
	crash := m.nextCrash()
	if crash == CrashBeforeReading {
		return Admission{Outcome: OutcomeDown, Crash: crash}
	}
	if m.config.ShedAbove > 0 && len(m.running) >= m.config.ShedAbove {
		m.shed++
		return Admission{Outcome: OutcomeShed, Crash: crash}
	}
	run := len(m.runs)
	m.runs = append(m.runs, Run{Request: request, Start: now})
	m.running[run] = struct{}{}
	m.maximum = max(m.maximum, len(m.running))
	m.observe(now)
	return Admission{Outcome: OutcomeStarted, Run: run, Service: m.serviceTime(now), Crash: crash}
}

// Finish ends a run: completed says that the work had its whole effect. A
// cancelled call ends with completed false. Runs ended by a crash are ignored.
func (m *Model) Finish(now time.Duration, run int, completed bool) {
	if _, found := m.running[run]; !found {
		return
	}
	delete(m.running, run)
	m.runs[run].End = now
	m.runs[run].Ended = true
	m.runs[run].Completed = completed
	m.observe(now)
}

// Crash kills the process: every running call ends without completing.
func (m *Model) Crash(now time.Duration) {
	for run := range m.running {
		m.runs[run].End = now
		m.runs[run].Ended = true
	}
	clear(m.running)
	m.down = true
	m.crashPoint = CrashNone
	m.observe(now)
}

// Restart starts the process again, cold and not draining.
func (m *Model) Restart(now time.Duration) {
	if !m.down {
		m.Crash(now)
	}
	m.down = false
	m.draining = false
	m.started = now
	m.generation++
	m.observe(now)
}

// PlanCrash makes the call that arrives after the given number of others
// carry the crash point in its Admission.
func (m *Model) PlanCrash(point CrashPoint, after int) {
	m.crashPoint = point
	m.crashAfter = after
}

// Drain is the back end's own signal that it is leaving. It goes on serving
// what it is sent: refusing new work is the gate's duty.
func (m *Model) Drain(now time.Duration) {
	if m.draining {
		return
	}
	m.draining = true
	m.drainedAt = now
}

// Draining tells whether the back end is leaving, and since when.
func (m *Model) Draining() (bool, time.Duration) { return m.draining, m.drainedAt }

// Down tells whether the process is dead.
func (m *Model) Down() bool { return m.down }

// Running is the number of calls that hold a slot.
func (m *Model) Running() int { return len(m.running) }

// MaximumRunning is the highest number of calls that ran at once.
func (m *Model) MaximumRunning() int { return m.maximum }

// ShedCount is the number of calls shed.
func (m *Model) ShedCount() int { return m.shed }

// Runs returns the records of all starts in order of start. The slice is the
// model's own and must not be changed.
func (m *Model) Runs() []Run { return m.runs }

// Slots is how many calls run without slowing each other.
func (m *Model) Slots() int { return m.config.Slots }

// nextCrash counts an arrival towards the planned crash.
func (m *Model) nextCrash() CrashPoint {
	if m.crashPoint == CrashNone {
		return CrashNone
	}
	if m.crashAfter > 0 {
		m.crashAfter--
		return CrashNone
	}
	point := m.crashPoint
	m.crashPoint = CrashNone
	return point
}

// serviceTime draws the time of a call that has just started. Calls beyond
// the slots slow down in proportion, as on a machine with too few workers.
func (m *Model) serviceTime(now time.Duration) time.Duration {
	factor := m.drawFactor() * m.coldFactor(now)
	if len(m.running) > m.config.Slots {
		factor *= float64(len(m.running)) / float64(m.config.Slots)
	}
	return time.Duration(factor * float64(m.config.MeanService))
}

// drawFactor draws a service time in means.
func (m *Model) drawFactor() float64 {
	factor := 1.0
	switch m.config.Distribution {
	case DistributionExponential:
		factor = m.random.ExpFloat64()
	case DistributionLogNormal:
		factor = math.Exp(m.random.NormFloat64()*logNormalSigma - logNormalSigma*logNormalSigma/2)
	}
	return min(factor, MaximumFactor)
}

// coldFactor falls from ColdFactor to 1 over the cold time.
func (m *Model) coldFactor(now time.Duration) float64 {
	age := now - m.started
	if age >= m.config.ColdFor {
		return 1
	}
	left := float64(m.config.ColdFor-age) / float64(m.config.ColdFor)
	return 1 + (m.config.ColdFactor-1)*left
}
