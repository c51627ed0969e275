package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/result"
)

// shopFile is a file with one route, secret, service and back end.
func shopFile(slots int) string {
	return fmt.Sprintf(`partner: kameeldoring
name: shop
services:
  - name: orders
backends:
  - {name: orders-1, service: orders, address: "127.0.0.1:9000", region: windhoek, zone: klein-hall, slots: %d}
routes:
  - name: orders
    match: {path_prefix: /orders}
    split: [{service: orders, weight: 1}]
`, slots)
}

// startTwelve starts twelve daemons of one region in four zones.
func startTwelve(c *cluster) []*daemon {
	zones := []string{"klein-hall", "eros-hall", "olympia-hall", "ludwigs-hall"}
	var daemons []*daemon
	for i := range 12 {
		daemons = append(daemons, c.start("windhoek", zones[i%4], fmt.Sprintf("d%02d", i), "addr-d00", "addr-d01", "addr-d02"))
	}
	return daemons
}

// submitAccepted submits the file through a daemon and returns the accepted version.
func (c *cluster) submitAccepted(d *daemon, slots int) protocol.Version {
	c.is.Helper()
	reply := c.submit(d, shopFile(slots))
	c.waitUntil("answer", 20*time.Second, func() bool { return reply() != nil })
	c.is.Equal(reply().Code, result.OK)
	return reply().Version
}

// waitInForce waits until a daemon's status reports the version as in force, checks that
// it is so at that moment, and returns the time waited.
func (c *cluster) waitInForce(d *daemon, version protocol.Version, limit time.Duration) time.Duration {
	c.is.Helper()
	return c.waitUntil("in force", limit, func() bool {
		if c.status(d).Summary.InForce < version {
			return false
		}
		for _, other := range c.daemons {
			c.is.True(!c.serving(other) || other.snapshot.Version >= version) // in force means everywhere
		}
		return true
	})
}

func TestOneDaemonAcceptsAndServes(t *testing.T) {
	c := newCluster(t)
	d := c.start("windhoek", "klein-hall", "d00")
	c.waitUntil("serving", 30*time.Second, func() bool { return c.serving(d) })
	version := c.submitAccepted(d, 6)
	c.waitInForce(d, version, 20*time.Second)
	c.is.Equal(len(d.snapshot.Routes), 1)
}

func TestTwelveDaemonsConverge(t *testing.T) {
	c := newCluster(t)
	daemons := startTwelve(c)
	c.waitUntil("all serve", 40*time.Second, func() bool { return c.allServe(1) })
	c.run(20 * time.Second)
	version := c.submitAccepted(daemons[7], 6)
	elapsed := c.waitInForce(daemons[9], version, 5*time.Second)
	t.Logf("in force after %v", elapsed)
	c.run(30 * time.Second)
	c.is.True(c.allServe(version))
}
