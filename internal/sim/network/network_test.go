package network_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/sim/network"
	"github.com/springstack/springstack/internal/sim/timeline"
)

var (
	here  = network.Place{Region: "windhoek", Zone: "eros-hall", Node: 1}
	there = network.Place{Region: "accra", Zone: "osu-hall", Node: 2}
)

func TestCutsAreOneWayUntilHealed(t *testing.T) {
	is := is.New(t)
	carrier := network.New(timeline.New(1))
	carrier.Cut(network.Place{Region: "windhoek", Node: -1}, network.Place{Region: "accra", Node: -1})
	is.True(!carrier.Send(here, there, func() {}))
	is.True(carrier.Send(there, here, func() {}))
	carrier.Heal()
	is.True(carrier.Send(here, there, func() {}))
}

func TestDuplicatesAndLosses(t *testing.T) {
	is := is.New(t)
	line := timeline.New(1)
	carrier := network.New(line)
	arrived := 0
	carrier.SetFaults(network.Faults{Duplicate: 1, ExtraDelay: time.Second})
	carrier.Send(here, there, func() { arrived++ })
	carrier.SendOnce(here, there, func() { arrived++ })
	carrier.SetFaults(network.Faults{Loss: 1})
	is.True(!carrier.Send(here, there, func() { arrived++ }))
	for line.Step(time.Minute) {
	}
	is.Equal(arrived, 3)
	is.Equal(carrier.Counts(), network.Counts{Sent: 3, Lost: 1, Duplicated: 1})
}
