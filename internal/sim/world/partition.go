package world

import (
	"time"

	"github.com/springstack/springstack/internal/sim/network"
	"github.com/springstack/springstack/internal/sim/script"
)

// Sizes of partitions.
const (
	partitionLimit = 30 * time.Second
	partitionPulse = 1500 * time.Millisecond
)

// partition cuts one zone and one daemon of its region off from all others,
// with or without the platform, while operators go on.
func partition(w *World, a script.Action) {
	w.separate(w.zonePlace(a.A), nil, a.A&1 == 0)
	w.operate(script.Scaled(a.B, partitionLimit))
}

// crossOver moves a daemon over to the separated zone, or back, and restarts
// it there or not: it may meet a root and keepers that have not heard of what
// it held.
func crossOver(w *World, a script.Action) {
	if w.separated.Zone == "" {
		w.separate(w.zonePlace(a.B), nil, a.B&1 == 0)
		w.operate(script.Scaled(a.B, partitionLimit))
	}
	guest := w.pick(a.A)
	w.separate(w.separated, guest, w.separatedPlatform)
	if a.B&2 == 0 {
		w.restart(guest)
	}
	w.operate(script.Scaled(a.A, partitionLimit/2))
}

// separate cuts a zone, with one more daemon, off from everything else.
func (w *World) separate(zone network.Place, guest *slot, withPlatform bool) {
	w.network.Heal()
	w.separated = zone
	w.separatedPlatform = withPlatform
	inside := func(s *slot) bool { return s.place.Zone == zone.Zone || s == guest }
	for _, one := range w.slots {
		for _, other := range w.slots {
			if inside(one) != inside(other) {
				w.network.Cut(one.place, other.place)
			}
		}
		if inside(one) && !withPlatform {
			w.cutBothWays(one.place, platformPlace)
		}
	}
}

// operate lets time pass while operators submit and ask for the status.
func (w *World) operate(duration time.Duration) {
	limit := w.Now() + duration
	for w.Now() < limit && !w.failed() {
		random := w.timeline.Random()
		w.operators.status()
		if random.IntN(3) == 0 {
			w.operators.submit(partners[random.IntN(2)], fileNames[random.IntN(len(fileNames))], false)
		}
		w.Run(partitionPulse)
	}
}
