package verification

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFirstChecksAreBounded(t *testing.T) {
	check := is.New(t)
	var pacer Pacer
	for range MaxChecks {
		check.True(pacer.TryBegin())
	}
	check.True(!pacer.TryBegin())
	pacer.EndCheck(true)
	check.True(pacer.TryBegin())
}

func TestRecheckDelayGrowsWithTheMeshAndWithTheUnreachablePeers(t *testing.T) {
	check := is.New(t)
	var pacer Pacer
	mean := func(daemons int) float64 {
		sum := time.Duration(0)
		random := rand.New(rand.NewPCG(1, 1))
		for range 1000 {
			sum += pacer.RecheckDelay(daemons, random.Uint64())
		}
		return sum.Seconds() / 1000
	}
	isNear := func(got, wanted float64) bool { return got > 0.95*wanted && got < 1.05*wanted }
	check.True(isNear(mean(12), 0.3))
	check.True(isNear(mean(1000), 5))
	for range 200 {
		check.True(pacer.TryBegin())
		pacer.EndCheck(false)
	}
	check.True(isNear(mean(12), 10))
	for range 200 {
		pacer.Recovered()
	}
	check.True(isNear(mean(12), 0.3))
}

// model is a mesh in which each daemon calls some peers a second and checks those that do not
// answer in time. Each message costs processor time, of which a daemon has a limited rate, so that an
// overloaded daemon answers late and is checked by others.
type model struct {
	daemons []modelDaemon
	now     time.Duration
	random  *rand.Rand
	paced   bool
	// processorShare is the part of a processor that each daemon has.
	processorShare float64
	// messages counts those of the current second.
	messages int
}

type modelDaemon struct {
	pacer Pacer
	// backlog is the processor time of the messages that wait.
	backlog  time.Duration
	isSilent bool
	// checking maps the peers under check to the time of the next check; rechecking tells whether
	// the first one has failed.
	checking   map[int]time.Duration
	rechecking map[int]bool
}

const (
	modelStep = 20 * time.Millisecond
	// modelTimeout is the time within which a peer must answer.
	modelTimeout = 150 * time.Millisecond
	// modelCalls is the number of calls of a daemon per second in calm times.
	modelCalls = 4
	// unpacedDelay is the delay between checks without a pacer.
	unpacedDelay = 300 * time.Millisecond
)

// send sends a message and reports whether the answer arrives in time: both daemons must have worked
// off what waits there.
func (m *model) send(from, to int, cost time.Duration) bool {
	m.messages++
	sender, receiver := &m.daemons[from], &m.daemons[to]
	sender.backlog += cost
	if receiver.isSilent {
		return false
	}
	receiver.backlog += cost
	wait := time.Duration(float64(sender.backlog+receiver.backlog) / m.processorShare)
	return wait < modelTimeout
}

func (m *model) step(cost time.Duration) {
	for index := range m.daemons {
		daemon := &m.daemons[index]
		daemon.backlog = max(0, daemon.backlog-time.Duration(float64(modelStep)*m.processorShare))
		if m.random.Float64() < modelCalls*modelStep.Seconds() {
			if peer := m.random.IntN(len(m.daemons)); peer != index && !m.send(index, peer, cost) {
				m.beginCheck(index, peer)
			}
		}
		m.runChecks(index, cost)
	}
	m.now += modelStep
}

func (m *model) beginCheck(index, peer int) {
	daemon := &m.daemons[index]
	if _, running := daemon.checking[peer]; running || m.paced && !daemon.pacer.TryBegin() {
		return
	}
	daemon.checking[peer] = m.now
}

func (m *model) runChecks(index int, cost time.Duration) {
	daemon := &m.daemons[index]
	for peer, at := range daemon.checking {
		if at > m.now {
			continue
		}
		isReachable := m.send(index, peer, cost)
		switch {
		case daemon.rechecking[peer] && isReachable:
			daemon.pacer.Recovered()
		case !daemon.rechecking[peer]:
			daemon.pacer.EndCheck(isReachable)
		}
		if isReachable {
			delete(daemon.checking, peer)
			delete(daemon.rechecking, peer)
			continue
		}
		daemon.rechecking[peer] = true
		daemon.checking[peer] = m.now + unpacedDelay
		if m.paced {
			daemon.checking[peer] = m.now + daemon.pacer.RecheckDelay(len(m.daemons), m.random.Uint64())
		}
	}
}

// outageWork is the processor time that each daemon needs for the news of an outage, besides messages.
const outageWork = 20 * time.Millisecond

// playOutage returns the messages per second of a mesh before and some seconds after an outage of 4 s in
// which one daemon in 33 is silent, and the others are busy with the news of it for a moment.
func playOutage(daemons int, processorShare float64, paced bool) (before, after int) {
	made := &model{random: rand.New(rand.NewPCG(1, uint64(daemons))), paced: paced, processorShare: processorShare}
	for range daemons {
		made.daemons = append(made.daemons, modelDaemon{checking: map[int]time.Duration{}, rechecking: map[int]bool{}})
	}
	const cost = time.Millisecond
	second := func() int {
		made.messages = 0
		for range int(time.Second / modelStep) {
			made.step(cost)
		}
		return made.messages
	}
	second()
	before = second()
	for index := 0; index < daemons; index += 33 {
		made.daemons[index].isSilent = true
	}
	for index := range made.daemons {
		made.daemons[index].backlog += outageWork
	}
	for range 4 {
		second()
	}
	for index := range made.daemons {
		made.daemons[index].isSilent = false
	}
	for range 6 {
		second()
	}
	return before, second()
}

// Guards against checks that keep the mesh overloaded after an outage has ended.
func TestMeshIsCalmAgainSecondsAfterAnOutage(t *testing.T) {
	for _, daemons := range []int{100, 1000, 2000} {
		for _, processorShare := range []float64{1, 0.1, 0.05} {
			check := is.New(t)
			before, after := playOutage(daemons, processorShare, true)
			t.Logf("%d daemons, %.1f of a processor: %d messages a second before, %d after", daemons, processorShare, before, after)
			check.True(after <= before*3/2)
		}
	}
}

// The model must be able to show the collapse that the pacing prevents.
func TestModelCollapsesWithoutPacing(t *testing.T) {
	check := is.New(t)
	before, after := playOutage(1000, 0.05, false)
	t.Logf("%d messages a second before, %d after", before, after)
	check.True(after > 3*before)
	before, after = playOutage(1000, 0.05, true)
	t.Logf("paced: %d messages a second before, %d after", before, after)
	check.True(after <= before*3/2)
}
