// Package soak runs real daemons as separate processes on loopback under
// random faults that come from outside of them, and judges by what clients and
// upstreams see whether the promises of the project's pages hold. The store,
// the upstreams and the clients run in this process; links between them and
// the daemons are delayed, reset, cut one way or silenced; daemons are
// stopped, paused, killed and restarted by signals.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"

	"github.com/springstack/springstack/platform/standin"
)

// Options say what a soak runs.
type Options struct {
	// Program is the path of springstackd.
	Program string
	// Directory takes settings and logs.
	Directory string
	Seed      uint64
	Duration  time.Duration
	Machines  int
	Zones     int
	// Clients is how many clients send requests on each machine.
	Clients int
	// Latency is the least one-way latency of the links; each machine's is drawn, up
	// to latencySpread times as long.
	Latency time.Duration
	// Planned leaves only planned work in: stops, restarts, reloads and changes of
	// the configuration.
	Planned bool
	// Harmful has requests come that end each upstream that runs them.
	Harmful bool
}

// Report is what came of a soak.
type Report struct {
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	Served   int    `json:"served"`
	// Answers counts the clients' answers by status and numbered reason; 0 is none.
	Answers map[string]int `json:"answers"`
	Runs    int            `json:"runs"`
	Faults  int            `json:"faults"`
	// MetStops is how many requests at work met a stop of a daemon on their way.
	MetStops int `json:"met_stops"`
	Versions int `json:"versions"`
	// Evacuations counts the orders to empty a zone, Restarts the starts of upstreams under a
	// name that had been there, Falls the cold upstreams that fell over.
	Evacuations int `json:"evacuations"`
	// LatestMilliseconds is how long after an order a request reached its zone at most, sent by
	// daemons in touch.
	LatestMilliseconds int64 `json:"latest_milliseconds"`
	Restarts           int   `json:"restarts"`
	Falls              int   `json:"falls"`
	// Pairs counts, for each fault, how often each promise was judged beside it, PairCount the
	// pairs that were.
	Pairs     map[string]map[string]int `json:"pairs"`
	PairCount int                       `json:"pair_count"`
	// HarmEnds counts, for each harmful request, the upstreams that ended under it.
	HarmEnds []int `json:"harm_ends,omitempty"`
	// Descriptors is how many descriptors the soak's own process had open at most, of
	// DescriptorLimit; LinkFailures counts the connections that its links could not relay.
	Descriptors     int `json:"descriptors"`
	DescriptorLimit int `json:"descriptor_limit"`
	LinkFailures    int `json:"link_failures"`
	// CalmCuts are requests broken off at work without a stop or harm on their way.
	CalmCuts   []string    `json:"calm_cuts"`
	Violations []Violation `json:"violations"`
}

// soak is one run.
type soak struct {
	options Options
	random  *rand.Rand
	store   *standin.Store
	// servers serve the store, one to each machine, so that it may refuse some.
	servers  []*standin.Server
	webs     []*http.Server
	oracle   *Oracle
	machines []*machine
	log      func(event, detail string)

	mutex    sync.Mutex
	version  int
	accepted time.Time
	requests int
	served   int
	// answers counts the clients' answers by status and reason; 0 is none.
	answers map[string]int
	runs    int
	faults  int
	// instances counts the upstreams started.
	instances int
	// emptied are the zones that are claimed for an order to empty them.
	emptied []string
	// operator is held while the operator writes, and while the store comes back from a copy.
	operator sync.Mutex
	// ordered are the zones that the operator wants to be empty, newestConfiguration what it has
	// written last; both are guarded by operator.
	ordered             map[string]bool
	newestConfiguration standin.Configuration
	// ends is when clients stop to call.
	ends    time.Time
	inForce inForce
	// resources are guarded by mutex.
	resources resources
	// returning waits for upstreams that have ended and are to be back.
	returning sync.WaitGroup
}

// services are the names of the soak's services, by turns of machines.
var services = []string{"app", "ledger"}

// Run plays a soak. Log takes what is done, as it is done.
func Run(ctx context.Context, options Options, log func(event, detail string)) (Report, error) {
	played := &soak{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		store:   standin.NewStore(),
		oracle:  NewOracle(),
		answers: map[string]int{},
		ordered: map[string]bool{},
		log:     log,
	}
	defer played.close()
	defer played.watchResources(ctx)()
	played.operate(played.random)
	if err := played.open(); err != nil {
		return Report{}, err
	}
	played.play(ctx)
	return played.report(), nil
}

// serveStore serves the store to one more machine.
func (s *soak) serveStore() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	server := standin.NewServer(s.store)
	web := &http.Server{Handler: server}
	go func() { _ = web.Serve(listener) }() // ends with Close
	s.servers = append(s.servers, server)
	s.webs = append(s.webs, web)
	return listener.Addr().String(), nil
}

// open starts all machines.
func (s *soak) open() error {
	for index := range s.options.Machines {
		store, err := s.serveStore()
		if err != nil {
			return err
		}
		made, err := newMachine(s.options, index, services[index%len(services)], store, s.drawLatency(), s.linkFailed)
		if made != nil {
			s.machines = append(s.machines, made)
		}
		if err != nil {
			return err
		}
		s.oracle.Placed(made.name, made.region)
		s.oracle.PlacedIn(made.name, made.zone)
		made.endedUntold = func(state *os.ProcessState) { s.oracle.EndedUntold(made.name, state.String()) }
		if err := made.start(); err != nil {
			return err
		}
		if err := s.startUpstream(made); err != nil {
			return err
		}
	}
	return nil
}

// startUpstream starts a new instance of the upstream of a machine.
func (s *soak) startUpstream(on *machine) error {
	s.mutex.Lock()
	s.instances++
	instance := fmt.Sprintf("i-%d-%s", s.instances, on.name)
	s.mutex.Unlock()
	return s.startInstance(on, instance, 0)
}

// startInstance starts an instance, cold, with a time of its start later than that of an earlier
// one.
func (s *soak) startInstance(on *machine, instance string, earlier int64) error {
	upstream := &standin.Upstream{
		Instance: instance, Born: max(time.Now().UnixMilli(), earlier+1), FallsAt: coldFalls, Service: on.service, Slots: slots, WorkOn: s.workOn, StreamOn: s.streamOn,
		Observe: s.arrived, ObserveEnd: s.oracle.Ended, Harms: isHarmful, HarmAfter: harmfulAfter,
	}
	upstream.EndBy = func(arrival standin.Arrival) {
		s.endByRequest(on, upstream)
		s.oracle.HarmEnded(arrival, time.Now())
	}
	upstream.Fall = func() {
		s.oracle.Fell()
		s.log("fell", instance)
		s.endByRequest(on, upstream)
	}
	upstream.TurnColdAtOnce(coldTime)
	s.oracle.Hosted(instance, on.name)
	if err := upstream.Start(on.app, on.reports, heartbeat); err != nil {
		return errors.Trace(err)
	}
	on.mutex.Lock()
	defer on.mutex.Unlock()
	on.upstream = upstream
	return nil
}

const (
	// slots is how many requests an upstream runs at a time.
	slots = 6
	// shortestWork and longestWork bound how long a run takes: stops meet some that
	// last, and the most are short.
	shortestWork = 5 * time.Millisecond
	longestWork  = 900 * time.Millisecond
	// streamShare is the share of answers that begin before the work is done.
	streamShare = 0.25
)

func (s *soak) arrived(arrival standin.Arrival) {
	s.oracle.Arrived(arrival)
	if arrival.Ran {
		s.mutex.Lock()
		s.runs++
		s.mutex.Unlock()
	}
}

// operate writes the next version: its own route tells that it is in force,
// and the routes' services change places with every second version.
func (s *soak) operate(random *rand.Rand) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version += 1 + int(random.Uint64()%3)
	read, write := services[s.version/2%2], services[0]
	routes := []standin.Route{
		{Name: "read", Host: host, Prefix: readPrefix, Kind: "safe", Service: read, Timeout: milliseconds(readTimeout), Attempts: 3},
		{Name: "write", Host: host, Prefix: writePrefix, Kind: "unsafe", Service: write, Timeout: milliseconds(writeTimeout), Attempts: 2},
		{Name: "version", Host: host, Prefix: versionPrefix(s.version), Kind: "safe", Service: write, Timeout: milliseconds(readTimeout), Attempts: 2},
	}
	home := routes[1]
	home.Name, home.Prefix, home.Regions = "home", homePrefix, []string{homeRegion}
	routes = append(routes, home)
	for _, service := range services {
		work := routes[0]
		work.Name, work.Prefix, work.Service = "work-"+service, workPrefix(service), service
		routes = append(routes, work)
	}
	s.oracle.KeepTo(homePrefix, homeRegion)
	for _, route := range routes {
		s.oracle.Allow(route.Prefix, route.Service)
	}
	s.operator.Lock()
	s.newestConfiguration = standin.Configuration{
		Version: s.version, Services: services, Routes: routes, WarmUpRate: coldRate, WarmUpSeconds: coldTime.Seconds(),
		Tenants: tenants(),
	}
	s.store.Operate(s.newestConfiguration)
	s.operator.Unlock()
	s.accepted = time.Now()
}

// The routes of all versions.
const (
	readPrefix   = "/read/"
	writePrefix  = "/write/"
	homePrefix   = "/home/"
	readTimeout  = time.Second
	writeTimeout = 1500 * time.Millisecond
)

// workPrefix is that of the route that gives a service work whatever the version.
func workPrefix(service string) string { return "/work-" + service + "/" }

func milliseconds(of time.Duration) int { return int(of.Milliseconds()) }

func versionPrefix(version int) string { return fmt.Sprintf("/version-%d/", version) }

// newest is the newest version and when it was accepted.
func (s *soak) newest() (int, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version, s.accepted
}

// play sends requests and does harm until the time is over, then heals all and
// sees that everything serves again.
func (s *soak) play(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	s.awaitHealed("at the start")
	s.ends, _ = bounded.Deadline()
	var clients sync.WaitGroup
	for _, on := range s.machines {
		for index := range s.options.Clients {
			clients.Add(1)
			go func() {
				defer clients.Done()
				s.client(bounded, on, index)
			}()
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.prober(bounded, on)
		}()
	}
	if s.options.Harmful {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.sendHarmful(bounded)
		}()
	}
	s.harm(bounded)
	clients.Wait()
	s.returning.Wait()
	s.awaitHealed("at the end")
	s.awaitRegistered()
}

// report sums up.
func (s *soak) report() Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pairs := s.oracle.Pairs()
	return Report{
		Answers: s.answers, Evacuations: s.oracle.evacuations, Restarts: s.oracle.restarts, LatestMilliseconds: s.oracle.latest.Milliseconds(), Falls: s.oracle.falls,
		Pairs: pairs, PairCount: lo.SumBy(lo.Values(pairs), func(of map[string]int) int { return len(of) }),
		Seed: s.options.Seed, Requests: s.requests, Served: s.served, Runs: s.runs,
		Faults: s.faults, MetStops: s.oracle.MetStops(), CalmCuts: s.oracle.CalmCuts(), Versions: s.version, HarmEnds: s.oracle.HarmEnds(),
		Descriptors: s.resources.most, DescriptorLimit: s.resources.limit, LinkFailures: s.resources.failures,
		Violations: s.oracle.Violations(),
	}
}

func (s *soak) close() {
	for _, one := range s.machines {
		one.close()
	}
	for _, web := range s.webs {
		_ = web.Close() // the daemons that called it have ended
	}
}
