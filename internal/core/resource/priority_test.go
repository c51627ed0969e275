package resource

import (
	"testing"

	"github.com/matryer/is"
)

func TestPriorityOfTheTenantPrecedesThatOfTheRoute(t *testing.T) {
	check := is.New(t)
	priorities := []Priority{PriorityLow, PriorityNormal, PriorityHigh}
	previous := PriorityHigh
	for _, tenant := range priorities {
		for _, route := range priorities {
			call := route.ForTenant(tenant)
			check.Equal(call, previous+1)
			check.True(call < CallPriorityCount)
			previous = call
		}
	}
	check.Equal(previous, CallPriorityCount-1)
}

func TestClassOfACallFollowsTheTenantAndThenTheRoute(t *testing.T) {
	check := is.New(t)
	check.Equal(PriorityHigh.Class(), PriorityHigh)
	check.Equal(PriorityLow.Class(), PriorityLow)
	check.Equal(PriorityLow.ForTenant(PriorityHigh).Class(), PriorityHigh)
	check.Equal(PriorityHigh.ForTenant(PriorityLow).Class(), PriorityLow)
	check.Equal(PriorityHigh.ForTenant(PriorityNormal).Class(), PriorityHigh)
	check.Equal(PriorityLow.ForTenant(PriorityNormal).Class(), PriorityLow)
}
