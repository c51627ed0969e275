package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/platform/standin"
)

var start = time.Unix(1000, 0)

// sentBy is an oracle that knows one request.
func sentBy(request Request) *Oracle {
	oracle := NewOracle()
	oracle.Allow("/write/", "app")
	oracle.Sent(request)
	return oracle
}

func charge() Request {
	return Request{ID: "q", Machine: "m", Service: "app", Method: "POST", Target: "/write/1", Body: "b", SentAt: start}
}

func ran(instance string, at time.Duration) standin.Arrival {
	return standin.Arrival{
		ID: "q", Instance: instance, Service: "app", Method: "POST", Target: "/write/1", Body: []byte("b"),
		Header: http.Header{standin.CallerHeader: {"app"}}, At: start.Add(at), Ran: true,
	}
}

func whole(instance string) Answer {
	return Answer{Status: 200, Signature: standin.Signature(instance, "q"), Body: standin.BodyOf(instance, "q")}
}

// TestTheOracleSeesEachBrokenPromise breaks each promise once; the case that
// keeps it comes before.
func TestTheOracleSeesEachBrokenPromise(t *testing.T) {
	cases := []struct {
		promise string
		kept    func(*Oracle)
		broken  func(*Oracle)
	}{
		{"at most once", func(o *Oracle) { o.Arrived(ran("a", 0)) }, func(o *Oracle) { o.Arrived(ran("b", 0)) }},
		{"did not run is true", func(o *Oracle) { o.Answered(charge(), Answer{Status: 503}) }, func(o *Oracle) { o.Arrived(ran("a", 0)) }},
		{"did not run is true", func(o *Oracle) { o.Arrived(ran("a", 0)) }, func(o *Oracle) { o.Answered(charge(), Answer{Status: 429}) }},
		{"each caller gets the whole of its own answer",
			func(o *Oracle) { o.Arrived(ran("a", 0)); o.Answered(charge(), whole("a")) },
			func(o *Oracle) { o.Answered(charge(), whole("b")) }},
		{"nothing runs that nobody sent", func(*Oracle) {}, func(o *Oracle) {
			unknown := ran("a", 0)
			unknown.ID = "other"
			o.Arrived(unknown)
		}},
		{"requests are carried unchanged", func(*Oracle) {}, func(o *Oracle) {
			changed := ran("a", 0)
			changed.Target = "/write/1?"
			o.Arrived(changed)
		}},
		{"the caller's service is true", func(*Oracle) {}, func(o *Oracle) {
			forged := ran("a", 0)
			forged.Header = http.Header{standin.CallerHeader: {"forged"}}
			o.Arrived(forged)
		}},
		{"no route without its service", func(o *Oracle) { o.Allow("/read/", "other") }, func(o *Oracle) {
			wrong := ran("a", 0)
			wrong.Service = "other"
			o.Arrived(wrong)
		}},
		{"a request runs in its allowed regions",
			func(o *Oracle) {
				o.KeepTo("/write/", "home")
				o.Hosted("a", "m")
				o.Placed("m", "home")
				o.Arrived(ran("a", 0))
			},
			func(o *Oracle) {
				o.Sent(Request{ID: "q", Service: "app", Method: "POST", Target: "/write/1", Body: "b", Repeatable: true})
				o.Hosted("b", "far")
				o.Placed("far", "elsewhere")
				o.Arrived(ran("b", 0))
			}},
		{"a leaving back end gets no new work",
			func(o *Oracle) { o.Drained("a", 0, start); o.Arrived(ran("a", drainBound)) },
			func(o *Oracle) {
				o.Sent(Request{ID: "q", Service: "app", Method: "POST", Target: "/write/1", Body: "b", Repeatable: true})
				o.Arrived(ran("a", drainBound+time.Millisecond))
			}},
		{"no proxy goes back a version",
			func(o *Oracle) { o.Shown("m#1", 5, start, start); o.Shown("m#2", 4, start.Add(time.Second), start) },
			func(o *Oracle) { o.Shown("m#1", 4, start.Add(time.Second), start.Add(time.Second)) }},
		{"a daemon ends only when it is told to", func(*Oracle) {}, func(o *Oracle) { o.EndedUntold("m", "exit status 2") }},
		{"what is accepted is in force in seconds",
			func(o *Oracle) { o.InForce("m", 3, start, start.Add(applyBound), false) },
			func(o *Oracle) { o.InForce("m", 3, start, start.Add(applyBound+time.Millisecond), false) }},
	}
	for _, given := range cases {
		t.Run(given.promise, func(t *testing.T) {
			check := is.New(t)
			oracle := sentBy(charge())
			given.kept(oracle)
			check.Equal(len(oracle.Violations()), 0)
			given.broken(oracle)
			check.True(len(oracle.Violations()) > 0)
			check.Equal(oracle.Violations()[0].Promise, given.promise)
		})
	}
}

// passedOn is an oracle that knows one request which the gate g passed on to its
// upstream a, of which entry m got SIGTERM 100 ms after it was sent.
func passedOn() (*Oracle, Request) {
	request := charge()
	request.Timeout, request.Deadline = 1500*time.Millisecond, 2*time.Second
	oracle := sentBy(request)
	oracle.Hosted("a", "g")
	oracle.Arrived(ran("a", 10*time.Millisecond))
	oracle.Stopped("m", start.Add(100*time.Millisecond))
	return oracle, request
}

func ended(outcome standin.RunOutcome, at time.Duration) standin.Ending {
	return standin.Ending{ID: "q", Instance: "a", At: start.Add(at), Outcome: outcome}
}

func unsigned(status int, at time.Duration) Answer {
	return Answer{Status: status, At: start.Add(at)}
}

// TestAStopCutsNoRequest breaks the promise of stops in each way that it may be
// broken, and then gives each reason for which a request may end all the same.
func TestAStopCutsNoRequest(t *testing.T) {
	const (
		at      = 200 * time.Millisecond
		instant = time.Millisecond
	)
	broken := map[string]func(*Oracle, Request){
		"cut while at work":       func(o *Oracle, r Request) { o.Lost(r, start.Add(at)) },
		"answered and cut":        func(o *Oracle, r Request) { o.Ended(ended(standin.Answered, at/2)); o.Lost(r, start.Add(at)) },
		"own answer":              func(o *Oracle, r Request) { o.Answered(r, unsigned(502, at)) },
		"own answer after":        func(o *Oracle, r Request) { o.Ended(ended(standin.Cut, at/2)); o.Answered(r, unsigned(502, at)) },
		"told of the cut later":   func(o *Oracle, r Request) { o.Lost(r, start.Add(at)); o.Ended(ended(standin.Cut, 2*at)) },
		"just before the timeout": func(o *Oracle, r Request) { o.Answered(r, unsigned(504, r.Timeout-timeoutMargin-instant)) },
		"the gate stops": func(o *Oracle, r Request) {
			o.stops = map[string][]time.Time{"g": {start}}
			o.Lost(r, start.Add(at))
		},
		"harm before": func(o *Oracle, r Request) {
			o.Harmed("m", start.Add(-2*unharmedBefore))(start.Add(-unharmedBefore))
			o.Lost(r, start.Add(at))
		},
		"harm elsewhere": func(o *Oracle, r Request) { o.Harmed("other", start); o.Lost(r, start.Add(at)) },
	}
	for name, breach := range broken {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			oracle, request := passedOn()
			check.Equal(len(oracle.Violations()), 0)
			breach(oracle, request)
			check.Equal(len(oracle.Violations()), 1)
			check.Equal(oracle.Violations()[0].Promise, promiseOfStops)
			check.True(!oracle.Violations()[0].Timed)
			request.Repeatable = true
			breach(oracle, request)
			check.True(!oracle.Violations()[1].Timed)
		})
	}
	kept := map[string]func(*Oracle, Request){
		"whole answer":       func(o *Oracle, r Request) { o.Answered(r, whole("a")) },
		"signed failure":     func(o *Oracle, r Request) { o.Answered(r, Answer{Status: 500, Signature: "a.q", At: start.Add(at)}) },
		"upstream broke off": func(o *Oracle, r Request) { o.Ended(ended(standin.BrokenOff, at/2)); o.Answered(r, unsigned(502, at)) },
		"upstream failed":    func(o *Oracle, r Request) { o.Ended(ended(standin.Failed, at/2)); o.Answered(r, unsigned(500, at)) },
		"route's timeout":    func(o *Oracle, r Request) { o.Answered(r, unsigned(504, r.Timeout-timeoutMargin)) },
		"before the stop":    func(o *Oracle, r Request) { o.Lost(r, start.Add(50*time.Millisecond)) },
		"client's deadline": func(o *Oracle, r Request) {
			r.Deadline = at
			o.Lost(r, start.Add(at))
		},
		"hard bound": func(o *Oracle, r Request) {
			r.Timeout, r.Deadline = time.Minute, time.Minute
			o.Lost(r, start.Add(100*time.Millisecond+hardBound))
		},
		"nothing ran": func(o *Oracle, r Request) {
			r.ID = "other"
			o.Lost(r, start.Add(at))
		},
		"entry is harmed": func(o *Oracle, r Request) { o.Harmed("m", start.Add(at/2)); o.Lost(r, start.Add(at)) },
		"gate was harmed": func(o *Oracle, r Request) {
			o.Harmed("g", start.Add(-time.Minute))(start.Add(-unharmedBefore + time.Millisecond))
			o.Lost(r, start.Add(at))
		},
	}
	for name, reason := range kept {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			oracle, request := passedOn()
			reason(oracle, request)
			check.Equal(oracle.Violations(), nil)
		})
	}
}

func TestACutWithoutAStopIsToldApart(t *testing.T) {
	check := is.New(t)
	oracle, request := passedOn()
	oracle.Lost(request, start.Add(200*time.Millisecond))
	check.Equal(len(oracle.Violations()), 1)
	check.Equal(len(oracle.CalmCuts()), 0)
	oracle.stops = nil
	check.Equal(len(oracle.Violations()), 0)
	check.Equal(len(oracle.CalmCuts()), 1)
	oracle.Harmed("g", start)
	check.Equal(len(oracle.CalmCuts()), 0)
}

func TestRequestsThatMetAStopAreCounted(t *testing.T) {
	check := is.New(t)
	oracle, _ := passedOn()
	check.Equal(oracle.MetStops(), 0) // it has not ended
	oracle.Ended(ended(standin.Answered, 200*time.Millisecond))
	check.Equal(oracle.MetStops(), 1)
	oracle.Harmed("g", start)
	check.Equal(oracle.MetStops(), 0)
}

func TestADisturbedMachineIsHeldToNoTime(t *testing.T) {
	check := is.New(t)
	oracle := sentBy(charge())
	oracle.Disturbed("m", start.Add(time.Minute))
	check.True(!oracle.Calm("m", start.Add(time.Minute)))
	oracle.InForce("m", 3, start, start.Add(time.Minute), false)
	oracle.Drained("a", 0, start)
	oracle.Arrived(ran("a", time.Minute))
	check.Equal(len(oracle.Violations()), 0)
}

// Guards against blaming a daemon for a version that it can't have learnt, because the store has been
// away for all daemons since before it was written; once it is back for long enough the version is owed.
func TestAVersionIsNotOwedWhileTheStoreIsAway(t *testing.T) {
	check := is.New(t)
	oracle := NewOracle()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	back := oracle.OutOfTouch("m", at(0))
	oracle.InForce("m", 9, at(0.1), at(4), false)
	check.Equal(len(oracle.Violations()), 0)
	back(at(5))
	oracle.InForce("m", 9, at(0.1), at(5+contactTime.Seconds()+0.1), false)
	check.Equal(len(oracle.Violations()), 1)
}
