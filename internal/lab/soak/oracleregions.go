package soak

import (
	"strings"

	"github.com/springstack/springstack/platform/standin"
)

// KeepTo notes that every version keeps requests for a prefix to a region.
func (o *Oracle) KeepTo(prefix, region string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.kept[prefix] = region
}

// Placed notes in which region a machine is.
func (o *Oracle) Placed(machine, region string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.regions[machine] = region
}

func (o *Oracle) checkRegion(request Request, arrival standin.Arrival) {
	for prefix, region := range o.kept {
		if !strings.HasPrefix(request.Target, prefix) {
			continue
		}
		o.exercised(promiseOfRegions, arrival.At)
		if at := o.regions[o.hosts[arrival.Instance]]; at != region {
			o.violate(promiseOfRegions, "%s, kept to %s, ran on %s in %q", request.ID, region, arrival.Instance, at)
		}
	}
}
