package soak

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTestSoak is a soak of some machines without processes.
func newTestSoak(machines int) *soak {
	made := &soak{options: Options{Seed: 1}, random: rand.New(rand.NewPCG(1, 1)), oracle: NewOracle()}
	for range machines {
		made.machines = append(made.machines, &machine{})
	}
	return made
}

func TestRunsLastAsLongAsTheirIdsSay(t *testing.T) {
	check := is.New(t)
	played := newTestSoak(0)
	check.Equal(played.workOn("q"), played.workOn("q"))
	var long, short int
	for _, id := range ids(1000) {
		work := played.workOn(id)
		check.True(work >= shortestWork && work <= longestWork)
		if work > longestWork/3 {
			long++
		}
		if work < 3*shortestWork {
			short++
		}
	}
	check.True(long > 100 && short > 100)
}

func TestLatenciesSpread(t *testing.T) {
	check := is.New(t)
	played := newTestSoak(0)
	played.options.Latency = time.Millisecond
	least, most := time.Hour, time.Duration(0)
	for range 200 {
		drawn := played.drawLatency()
		least, most = min(least, drawn), max(most, drawn)
	}
	check.True(least >= time.Millisecond && least < 2*time.Millisecond)
	check.True(most <= latencySpread*time.Millisecond && most > latencySpread*time.Millisecond/2)
}

func ids(count int) []string {
	made := make([]string, count)
	for index := range made {
		made[index] = string(rune('a' + index))
	}
	return made
}

func TestRequestsOfAClientHaveIdsOfTheirOwn(t *testing.T) {
	check := is.New(t)
	on := &machine{name: "m", service: "app"}
	seen := map[string]bool{}
	most := 0
	for count := range 40 {
		requests := requestsOf(on, 1, count)
		most = max(most, len(requests))
		for _, request := range requests {
			check.True(!seen[request.ID])
			seen[request.ID] = true
			check.True(request.Repeatable || len(requests) == 1) // only repeatable ones go behind one another
		}
	}
	check.Equal(most, mostBehind)
}

// TestFaultsOverlapWithinBounds admits faults beside each other as far as they may.
func TestFaultsOverlapWithinBounds(t *testing.T) {
	check := is.New(t)
	played := newTestSoak(6)
	unplanned := func(on int) drawn { return drawn{fault: fault{name: "kill"}, on: played.machines[on]} }
	stop := func(on int) drawn {
		return drawn{fault: fault{name: "stop", planned: true, stops: true}, on: played.machines[on]}
	}
	reload := drawn{fault: fault{name: "reload", planned: true, beside: true}, on: played.machines[0]}
	check.True(played.admit(unplanned(0)))
	check.True(!played.admit(stop(0))) // its machine is taken
	check.True(played.admit(reload))   // comes beside
	check.True(played.admit(unplanned(1)))
	check.True(!played.admit(unplanned(2))) // two at a time
	check.True(played.admit(stop(2)))
	check.True(played.admit(stop(3)))
	check.True(!played.admit(stop(4))) // a third of the machines
	played.dismiss(stop(2))
	check.True(played.admit(stop(2)))
	played.dismiss(unplanned(0))
	check.True(played.admit(unplanned(0)))
}

// TestOneRollingRestartAtATime leaves it to a rolling restart to take its machines.
func TestOneRollingRestartAtATime(t *testing.T) {
	check := is.New(t)
	played := newTestSoak(6)
	rolling := drawn{fault: fault{name: "rolling_restart", planned: true, beside: true, stops: true, rolls: true}, on: played.machines[0]}
	check.True(played.admit(rolling))
	check.True(!played.admit(rolling))
	check.True(played.machines[0].take()) // it takes its machines itself
	check.True(!played.machines[0].take())
	played.machines[0].release()
	played.dismiss(rolling)
	check.True(played.admit(rolling))
}

func TestPlannedWorkAloneDrawsNoHarm(t *testing.T) {
	check := is.New(t)
	played := newTestSoak(3)
	played.options.Planned = true
	for range 200 {
		check.True(played.draw().planned)
	}
}

// TestTheSameSeedDrawsTheSameFaults holds the plan of faults to its seed.
func TestTheSameSeedDrawsTheSameFaults(t *testing.T) {
	check := is.New(t)
	one, other := newTestSoak(5), newTestSoak(5)
	for range 200 {
		drawnByOne, drawnByOther := one.draw(), other.draw()
		check.Equal(drawnByOne.name, drawnByOther.name)
		check.Equal(drawnByOne.lasts, drawnByOther.lasts)
		check.True(drawnByOne.lasts >= faultTime/4 && drawnByOne.lasts < 2*faultTime+time.Millisecond)
	}
}

// TestAnEndThatNobodyAskedForIsNoted ends processes that stand in for daemons: one
// by itself, one as it is told.
func TestAnEndThatNobodyAskedForIsNoted(t *testing.T) {
	check := is.New(t)
	noted := 0
	on := &machine{log: filepath.Join(t.TempDir(), "log"), endedUntold: func(*os.ProcessState) { noted++ }}
	on.program = "false"
	check.NoErr(on.start())
	check.True(on.awaitEnd())
	check.Equal(noted, 1)
	on.program = sleeper(t)
	check.NoErr(on.start())
	on.end(syscall.SIGKILL)
	check.Equal(noted, 1)
}

// sleeper is a program that runs until it is killed.
func sleeper(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "sleeper")
	if err := os.WriteFile(path, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestAnUpstreamIsReplacedWhileProcessesStart takes the address of an upstream again
// while processes start, which hold copies of all sockets until they run.
func TestAnUpstreamIsReplacedWhileProcessesStart(t *testing.T) {
	check := is.New(t)
	played := newTestSoak(0)
	addresses, err := addresses(loopbackHost(0), 1)
	check.NoErr(err)
	on := &machine{name: "m", app: addresses[0], reports: "127.0.0.1:1"}
	check.NoErr(played.startUpstream(on))
	replaced := make(chan struct{})
	var starting sync.WaitGroup
	for range 4 {
		starting.Add(1)
		go func() {
			defer starting.Done()
			starter := &machine{program: "true", log: filepath.Join(t.TempDir(), "log"), endedUntold: func(*os.ProcessState) {}}
			for {
				select {
				case <-replaced:
					return
				default:
				}
				if err := starter.start(); err != nil {
					t.Error(err)
				}
				starter.awaitEnd()
			}
		}()
	}
	for range 300 {
		played.replaceUpstream(on)
	}
	close(replaced)
	starting.Wait()
	played.crash(on)
	check.Equal(len(played.oracle.Violations()), 0)
}
