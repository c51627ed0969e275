package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/lab/link"
	"github.com/springstack/springstack/platform/standin"
)

// endWait bounds the wait for a daemon that was told to stop.
const endWait = 10 * time.Second

// machine is one machine of the soak: a daemon as a process of its own, the
// upstream beside it in this process, and the links to and from the daemon.
type machine struct {
	name     string
	region   string
	zone     string
	service  string
	settings string
	log      string
	program  string

	callers string
	ready   string
	reports string
	app     string

	// store, gate and control are the links from the daemon to the store and
	// from other daemons to it.
	store   *link.Link
	gate    *link.Link
	control *link.Link

	mutex    sync.Mutex
	upstream *standin.Upstream
	command  *exec.Cmd
	ended    chan struct{}
	// starts counts the daemon's starts.
	starts int
	// told says that the process was told to end, settled that it has taken a
	// connection since its start.
	told    bool
	settled bool
	// endedUntold is called when the process ended by itself.
	endedUntold func(state *os.ProcessState)
	// taken says that a fault is in force here.
	taken bool
}

// take claims the machine for a fault; false when one is in force here.
func (m *machine) take() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	free := !m.taken
	m.taken = true
	return free
}

// release ends a claim.
func (m *machine) release() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.taken = false
}

// currentUpstream is the upstream that is there now.
func (m *machine) currentUpstream() *standin.Upstream {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.upstream
}

// addresses hands out addresses on loopback hosts of their own, so that no
// ephemeral port meets them.
func addresses(host string, count int) ([]string, error) {
	found := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, errors.Trace(err)
		}
		defer listener.Close()
		found = append(found, listener.Addr().String())
	}
	return found, nil
}

// loopbackHost is the address of a machine on loopback. Soaks that run at a time
// have hosts of their own, so that none takes the port of a daemon of another that
// is being restarted.
func loopbackHost(index int) string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", firstHost+process>>8&0x3f, process&0xff, index+1)
}

// firstHost begins the second byte of the machines' addresses.
const firstHost = 64

// newMachine opens the links of a machine and writes its settings.
func newMachine(options Options, index int, service, store string, latency time.Duration, linkFailed func(error)) (*machine, error) {
	made := &machine{
		name:    fmt.Sprintf("soak-%d", index),
		zone:    fmt.Sprintf("zone-%d", index%options.Zones),
		service: service,
		program: options.Program,
	}
	made.region = homeRegion
	if index%farEvery == farEvery/2 {
		made.region, made.zone = farRegion, made.zone+"-far"
	}
	made.settings = filepath.Join(options.Directory, made.name+".yaml")
	made.log = filepath.Join(options.Directory, made.name+".log")
	free, err := addresses(loopbackHost(index), 7)
	if err != nil {
		return nil, err
	}
	made.callers, made.ready, made.reports, made.app = free[0], free[1], free[2], free[3]
	gate, control, metrics := free[4], free[5], free[6]
	for _, opened := range []struct {
		link   **link.Link
		target string
	}{{&made.store, store}, {&made.gate, gate}, {&made.control, control}} {
		if *opened.link, err = link.Open(link.Config{Target: opened.target, Latency: latency, Failed: linkFailed}); err != nil {
			return nil, errors.Trace(err)
		}
	}
	text := fmt.Sprintf(`node: {id: %s, region: %s, zone: %s}
listen: {callers: %q, gate: %q, control: %q, ready: %q, reports: %q, metrics: %q, advertised_gate: %q, advertised_control: %q}
backend: {service: %s, address: %q, heartbeat_milliseconds: %d}
authority: {address: %q, reads_per_second: 2000}
retries: {ratio: 0.2, slack: 64}
drain: {grace_seconds: %d}
warm_up: {overage: %g, slack: %d}
evacuations: {within_milliseconds: %d}
quotas: {window_seconds: %g, overage: %g, slack: %d}
`, made.name, made.region, made.zone, made.callers, gate, control, made.ready, made.reports, metrics,
		made.gate.Address(), made.control.Address(), service, made.app, heartbeat.Milliseconds(), made.store.Address(),
		int(stopGrace.Seconds()), coldOverage, coldSlack, evacuationBound.Milliseconds(),
		quotaWindow.Seconds(), quotaOverage, quotaSlack)
	return made, errors.Trace(os.WriteFile(made.settings, []byte(text), 0o600))
}

// The regions of the machines: one in farEvery is far away. Of four machines two have a back
// end of the first service, so one of these is far.
const (
	homeRegion = "soak"
	farRegion  = "far"
	farEvery   = 4
)

// heartbeat is the time between two reports of an upstream.
const heartbeat = 500 * time.Millisecond

// startName names one start of the daemon.
func (m *machine) startName() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return fmt.Sprintf("%s#%d", m.name, m.starts)
}

// forking is held for reading while a process is being started, which holds copies of
// all sockets of this process until it runs, and for writing while a listening socket
// is closed whose address is to be free.
var forking sync.RWMutex

// start starts the daemon's process.
func (m *machine) start() error {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	defer log.Close()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.command = exec.Command(m.program, "run", "--settings", m.settings)
	m.command.Stdout = log
	m.command.Stderr = log
	forking.RLock()
	err = m.command.Start()
	forking.RUnlock()
	if err != nil {
		return errors.Annotate(err, m.name)
	}
	m.starts++
	m.told, m.settled = false, false
	m.ended = make(chan struct{})
	go m.await(m.command, m.ended)
	return nil
}

// await waits for the end of a process.
func (m *machine) await(command *exec.Cmd, ended chan struct{}) {
	defer close(ended)
	_ = command.Wait() // the state tells how it ended
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.told {
		m.endedUntold(command.ProcessState)
	}
}

// settle tells whether the process has taken a connection since its start: before,
// it may not have got so far as to take signals.
func (m *machine) settle() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.settled {
		conn, err := net.DialTimeout("tcp", m.ready, dialWait)
		if err != nil {
			return false
		}
		_ = conn.Close()
		m.settled = true
	}
	return true
}

// process is the one that was started last, and what is closed at its end.
func (m *machine) process() (*os.Process, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.command.Process, m.ended
}

// signal sends a signal to the process that this machine started, if it runs.
func (m *machine) signal(signal syscall.Signal) {
	process, _ := m.process()
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		m.mutex.Lock()
		m.told = true
		m.mutex.Unlock()
	}
	_ = process.Signal(signal) // it may have ended; the library sends nothing then
}

// end sends a signal and waits until the process has ended, by force in the end.
func (m *machine) end(signal syscall.Signal) {
	m.signal(signal)
	m.awaitEnd()
}

// awaitEnd waits until the process has ended, by force in the end, and tells
// whether it ended without.
func (m *machine) awaitEnd() bool {
	process, ended := m.process()
	timer := time.NewTimer(endWait)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		_ = process.Signal(syscall.SIGKILL)
		<-ended
		return false
	}
}

// close ends the process and the links.
func (m *machine) close() {
	if m.command != nil {
		m.signal(syscall.SIGCONT)
		m.end(syscall.SIGKILL)
	}
	if m.upstream != nil {
		m.upstream.Crash()
	}
	for _, opened := range []*link.Link{m.store, m.gate, m.control} {
		if opened != nil {
			opened.Close()
		}
	}
}
