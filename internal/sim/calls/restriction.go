package calls

import (
	"github.com/springstack/springstack/internal/core/region"
)

// restriction is what two versions of a route allow, between which a call comes, and what a
// call may use then.
type restriction struct{ older, newer, wanted []string }

// restrictions are those of calls in turn, where regions are apart.
var restrictions = [...]restriction{
	{},
	{older: regions[:1], newer: regions[:1], wanted: regions[:1]},
	{newer: regions[1:], wanted: regions[1:]},
	{older: regions[:], newer: regions[1:], wanted: regions[1:]},
	{older: regions[:1], wanted: regions[:1]},
	{newer: []string{}, wanted: []string{}},
}

// keepToRegions restricts a call, by its number.
func (w *world) keepToRegions(c *call) {
	if !w.apart {
		return
	}
	drawn := restrictions[w.nextCall%len(restrictions)]
	c.allowed = region.NewSet(drawn.older).Intersect(region.NewSet(drawn.newer))
	if drawn.wanted != nil {
		w.oracle.CallKeptTo(c.id, drawn.wanted)
	}
}
