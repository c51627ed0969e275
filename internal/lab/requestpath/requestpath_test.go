package requestpath

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/lab/load"
	"github.com/springstack/springstack/internal/lab/scenario"
)

// results are good calls of every kind with the latency 1 to 100 steps.
func results(kinds int, base time.Duration) []load.Result {
	var made []load.Result
	for kind := range kinds {
		for step := 1; step <= 100; step++ {
			made = append(made, load.Result{Kind: kind, Status: 200, Done: base + time.Duration(step)*10*time.Microsecond})
		}
	}
	return made
}

func TestAddedTimesAreDifferencesOfQuantiles(t *testing.T) {
	is := is.New(t)
	deployment := scenario.Windhoek()
	kinds := len(deployment.Calls)
	var figures Figures
	figures.compare(deployment, results(kinds, 5*time.Millisecond), results(kinds, 4*time.Millisecond))
	near := func(got, want float64) bool { return math.Abs(got-want) < 0.02 }
	is.True(near(figures.AddedP50, 1))
	is.True(near(figures.AddedP99, 1))
	is.True(near(figures.AddedP99Strict, 1.49))
	is.True(near(figures.DirectJitter, 0.49))
	is.Equal(len(figures.Kinds), kinds)
	is.True(near(figures.Kinds[0].AddedP99, 1))
	is.Equal(quantile(nil, strictQuantile), 0.0)
}
