package region

import (
	"testing"

	"github.com/matryer/is"
)

func TestWithoutAListAllRegionsAreAllowed(t *testing.T) {
	check := is.New(t)
	check.True(!NewSet(nil).Restricted())
	check.True(NewSet(nil).Has("north"))
}

func TestAnEmptyListAllowsNone(t *testing.T) {
	check := is.New(t)
	check.True(NewSet([]string{}).Restricted())
	check.True(!NewSet([]string{}).Has("north"))
	check.True(!NewSet([]string{}).Has(""))
}

func TestEqualIgnoresOrderAndRepetitionOfRegions(t *testing.T) {
	check := is.New(t)
	check.True(NewSet([]string{"b", "a", "b"}).Equal(NewSet([]string{"a", "b"})))
	check.True(!NewSet([]string{}).Equal(NewSet(nil)))
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
			check.True(NewSet(given.left).Intersect(NewSet(given.right)).Equal(NewSet(given.wanted)))
			check.True(NewSet(given.right).Intersect(NewSet(given.left)).Equal(NewSet(given.wanted)))
		})
	}
}
