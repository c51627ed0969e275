package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/springstack/springstack/platform/standin"
)

// heartbeat is the time between two reports of an upstream; the pages' example has 1,500 ms.
const heartbeat = 1300 * time.Millisecond

// stand is a small deployment on loopback addresses: a store, and machines with a daemon each.
type stand struct {
	options options
	record  *recorder
	store   *standin.Store
	server  *standin.Server
	web     *http.Server
	storeAt string
	// extra is added to the settings of all machines.
	extra    string
	machines []*machine

	mutex    sync.Mutex
	arrivals []standin.Arrival
}

// machine is one machine: a daemon as a process of its own, and the upstream beside it.
type machine struct {
	stand    *stand
	index    int
	name     string
	zone     string
	service  string
	settings string

	callers, gate, control, ready, reports, app string

	gateRelay, controlRelay *relay
	// mayBeCut is set before the start if the machine is cut off later: only its connections are told
	// apart from those of others. cut is set while it is cut off from all others.
	mayBeCut bool
	cut      atomic.Bool

	upstream *standin.Upstream
	mutex    sync.Mutex
	command  *exec.Cmd
	ended    chan struct{}
}

func newStand(given options, record *recorder) *stand {
	return &stand{options: given, record: record, store: standin.NewStore()}
}

// startStore starts the stand-in of the store.
func (s *stand) startStore() error {
	listener, err := net.Listen("tcp", s.host(250)+":0")
	if err != nil {
		return err
	}
	s.server = standin.NewServer(s.store)
	s.storeAt = listener.Addr().String()
	s.web = &http.Server{Handler: s.server}
	go func() { _ = s.web.Serve(listener) }()
	return nil
}

// operate writes the first configuration.
func (s *stand) operate(configuration string) error {
	if _, outcome := s.store.Create("config", "main", json.RawMessage(configuration)); outcome != standin.Done {
		return fmt.Errorf("the store has not taken the configuration: outcome %d", outcome)
	}
	return nil
}

// host returns a loopback address of this run.
func (s *stand) host(index int) string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+process>>8&0x3f, process&0xff, index+1)
}

// freeAddresses returns unused addresses of a loopback host.
func freeAddresses(host string, count int) ([]string, error) {
	var found []string
	for range count {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		found = append(found, listener.Addr().String())
	}
	return found, nil
}

// addMachine prepares a machine with relays in front of the ports that other daemons use.
func (s *stand) addMachine(zone, service string) (*machine, error) {
	index := len(s.machines)
	made := &machine{stand: s, index: index, name: fmt.Sprintf("sidecar-%s-%d", zone, index), zone: zone, service: service}
	free, err := freeAddresses(s.host(index), 7)
	if err != nil {
		return nil, err
	}
	made.callers, made.gate, made.control, made.ready, made.reports, made.app = free[0], free[1], free[2], free[3], free[4], free[5]
	isCut := func(process int) bool { return s.isCut(made, process) }
	if made.gateRelay, err = newRelay(s.host(index), made.gate, s.processes, isCut); err != nil {
		return nil, err
	}
	if made.controlRelay, err = newRelay(s.host(index), made.control, s.processes, isCut); err != nil {
		return nil, err
	}
	made.settings = filepath.Join(s.options.directory, made.name+".yaml")
	// The template of the deploy file, with a relay before the ports for other daemons.
	text := fmt.Sprintf(`node: {id: %q, region: "accra", zone: %q}
listen: {callers: %q, gate: %q, control: %q, ready: %q, reports: %q, metrics: %q, advertised_gate: %q, advertised_control: %q}
backend: {service: %q, address: %q, heartbeat_milliseconds: %d}
authority: {address: %q, reads_per_second: 2000, value_bytes: 1048576, apply_milliseconds: 2000}
retries: {ratio: 0.2, slack: 64, window_seconds: 10, call_depth: 2}
machine: {processors: 1, processor_share: 0.32}
drain: {grace_seconds: 6}
%s`, made.name, zone, made.callers, made.gate, made.control, made.ready, made.reports, free[6],
		made.gateRelay.address(), made.controlRelay.address(), service, made.app, heartbeat.Milliseconds(), s.storeAt, s.extra)
	if err := os.WriteFile(made.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.machines = append(s.machines, made)
	return made, nil
}

// isCut reports whether a connection to a machine, opened by a process, is cut: one of the two is
// cut off, and they are not the same machine.
func (s *stand) isCut(to *machine, process int) bool {
	if process != 0 && to.process() == process {
		return false
	}
	if to.cut.Load() {
		return true
	}
	for _, from := range s.machines {
		if from.cut.Load() && process != 0 && from.process() == process {
			return true
		}
	}
	return false
}

// processes returns the processes of the daemons that may be cut off.
func (s *stand) processes() []int {
	var found []int
	for _, machine := range s.machines {
		if process := machine.process(); process != 0 && machine.mayBeCut {
			found = append(found, process)
		}
	}
	return found
}

func (m *machine) process() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.command == nil || m.command.Process == nil {
		return 0
	}
	return m.command.Process.Pid
}

// start starts the daemon.
func (m *machine) start() error {
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.command = exec.Command(m.stand.options.program, "run", "--settings", m.settings)
	m.command.Env = append(os.Environ(), "GOMAXPROCS=1", "GOGC=60")
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(m.command, m.ended)
	return nil
}

// signal sends a signal to the daemon that this machine started.
func (m *machine) signal(signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(signal)
	}
}

// awaitEnd waits until the daemon has ended, at most for a time.
func (m *machine) awaitEnd(limit time.Duration) bool {
	select {
	case <-m.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// startUpstream starts the upstream beside the daemon.
func (m *machine) startUpstream(change func(*standin.Upstream)) error {
	m.upstream = &standin.Upstream{
		Instance: fmt.Sprintf("i-%d", m.index), Service: m.service, Slots: 6, Queue: 24, Work: 5 * time.Millisecond,
		Observe: m.stand.observe,
	}
	if change != nil {
		change(m.upstream)
	}
	return m.upstream.Start(m.app, m.reports, heartbeat)
}

// observe keeps an arrival at an upstream.
func (s *stand) observe(arrival standin.Arrival) {
	s.mutex.Lock()
	s.arrivals = append(s.arrivals, arrival)
	s.mutex.Unlock()
	s.record.event("arrived id=%s at=%s ran=%t misdirected=%t", arrival.ID, arrival.Instance, arrival.Ran, arrival.Misdirected)
}

// isReady asks the daemon whether it takes callers.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + m.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until the daemons of some machines are ready.
func awaitReady(machines []*machine, limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, machine := range machines {
		for !machine.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", machine.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// startThese starts the daemons and upstreams of some machines, and waits until they are ready.
func (s *stand) startThese(machines []*machine, change func(*standin.Upstream)) error {
	for _, machine := range machines {
		if err := machine.start(); err != nil {
			return err
		}
		if err := machine.startUpstream(change); err != nil {
			return err
		}
	}
	if err := awaitReady(machines, 15*time.Second); err != nil {
		return err
	}
	s.record.note("%d daemons are ready", len(machines))
	return nil
}

// close ends all processes that were started.
func (s *stand) close() {
	for _, machine := range s.machines {
		if machine.process() != 0 {
			machine.signal(syscall.SIGKILL)
			machine.awaitEnd(5 * time.Second)
		}
		if machine.upstream != nil {
			machine.upstream.Crash()
		}
		machine.gateRelay.close()
		machine.controlRelay.close()
	}
	if s.web != nil {
		_ = s.web.Close()
	}
}
