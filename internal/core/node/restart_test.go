package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/springstack/springstack/internal/core/node"
)

// longestOutage runs for the period and returns the longest time for which any
// running daemon other than the excluded one did not serve.
func (c *cluster) longestOutage(period time.Duration, excluded *daemon) time.Duration {
	const step = 50 * time.Millisecond
	gaps := map[*daemon]time.Duration{}
	longest := time.Duration(0)
	for end := c.now() + period; c.now() < end; {
		c.run(step)
		for _, d := range c.daemons {
			if d == excluded || !d.running || c.serving(d) {
				gaps[d] = 0
				continue
			}
			gaps[d] += step
			if c.logLine != nil {
				c.logLine(fmt.Sprintf("%8.3f %s does not serve", c.now().Seconds(), d.id))
			}
			longest = max(longest, gaps[d])
		}
	}
	return longest
}

// TestRollingRestartKeepsOthersServing restarts every daemon in turn, roots and keepers
// included, once by a planned stop and once by a crash: no other daemon may stop
// serving meanwhile.
func TestRollingRestartKeepsOthersServing(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprint("planned ", planned), func(t *testing.T) {
			c, daemons, version := newServingCluster(t)
			for _, d := range daemons {
				if planned {
					c.step(d, node.Leave{})
					c.run(2 * time.Second)
					c.step(d, node.Stopped{})
				}
				c.stop(d)
				gap := c.longestOutage(time.Second, d)
				c.start("windhoek", d.config.Zone, string(d.id), "addr-d00", "addr-d01", "addr-d02")
				gap = max(gap, c.longestOutage(8*time.Second, d))
				if gap > 0 {
					t.Errorf("another daemon did not serve for %v while %s restarted", gap, d.id)
				}
				c.waitUntil("it serves again", 20*time.Second, func() bool { return c.allServe(version) })
			}
		})
	}
}
