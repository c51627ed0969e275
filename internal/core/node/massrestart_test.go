package node_test

import (
	"fmt"
	"testing"
	"time"
)

// TestHundredsOfDaemonsRestartAtOnce guards against a fault: after all daemons of a
// region had restarted at once, some that ranked as relays by their incomplete rosters
// repeatedly sent fetches as relays to a root that accepted no more; the last daemon
// served after 103 s.
func TestHundredsOfDaemonsRestartAtOnce(t *testing.T) {
	const (
		size  = 500
		zones = 4
	)
	c := newCluster(t)
	start := func() {
		for i := range size {
			seeds := []string{fmt.Sprintf("addr-d%02d", (i*7)%size), fmt.Sprintf("addr-d%02d", (i*13+5)%size), "addr-d00", "addr-d01"}
			c.start("windhoek", fmt.Sprint("zone-", i%zones), fmt.Sprintf("d%02d", i), seeds...)
		}
	}
	start()
	c.waitUntil("all serve", 30*time.Second, func() bool { return c.allServe(1) })
	c.run(20 * time.Second)
	for _, d := range c.daemons {
		c.stop(d)
	}
	c.run(time.Second)
	start()
	elapsed := c.waitUntil("all serve again", 30*time.Second, func() bool { return c.allServe(1) })
	t.Logf("%d daemons serve %v after the restart", size, elapsed)
}
