// Package world simulates a whole mesh from one seed: daemons in two regions
// and eight zones, the platform, operators of both partners, callers and back
// ends. It steps the same cores that the daemons run and feeds what can be
// seen from outside to the oracle.
package world

import (
	"fmt"
	"time"

	"github.com/springstack/springstack/internal/core/node"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/sim/network"
	"github.com/springstack/springstack/internal/sim/oracle"
	"github.com/springstack/springstack/internal/sim/script"
	"github.com/springstack/springstack/internal/sim/timeline"
)

// Shape is the size of a simulated mesh.
type Shape struct {
	Regions        []Region
	DaemonsPerZone int
	// TickEvery is how often daemons are ticked; 0 means node.TickInterval.
	TickEvery time.Duration
	// Timing holds the nodes' periods.
	Timing node.Timing
}

// Region is a region and its zones.
type Region struct {
	Name  string
	Zones []string
}

// DefaultShape returns the two regions and eight zones of the users' pages,
// with three daemons a zone.
func DefaultShape() Shape {
	return Shape{
		Regions: []Region{
			{Name: "windhoek", Zones: []string{"klein-hall", "eros-hall", "olympia-hall", "ludwigs-hall"}},
			{Name: "accra", Zones: []string{"tema-hall", "kaneshie-hall", "osu-hall", "spintex-hall"}},
		},
		DaemonsPerZone: 3,
		TickEvery:      4 * node.TickInterval,
		Timing:         node.DefaultTiming(),
	}
}

// World is one run. It is not safe for use by several goroutines.
type World struct {
	shape     Shape
	timeline  *timeline.Timeline
	network   *network.Network
	oracle    *oracle.Oracle
	platform  *platformActor
	slots     []*slot
	byAddress map[string]*slot
	operators *operators
	outcome   script.Outcome
	// separated is the zone that was cut off last, with or without the platform.
	separated         network.Place
	separatedPlatform bool
}

// New returns a world at virtual time 0 with all daemons started.
func New(seed uint64, shape Shape) *World {
	line := timeline.New(seed)
	w := &World{
		shape:     shape,
		timeline:  line,
		network:   network.New(line),
		oracle:    oracle.New(),
		byAddress: map[string]*slot{},
		outcome:   script.NewOutcome(),
	}
	w.platform = newPlatformActor(w)
	w.operators = newOperators(w)
	w.addSlots()
	for _, s := range w.slots {
		w.platform.register(s)
	}
	for _, s := range w.slots {
		w.start(s)
	}
	return w
}

func (w *World) addSlots() {
	for _, region := range w.shape.Regions {
		for _, zone := range region.Zones {
			for range w.shape.DaemonsPerZone {
				w.addSlot(network.Place{Region: region.Name, Zone: zone, Node: len(w.slots)})
			}
		}
	}
}

func (w *World) addSlot(place network.Place) {
	s := &slot{
		place: place,
		id:    protocol.NodeID(fmt.Sprintf("%s-%02d", place.Zone, place.Node)),
		clock: newClock(w.timeline.Between(time.Hour, 2*time.Hour)),
	}
	w.slots = append(w.slots, s)
	w.moveTo(s, 0)
}

// moveTo gives a slot its address on machine number move.
func (w *World) moveTo(s *slot, move int) {
	delete(w.byAddress, s.address)
	s.address = fmt.Sprintf("10.%d.%d.1:7000", s.place.Node, move)
	s.move = move
	w.byAddress[s.address] = s
}

// seeds returns some control addresses for a daemon that starts: the first
// daemon of each zone, at the addresses that it has now.
func (w *World) seeds() []string {
	var addresses []string
	for index := 0; index < len(w.slots); index += w.shape.DaemonsPerZone {
		addresses = append(addresses, w.slots[index].address)
	}
	return addresses
}

// Run lets virtual time pass.
func (w *World) Run(duration time.Duration) {
	limit := w.timeline.Now() + duration
	for w.timeline.Step(limit) {
		if len(w.oracle.Violations()) > 0 {
			return
		}
	}
	w.timeline.AdvanceTo(limit)
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.timeline.Now() }

// Oracle returns the run's oracle.
func (w *World) Oracle() *oracle.Oracle { return w.oracle }
