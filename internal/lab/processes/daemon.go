package processes

import (
	"bytes"
	"fmt"
	"io"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/juju/errors"

	"github.com/springstack/springstack/internal/logging"
	"github.com/springstack/springstack/internal/sim/oracle"
)

// daemonProcess is one daemon and its running process, if any.
type daemonProcess struct {
	cluster  *cluster
	index    int
	id       string
	zone     string
	settings string

	callers, gate, control, operators, admin string

	command *exec.Cmd
	// read is closed when the event log of the process has ended; tail holds
	// its last bytes.
	read chan struct{}
	tail *tail
}

func newDaemonProcess(c *cluster, index int, addresses []string) *daemonProcess {
	return &daemonProcess{
		cluster: c, index: index, id: fmt.Sprintf("node-%02d", index), zone: zones[index%len(zones)],
		callers: addresses[0], gate: addresses[1], control: addresses[2],
		operators: addresses[3], admin: addresses[4],
	}
}

func (d *daemonProcess) name() oracle.ProxyName { return oracle.ProxyName(d.id) }

func (d *daemonProcess) running() bool { return d.command != nil }

// start starts the process, with nothing remembered.
func (d *daemonProcess) start() error {
	d.command = exec.Command(d.cluster.options.Binary, "run", "--settings", d.settings)
	events, err := d.command.StderrPipe()
	if err != nil {
		return errors.Trace(err)
	}
	if err := d.command.Start(); err != nil {
		d.command = nil
		return errors.Trace(err)
	}
	d.read = make(chan struct{})
	d.tail = &tail{}
	go d.cluster.journal.follow(d.name(), io.TeeReader(events, d.tail), d.read)
	return nil
}

// endedByItself returns an error when the process has ended and nobody ended it.
func (d *daemonProcess) endedByItself() error {
	if d.command == nil {
		return nil
	}
	select {
	case <-d.read:
		return fmt.Errorf("%s ended by itself: %s", d.id, d.tail.text)
	default:
		return nil
	}
}

// tail keeps the last bytes written to it.
type tail struct{ text []byte }

// tailBytes bounds a tail.
const tailBytes = 2 << 10

// Write implements io.Writer.
func (t *tail) Write(text []byte) (int, error) {
	t.text = append(t.text, text...)
	t.text = t.text[max(0, len(t.text)-tailBytes):]
	return len(text), nil
}

// kill ends the process at once, with SIGKILL.
func (d *daemonProcess) kill() { d.end(syscall.SIGKILL) }

// stop ends the process as planned, with SIGTERM.
func (d *daemonProcess) stop() { d.end(syscall.SIGTERM) }

func (d *daemonProcess) end(signal syscall.Signal) {
	if d.command == nil {
		return
	}
	_ = d.command.Process.Signal(signal)
	<-d.read
	_ = d.command.Wait() // a killed process has no status of interest
	d.command = nil
}

// pause and resume stop and continue the process without its noticing.
func (d *daemonProcess) pause()  { _ = d.command.Process.Signal(syscall.SIGSTOP) }
func (d *daemonProcess) resume() { _ = d.command.Process.Signal(syscall.SIGCONT) }

// journal feeds the event logs of all processes to the oracle.
type journal struct {
	mutex   sync.Mutex
	oracle  *oracle.Oracle
	started time.Time
	// held is what each proxy has put in force last, in any of its lives.
	held map[oracle.ProxyName]uint64
	// lines counts the events read; unread those that could not be.
	lines, unread int
}

// with runs an observation while no log line is taken in.
func (j *journal) with(observe func(judge *oracle.Oracle, at time.Duration)) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	observe(j.oracle, time.Since(j.started))
}

// follow reads the event log of one life of a daemon.
func (j *journal) follow(name oracle.ProxyName, events io.Reader, done chan struct{}) {
	defer close(done)
	decoder := logfmt.NewDecoder(events)
	for decoder.ScanRecord() {
		j.line(name, decoder)
	}
	j.with(func(judge *oracle.Oracle, _ time.Duration) { judge.Stopped(name) })
	_, _ = io.Copy(io.Discard, events)
}

// line takes one event.
func (j *journal) line(name oracle.ProxyName, decoder *logfmt.Decoder) {
	var event string
	var version uint64
	var bad bool
	for decoder.ScanKeyval() {
		switch string(decoder.Key()) {
		case logging.KeyEvent:
			event = string(bytes.Clone(decoder.Value()))
		case "version":
			value, err := strconv.ParseUint(string(decoder.Value()), 10, 64)
			bad = err != nil
			version = value
		}
	}
	j.with(func(judge *oracle.Oracle, at time.Duration) {
		j.lines++
		if event == "" || bad {
			j.unread++
			return
		}
		if event == "snapshot_in_force" {
			judge.PutInForce(at, name, oracle.Holding{Version: version, Scope: string(name)})
			j.held[name] = version
		}
	})
}
