package region

import (
	"testing"

	"github.com/matryer/is"
)

func TestWithoutAListAllRegionsAreAllowed(t *testing.T) {
	check := is.New(t)
	check.True(!NewAllowed(nil).Restricted())
	check.True(NewAllowed(nil).Has("north"))
}

func TestAnEmptyListAllowsNone(t *testing.T) {
	check := is.New(t)
	check.True(NewAllowed([]string{}).Restricted())
	check.True(!NewAllowed([]string{}).Has("north"))
	check.True(!NewAllowed([]string{}).Has(""))
}

func TestEqualIgnoresOrderAndRepetitionOfRegions(t *testing.T) {
	check := is.New(t)
	check.True(NewAllowed([]string{"b", "a", "b"}).Equal(NewAllowed([]string{"a", "b"})))
	check.True(!NewAllowed([]string{}).Equal(NewAllowed(nil)))
}

// The intersection does not depend on the order of the operands.
func TestIntersectAllowsWhatBothAllow(t *testing.T) {
	for _, given := range []struct {
		name                string
		left, right, wanted []string
	}{
		{"neither", nil, nil, nil},
		{"one sets it", nil, []string{"a"}, []string{"a"}},
		{"one moves it", []string{"a", "b"}, []string{"b", "c"}, []string{"b"}},
		{"nothing in common", []string{"a"}, []string{"b"}, []string{}},
		{"none", []string{}, []string{"a"}, []string{}},
	} {
		t.Run(given.name, func(t *testing.T) {
			check := is.New(t)
			check.True(NewAllowed(given.left).Intersect(NewAllowed(given.right)).Equal(NewAllowed(given.wanted)))
			check.True(NewAllowed(given.right).Intersect(NewAllowed(given.left)).Equal(NewAllowed(given.wanted)))
		})
	}
}
