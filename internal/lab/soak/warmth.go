package soak

import (
	"fmt"
	"time"

	"github.com/springstack/springstack/platform/standin"
)

// What the configuration says that a cold upstream bears, and the rule about it.
const (
	// coldRate is how many requests a second a cold upstream bears, coldTime how long an
	// upstream is cold.
	coldRate = 4
	coldTime = 2 * time.Second
	// coldOverage and coldSlack are those of the daemons' settings.
	coldOverage = 1.5
	coldSlack   = 8
	// coldMost is what a cold upstream may get in a second.
	coldMost = int(coldRate*coldOverage) + coldSlack
	// coldFalls is what it bears to get: well above what it may.
	coldFalls = coldMost * 3 / 2
	// promiseOfWarmUp is the promise of cold upstreams.
	promiseOfWarmUp = "a cold back end gets what it bears"
)

// startOf names one start of an upstream.
func startOf(instance string, born int64) string { return fmt.Sprintf("%s@%d", instance, born) }

// checkCold judges an arrival, run or not; the lock is held.
func (o *Oracle) checkCold(arrival standin.Arrival) {
	if !arrival.Cold {
		return
	}
	o.exercised(promiseOfWarmUp, arrival.At)
	start := startOf(arrival.Instance, arrival.Born)
	lately := append(standin.Lately(o.atCold[start], standin.ColdWindow, arrival.At), arrival.At)
	o.atCold[start] = lately
	if len(lately) > coldMost {
		o.violateTimed(promiseOfWarmUp, "%s got %d requests in a second, the last of them %s", start, len(lately), arrival.ID)
	}
}

// Fell notes that a cold upstream fell over.
func (o *Oracle) Fell() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.falls++
}

// Falls is how many upstreams fell over.
func (o *Oracle) Falls() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.falls
}
