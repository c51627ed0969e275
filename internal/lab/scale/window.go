package scale

import (
	"time"

	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/lab/host"
)

// reading is what everything had spent at one moment.
type reading struct {
	at      time.Time
	process time.Duration
	nodes   []spending
}

// spending is what one daemon has spent since its first start.
type spending struct {
	in     float64
	out    float64
	frames float64
	step   time.Duration
}

// take reads all counters.
func (r *run) take() reading {
	return reading{
		at:      time.Now(),
		process: host.ProcessorTime(),
		nodes:   lo.Map(r.cluster.Nodes, func(_ *node, index int) spending { return r.spendingOf(index) }),
	}
}

func (r *run) spendingOf(index int) spending {
	one := r.cluster.Nodes[index]
	traffic := one.Traffic()
	return spending{
		in:     float64(traffic.BytesIn),
		out:    float64(traffic.BytesOut),
		frames: float64(traffic.FramesIn + traffic.FramesOut),
		step:   one.State().StepTime,
	}
}

// window is what was spent between two readings.
type window struct {
	seconds float64
	// nodes are in the order of the cluster's.
	nodes []usage
}

// usage is what one daemon spent in a window.
type usage struct {
	in        float64
	out       float64
	frames    float64
	processor float64
}

// between subtracts readings. The process's processor time is attributed to
// daemons: the part that their cores' steps took by step time, the rest
// (sockets, encoding, garbage collection, and the laboratory's own work) by
// frames.
func between(before, after reading) window {
	spent := window{seconds: after.at.Sub(before.at).Seconds()}
	processor := (after.process - before.process).Seconds()
	var steps, frames float64
	for i := range after.nodes {
		steps += (after.nodes[i].step - before.nodes[i].step).Seconds()
		frames += after.nodes[i].frames - before.nodes[i].frames
	}
	// Step time is wall-clock time: on a busy machine it may exceed what the
	// process had.
	stepShare := min(steps, processor)
	for i := range after.nodes {
		one := usage{
			in:     after.nodes[i].in - before.nodes[i].in,
			out:    after.nodes[i].out - before.nodes[i].out,
			frames: after.nodes[i].frames - before.nodes[i].frames,
		}
		one.processor = stepShare*share((after.nodes[i].step-before.nodes[i].step).Seconds(), steps) +
			(processor-stepShare)*share(one.frames, frames)
		spent.nodes = append(spent.nodes, one)
	}
	return spent
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// rates are what one daemon spends, by second or by event.
type rates struct {
	in        float64
	out       float64
	frames    float64
	processor float64
}

// perSecond returns a daemon's rates in a window.
func (w window) perSecond(index int) rates {
	used := w.nodes[index]
	return rates{
		in:        share(used.in, w.seconds),
		out:       share(used.out, w.seconds),
		frames:    share(used.frames, w.seconds),
		processor: share(used.processor, w.seconds),
	}
}

// perEvent returns what one event cost a daemon beyond the rest of the same
// time; never below 0.
func (w window) perEvent(index, events int, rest rates) rates {
	used := w.nodes[index]
	return rates{
		in:        max(0, share(used.in-rest.in*w.seconds, float64(events))),
		out:       max(0, share(used.out-rest.out*w.seconds, float64(events))),
		frames:    max(0, share(used.frames-rest.frames*w.seconds, float64(events))),
		processor: max(0, share(used.processor-rest.processor*w.seconds, float64(events))),
	}
}

// plus adds a number of events a second.
func (r rates) plus(event rates, perSecond float64) rates {
	return rates{
		in:        r.in + event.in*perSecond,
		out:       r.out + event.out*perSecond,
		frames:    r.frames + event.frames*perSecond,
		processor: r.processor + event.processor*perSecond,
	}
}

// bytes are those in and out.
func (r rates) bytes() float64 { return r.in + r.out }
