// Package processes runs real daemons as processes of their own on loopback,
// kills, pauses and restarts them, and lets the simulator's oracle judge the
// run from their event logs, the operators' answers and the callers' answers.
package processes

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/backend"
	"github.com/springstack/springstack/internal/lab/standin"
	"github.com/springstack/springstack/internal/operator"
	"github.com/springstack/springstack/internal/operator/client"
	"github.com/springstack/springstack/internal/sim/oracle"
)

// partner owns everything in the run, and token is its operators' token.
const (
	partner = "kameeldoring"
	token   = "processes-token"
)

// zones are where the daemons stand, in turn; one region.
var zones = []string{"klein-hall", "eros-hall", "olympia-hall"}

// portsPerDaemon is how many addresses a daemon listens on.
const portsPerDaemon = 5

// Options describes a run.
type Options struct {
	// Binary is the springstackd program, Directory a place for settings files.
	Binary    string
	Directory string
	Daemons   int
	// Rounds is how many faults and changes are brought about.
	Rounds int
	Seed   uint64
	// Report takes one line for each thing done; nil drops them.
	Report func(format string, arguments ...any)
}

// cluster is the daemons, the platform, the back end and the oracle.
type cluster struct {
	options  Options
	platform *standin.Server
	backend  *backend.Server
	daemons  []*daemonProcess
	operator *client.Client
	journal  *journal
	started  time.Time
	// paused is the daemon that is paused; nil for none.
	paused *daemonProcess
}

func newCluster(options Options) (*cluster, error) {
	c := &cluster{options: options, started: time.Now()}
	c.journal = &journal{oracle: oracle.New(), started: c.started, held: map[oracle.ProxyName]uint64{}}
	service := standin.NewService(standin.DefaultLimits(), options.Seed)
	c.platform = standin.NewServer(service)
	url, err := c.platform.Start("127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.backend, err = backend.Start("orders-1", "127.0.0.1:0", backend.Config{Seed: options.Seed}, c.started, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	addresses, err := freeAddresses(options.Daemons * portsPerDaemon)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var servers []string
	for index := range options.Daemons {
		one := newDaemonProcess(c, index, addresses[index*portsPerDaemon:(index+1)*portsPerDaemon])
		c.daemons = append(c.daemons, one)
		servers = append(servers, "http://"+one.operators)
	}
	for _, one := range c.daemons {
		if err := c.writeSettings(one, url); err != nil {
			return nil, errors.Trace(err)
		}
	}
	c.operator, err = client.New(servers, token, nil)
	return c, errors.Trace(err)
}

// freeAddresses finds free loopback addresses that stay the same over restarts.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Trace(err)
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// writeSettings writes the settings file of a daemon. The first daemon stands
// beside the back end.
func (c *cluster) writeSettings(d *daemonProcess, platform string) error {
	var seeds []string
	for _, other := range c.daemons {
		if other != d {
			seeds = append(seeds, strconv.Quote(other.control))
		}
	}
	text := fmt.Sprintf(`node: {id: %s, region: windhoek, zone: %s}
listen: {callers: %q, gate: %q, control: %q, operators: %q, admin: %q}
mesh: {seeds: [%s], partners: [%s]}
platform: {url: %q}
operators: {tokens: [{partner: %s, sha256: %s}]}
drain: {settle: 100ms}
`, d.id, d.zone, d.callers, d.gate, d.control, d.operators, d.admin,
		strings.Join(seeds, ", "), partner, platform, partner, operator.TokenDigest(token))
	if d.index == 0 {
		text += fmt.Sprintf("backend: {partner: %s, service: orders, name: orders-1, address: %q, slots: %d}\n",
			partner, c.backend.Address(), backend.DefaultSlots)
	}
	d.settings = filepath.Join(c.options.Directory, d.id+".yaml")
	return errors.Trace(os.WriteFile(d.settings, []byte(text), 0o600))
}

// close ends all that the run started.
func (c *cluster) close() {
	for _, d := range c.daemons {
		d.kill()
	}
	c.backend.Crash()
	_ = c.platform.Close()
}
