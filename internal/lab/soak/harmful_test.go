package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/platform/standin"
)

// harmfulOracle is an oracle that has seen a harmful request end three upstreams by start.
func harmfulOracle() (*Oracle, func(at time.Duration)) {
	oracle := NewOracle()
	oracle.Allow(writePrefix, "app")
	oracle.Hosted("a", "g")
	count := 0
	arrive := func(at time.Duration) {
		count++
		request := charge()
		request.ID, request.Repeatable = fmt.Sprint("q", count), true
		request.Target = writePrefix + harmfulMark + "1"
		oracle.Sent(request)
		arrival := ran("a", at)
		arrival.ID, arrival.Target = request.ID, request.Target
		oracle.Arrived(arrival)
		if at <= 0 {
			oracle.HarmEnded(arrival, start.Add(at))
		}
	}
	for range endsAllowed {
		arrive(0)
	}
	return oracle, arrive
}

func TestTheOracleSeesAHarmfulRequestThatIsSentOn(t *testing.T) {
	check := is.New(t)
	oracle, arrive := harmfulOracle()
	for range 5 {
		arrive(inTouchBound) // news may take so long
	}
	for range sendsAllowed {
		arrive(inTouchBound + time.Millisecond)
	}
	check.Equal(len(oracle.Violations()), 0)
	oracle.Disturbed("g", start.Add(inTouchBound))
	arrive(2 * inTouchBound) // by a daemon that is not in touch
	check.Equal(len(oracle.Violations()), 0)
	arrive(2*inTouchBound + time.Millisecond)
	check.Equal(len(oracle.Violations()), 1)
	check.Equal(oracle.Violations()[0].Promise, promiseOfHarm)
	check.Equal(oracle.HarmEnds(), []int{endsAllowed})
}

func TestTheOracleSeesAHarmlessRequestThatIsHeld(t *testing.T) {
	check := is.New(t)
	request := charge()
	oracle := sentBy(request)
	harmful := request
	harmful.ID, harmful.Body = "h", harmfulMark+"2"
	oracle.Sent(harmful)
	oracle.Answered(harmful, Answer{Status: http.StatusServiceUnavailable, Code: heldCode})
	check.Equal(len(oracle.Violations()), 0)
	oracle.Answered(request, Answer{Status: http.StatusServiceUnavailable, Code: heldCode})
	check.Equal(oracle.Violations()[0].Promise, promiseOfHarmless)
}

func TestDrawnHarmfulRequestsAreToldApart(t *testing.T) {
	check := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	names := map[string]bool{}
	for number := range 60 {
		request := drawHarmful(random, number)
		names[request.name()] = true
		check.True(request.isHarmful())
		check.True(isHarmful(standin.Arrival{Target: request.Target, Body: []byte(request.Body)}))
		check.Equal(request.Repeatable, request.Method == http.MethodGet)
	}
	check.Equal(len(names), 60)
}
