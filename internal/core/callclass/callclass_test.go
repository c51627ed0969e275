package callclass

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
)

func route(target, timeout time.Duration, repeatable bool) *resource.Route {
	return &resource.Route{
		Partner: "kameeldoring", Target: target, Timeout: timeout, Repeatable: &repeatable,
		Priority: resource.PriorityNormal,
	}
}

// Guards against a hash that maps routes with similar latency targets and timeouts to the same class.
func TestRoutesWithSimilarSettingsHaveDifferentClasses(t *testing.T) {
	check := is.New(t)
	routes := []*resource.Route{
		route(800*time.Millisecond, 2*time.Second, true),
		route(time.Second, 2500*time.Millisecond, false),
		route(1200*time.Millisecond, 3*time.Second, false),
		route(2*time.Second, 5*time.Second, true),
		route(200*time.Millisecond, 600*time.Millisecond, true),
	}
	classes := map[Class]bool{}
	for _, candidate := range routes {
		check.True(OfRoute(candidate) < Count)
		classes[OfRoute(candidate)] = true
	}
	check.Equal(len(classes), len(routes))
}

// Routes that differ only in name and match belong to the same class.
func TestClassDoesNotDependOnNameAndMatch(t *testing.T) {
	check := is.New(t)
	first := route(time.Second, 2*time.Second, true)
	second := route(time.Second, 2*time.Second, true)
	second.Name = "another"
	second.Match.Host = "elsewhere.example"
	check.Equal(OfRoute(first), OfRoute(second))
}

func TestNumbersOutOfRangeAreInvalid(t *testing.T) {
	check := is.New(t)
	check.True(Valid(0))
	check.True(Valid(Count - 1))
	check.True(!Valid(-1))
	check.True(!Valid(Count))
}
