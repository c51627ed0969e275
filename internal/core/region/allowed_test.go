package region

import (
	"testing"

	"github.com/matryer/is"
)

func TestWithoutAListAllRegionsAreAllowed(t *testing.T) {
	check := is.New(t)
	check.True(!Of(nil).Restricted())
	check.True(Of(nil).Has("north"))
}

func TestAnEmptyListAllowsNone(t *testing.T) {
	check := is.New(t)
	check.True(Of([]string{}).Restricted())
	check.True(!Of([]string{}).Has("north"))
	check.True(!Of([]string{}).Has(""))
}

func TestOrderAndRepetitionMakeNoDifference(t *testing.T) {
	check := is.New(t)
	check.True(Of([]string{"b", "a", "b"}).Equal(Of([]string{"a", "b"})))
	check.True(!Of([]string{}).Equal(Of(nil)))
}

// The stricter of two versions binds, in whatever order they meet.
func TestBothAllowsWhatEachAllows(t *testing.T) {
	for _, given := range []struct {
		name             string
		one, two, wanted []string
	}{
		{"neither", nil, nil, nil},
		{"one sets it", nil, []string{"a"}, []string{"a"}},
		{"one moves it", []string{"a", "b"}, []string{"b", "c"}, []string{"b"}},
		{"nothing in common", []string{"a"}, []string{"b"}, []string{}},
		{"none", []string{}, []string{"a"}, []string{}},
	} {
		t.Run(given.name, func(t *testing.T) {
			check := is.New(t)
			check.True(Of(given.one).Both(Of(given.two)).Equal(Of(given.wanted)))
			check.True(Of(given.two).Both(Of(given.one)).Equal(Of(given.wanted)))
		})
	}
}
