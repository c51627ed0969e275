package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/platform/standin"
)

// arrivals is an oracle that knows an entry m in one zone, and a back end a of the machine g
// in zone z, and what brings further requests to a.
func arrivals() (*Oracle, func(sent, at time.Duration, change func(*standin.Arrival))) {
	oracle := NewOracle()
	oracle.Allow("/write/", "app")
	oracle.Hosted("a", "g")
	oracle.PlacedIn("g", "z")
	count := 0
	return oracle, func(sent, at time.Duration, change func(*standin.Arrival)) {
		count++
		request := charge()
		request.ID, request.Repeatable, request.SentAt = fmt.Sprint("q", count), true, start.Add(sent)
		oracle.Sent(request)
		arrival := ran("a", at)
		arrival.ID = request.ID
		change(&arrival)
		oracle.Arrived(arrival)
	}
}

func unchanged(*standin.Arrival) {}

func refusedElsewhere(arrival *standin.Arrival) { arrival.Ran, arrival.Misdirected = false, true }

func notRun(arrival *standin.Arrival) { arrival.Ran = false }

// TestAnEmptiedZoneGetsNothing breaks the promise of evacuations in each way, and gives each
// reason for which a request may arrive all the same.
func TestAnEmptiedZoneGetsNothing(t *testing.T) {
	const late = evacuationBound + time.Millisecond
	type arrive = func(sent, at time.Duration, change func(*standin.Arrival))
	broken := map[string]func(*Oracle, arrive){
		"after the bound":         func(_ *Oracle, a arrive) { a(late, late, unchanged) },
		"long under way":          func(_ *Oracle, a arrive) { a(0, late, unchanged) },
		"refused by the back end": func(_ *Oracle, a arrive) { a(late, late, notRun) },
		"made again": func(o *Oracle, a arrive) {
			o.TakenBack("z")
			o.Evacuated("z", start.Add(time.Second))
			a(0, time.Second+late, unchanged)
		},
		"its gate not in touch": func(o *Oracle, a arrive) {
			o.OutOfTouch("g", start)
			a(late, late, unchanged)
		},
		"back in touch": func(o *Oracle, a arrive) {
			o.OutOfTouch("m", start)(start.Add(time.Second))
			a(0, time.Second+contactTime, unchanged)
		},
	}
	for name, breach := range broken {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			oracle, arrive := arrivals()
			oracle.Evacuated("z", start)
			arrive(0, evacuationBound, unchanged)
			check.Equal(len(oracle.Violations()), 0)
			check.Equal(oracle.latest, evacuationBound)
			breach(oracle, arrive)
			check.Equal(len(oracle.Violations()), 1)
			check.Equal(oracle.Violations()[0].Promise, promiseOfZones)
		})
	}
	kept := map[string]func(*Oracle, arrive){
		"told that it is misdirected": func(_ *Oracle, a arrive) { a(late, late, refusedElsewhere) },
		"taken back":                  func(o *Oracle, a arrive) { o.TakenBack("z"); a(late, late, unchanged) },
		"made again within the bound": func(o *Oracle, a arrive) {
			o.TakenBack("z")
			o.Evacuated("z", start.Add(time.Second))
			a(late, late, unchanged)
		},
		"another zone":       func(o *Oracle, a arrive) { o.PlacedIn("g", "other"); a(late, late, unchanged) },
		"entry not in touch": func(o *Oracle, a arrive) { o.OutOfTouch("m", start); a(late, late, unchanged) },
		"entry just back": func(o *Oracle, a arrive) {
			o.OutOfTouch("m", start)(start.Add(time.Second))
			a(late, late, unchanged)
		},
		"sent before, by a gate that stood still": func(o *Oracle, a arrive) { o.OutOfTouch("g", start); a(0, late, unchanged) },
	}
	for name, reason := range kept {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			oracle, arrive := arrivals()
			oracle.Evacuated("z", start)
			reason(oracle, arrive)
			check.Equal(oracle.Violations(), nil)
		})
	}
}

func cold(arrival *standin.Arrival) { arrival.Cold = true }

// TestAColdBackEndGetsWhatItBears counts what any second brings, of whatever becomes.
func TestAColdBackEndGetsWhatItBears(t *testing.T) {
	check := is.New(t)
	oracle, arrive := arrivals()
	oracle.OutOfTouch("m", start) // binds all the same
	for range 3 * coldMost {
		arrive(0, 0, unchanged) // warm
		arrive(0, 0, refusedElsewhere)
	}
	for range coldMost {
		arrive(0, 10*time.Millisecond, cold)
	}
	for range coldMost {
		arrive(0, 1010*time.Millisecond, cold)
	}
	for range coldMost {
		arrive(0, 1020*time.Millisecond, func(arrival *standin.Arrival) { cold(arrival); arrival.Born = 2 }) // its next start
	}
	check.Equal(len(oracle.Violations()), 0)
	arrive(0, 2009*time.Millisecond, func(arrival *standin.Arrival) { cold(arrival); notRun(arrival) })
	check.Equal(len(oracle.Violations()), 1)
	check.Equal(oracle.Violations()[0].Promise, promiseOfWarmUp)
}

// TestALeavingStartGetsNothingAndTheNextOneMay holds each start of one name to its own leave.
func TestALeavingStartGetsNothingAndTheNextOneMay(t *testing.T) {
	check := is.New(t)
	oracle, arrive := arrivals()
	oracle.Drained("a", 1, start)
	arrive(0, 2*drainBound, func(arrival *standin.Arrival) { arrival.Born = 2 })
	check.Equal(len(oracle.Violations()), 0)
	arrive(0, 2*drainBound, func(arrival *standin.Arrival) { arrival.Born = 1 })
	check.Equal(oracle.Violations()[0].Promise, promiseOfDrains)
}

func TestABackEndThatWorksGetsWork(t *testing.T) {
	check := is.New(t)
	oracle, arrive := arrivals()
	arrive(0, time.Second, func(arrival *standin.Arrival) { arrival.Born = 7 })
	check.True(oracle.WorkedSince(startOf("a", 7), start))
	check.True(!oracle.WorkedSince(startOf("a", 7), start.Add(time.Second)))
	check.True(!oracle.WorkedSince(startOf("a", 8), start))
	noWork := func() { oracle.NoWork("g", "a@8", start, start.Add(workBound)) }
	check.True(oracle.MayWork("g", start))
	back := oracle.OutOfTouch("g", start.Add(time.Second))
	check.True(!oracle.MayWork("g", start.Add(2*time.Second)))
	noWork()
	back(start.Add(2 * time.Second))
	check.True(oracle.MayWork("g", start.Add(3*time.Second)))
	noWork()
	oracle.away = nil
	oracle.Evacuated("z", start.Add(-time.Hour))
	check.True(!oracle.MayWork("g", start))
	noWork()
	oracle.TakenBack("z")
	noWork() // it was empty a moment ago
	check.Equal(len(oracle.Violations()), 0)
	oracle.takenBack["z"] = start.Add(-time.Second)
	noWork()
	check.Equal(oracle.Violations()[0].Promise, promiseOfWork)
}

func TestALossOfPowerIsGotOver(t *testing.T) {
	check := is.New(t)
	oracle := NewOracle()
	oracle.PowerIsBack(0, start)
	check.Equal(len(oracle.Violations()), 0)
	oracle.PowerIsBack(1, start)
	oracle.Dark("m does not serve")
	check.Equal(len(oracle.Violations()), 2)
	check.Equal(oracle.Violations()[0].Promise, promiseOfPower)
	check.Equal(oracle.Violations()[1].Promise, promiseOfPower)
}

func TestAStrangeReportThatIsTakenIsSeen(t *testing.T) {
	check := is.New(t)
	oracle := NewOracle()
	oracle.Refused(true, "of m")
	check.Equal(len(oracle.Violations()), 0)
	oracle.Refused(false, "of m")
	check.Equal(oracle.Violations()[0].Promise, promiseOfSense)
	check.True(!oracle.Violations()[0].Timed)
}

// TestPairsAreCountedWhileAFaultIsMet counts a promise beside faults in force, and beside
// those that were undone a moment ago.
func TestPairsAreCountedWhileAFaultIsMet(t *testing.T) {
	check := is.New(t)
	oracle := NewOracle()
	first, second := oracle.Begun("kill"), oracle.Begun("kill")
	oracle.Begun("pause")(start.Add(-lateTime - time.Millisecond))
	first(start)
	judge := func(at time.Duration) { oracle.exercised(promiseOfOnce, start.Add(at)) }
	judge(time.Hour) // the second kill is in force
	second(start)
	judge(lateTime)
	judge(lateTime + time.Millisecond)
	check.Equal(oracle.Pairs(), map[string]map[string]int{"kill": {promiseOfOnce: 2}})
}

// TestAZoneIsClaimedOnce keeps two orders for one zone apart.
func TestAZoneIsClaimedOnce(t *testing.T) {
	check := is.New(t)
	played := newTestSoak(0)
	check.True(played.claimZone("z"))
	check.True(!played.claimZone("z"))
	check.True(played.claimZone("y"))
	played.releaseZone("z")
	check.True(played.claimZone("z"))
}
