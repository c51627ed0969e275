package settings

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/springstack/springstack/internal/core/membership"
	"github.com/springstack/springstack/internal/core/quota"
	"github.com/springstack/springstack/internal/result"
)

// hostedSection is the section that only settings of a hosted daemon have.
const hostedSection = "authority"

// Hosted is all that a daemon is told at its start on a platform that holds
// the configuration.
type Hosted struct {
	Node      Node            `koanf:"node" validate:"required"`
	Listen    HostedListen    `koanf:"listen" validate:"required"`
	Backend   HostedBackend   `koanf:"backend" validate:"required"`
	Authority HostedAuthority `koanf:"authority" validate:"required"`
	Retries   HostedRetries   `koanf:"retries"`
	Rollouts  HostedRollouts  `koanf:"rollouts"`
	WarmUp    HostedWarmUp    `koanf:"warm_up"`

	Evacuations HostedEvacuations `koanf:"evacuations"`

	Quotas HostedQuotas `koanf:"quotas"`

	Machine HostedMachine `koanf:"machine"`

	Drain HostedDrain `koanf:"drain"`
	Log   Log         `koanf:"log"`
}

// HostedListen holds the addresses that a hosted daemon listens on.
type HostedListen struct {
	// Callers takes calls that start on this machine.
	Callers string `koanf:"callers" validate:"required,address"`
	// Gate takes calls from other daemons for the back end of this machine.
	Gate string `koanf:"gate" validate:"required,target"`
	// Control takes net/rpc calls from other daemons.
	Control string `koanf:"control" validate:"required,target"`
	// AdvertisedGate is the gate's address as other daemons are told it; empty for
	// the same.
	AdvertisedGate string `koanf:"advertised_gate" validate:"omitempty,target"`
	// AdvertisedControl is the control port's address as other daemons are told
	// it; empty for the same.
	AdvertisedControl string `koanf:"advertised_control" validate:"omitempty,target"`
	// Ready answers whether callers may be sent here.
	Ready string `koanf:"ready" validate:"required,address"`
	// Reports takes the heartbeats of the back end.
	Reports string `koanf:"reports" validate:"required,address"`
	// Metrics serves counters and histograms; empty for none.
	Metrics string `koanf:"metrics" validate:"omitempty,address"`
}

// HostedBackend names the back end beside a hosted daemon, which reports its
// own state.
type HostedBackend struct {
	// Service is what the back end serves.
	Service string `koanf:"service" validate:"required"`
	// Address is where the back end listens.
	Address string `koanf:"address" validate:"required,target"`
	// HeartbeatMilliseconds is the time between two of its reports.
	HeartbeatMilliseconds int `koanf:"heartbeat_milliseconds" validate:"min=10,max=60000"`
}

// HostedAuthority is where accepted configurations are read.
type HostedAuthority struct {
	// Address is the store's IP number and port.
	Address string `koanf:"address" validate:"required,target"`
	// ReadsPerSecond is how many reading calls all daemons may make together.
	ReadsPerSecond float64 `koanf:"reads_per_second" validate:"min=1"`
	// ValueBytes is the most that one object of the store may hold.
	ValueBytes int `koanf:"value_bytes" validate:"min=1024,max=268435456"`
	// ApplyMilliseconds is within what time of its acceptance a version has to be in
	// force on every daemon.
	ApplyMilliseconds int `koanf:"apply_milliseconds" validate:"min=500,max=600000"`
}

// Apply is within what time of its acceptance a version has to be in force on every
// daemon.
func (a HostedAuthority) Apply() time.Duration {
	return time.Duration(a.ApplyMilliseconds) * time.Millisecond
}

// HostedRetries bounds the retries of all daemons together.
type HostedRetries struct {
	// Ratio is how many arrivals beyond the first a call to a service allows.
	Ratio float64 `koanf:"ratio" validate:"min=0,max=1"`
	// Slack is how many more are allowed in any window.
	Slack float64 `koanf:"slack" validate:"min=0,max=100000"`
	// CallDepth is through how many services a call goes at most: 2 where back ends
	// call others that call nobody. Each level may use a part of the ratio.
	CallDepth int `koanf:"call_depth" validate:"min=1,max=16"`
	// WindowSeconds is the length of such a window.
	WindowSeconds float64 `koanf:"window_seconds" validate:"min=1,max=3600"`
}

// Window is the span in which the retries are counted.
func (r HostedRetries) Window() time.Duration {
	return time.Duration(r.WindowSeconds * float64(time.Second))
}

// HostedRollouts bounds what a new software version of a service gets before it is known
// to be good.
type HostedRollouts struct {
	// ExposureShare is the share of a service's requests that a version which proves bad
	// may have got by the end of its order. 0, the default, follows no orders.
	ExposureShare float64 `koanf:"exposure_share" validate:"min=0,max=1"`
}

// HostedWarmUp says how far the calls to a cold back end may exceed the rate that its service
// states.
type HostedWarmUp struct {
	// Overage is how many times the stated rate a cold back end may get in one second; 0,
	// the default, is the rate itself.
	Overage float64 `koanf:"overage" validate:"min=0,max=100"`
	// Slack is how many calls more it may get in one second.
	Slack float64 `koanf:"slack" validate:"min=0,max=100000"`
}

// HostedEvacuations bounds the evacuation of a zone.
type HostedEvacuations struct {
	// WithinMilliseconds is within what time of an operator's order nothing more may reach
	// the zone's back ends. 0, the default, follows no orders.
	WithinMilliseconds int `koanf:"within_milliseconds" validate:"min=0,max=600000"`
}

// Within is within what time of an operator's order nothing more may reach a zone's back
// ends; 0 where no orders are followed.
func (e HostedEvacuations) Within() time.Duration {
	return time.Duration(e.WithinMilliseconds) * time.Millisecond
}

// HostedQuotas says by how much the calls of a tenant may exceed its quota within a window.
type HostedQuotas struct {
	// WindowSeconds is the length of the window; 0, the default, is one second.
	WindowSeconds float64 `koanf:"window_seconds" validate:"min=0,max=3600"`
	// Overage is a fraction of the calls that a quota allows in the window.
	Overage float64 `koanf:"overage" validate:"min=0,max=1"`
	// Slack is a number of calls in each window.
	Slack float64 `koanf:"slack" validate:"min=0,max=100000"`
}

// Tolerance is by how much the calls of a tenant may exceed its quota.
func (q HostedQuotas) Tolerance() quota.Tolerance {
	return quota.Tolerance{
		Window:  time.Duration(q.WindowSeconds * float64(time.Second)),
		Overage: q.Overage, Slack: q.Slack,
	}
}

// HostedMachine says what the daemon's machine has. Daemons on larger machines take the costly duties.
type HostedMachine struct {
	// Processors is the number of the machine's processors, in units of a standard core; 0 if it is
	// not known.
	Processors float64 `koanf:"processors" validate:"min=0,max=4096"`
	// ProcessorShare is the part of them that the daemon may use; 0, the default, is all.
	ProcessorShare float64 `koanf:"processor_share" validate:"min=0,max=1"`
	// MemoryMegabytes is the memory that the daemon may use, in units of 2^20 bytes; 0, the default,
	// means that it is not known. Limits on what requests hold in memory are parts of it.
	MemoryMegabytes float64 `koanf:"memory_megabytes" validate:"min=0,max=16777216"`
	// FileDescriptors is the number of descriptors that the daemon may have open; 0, the default, means
	// that it is not known. It limits the connections.
	FileDescriptors int `koanf:"file_descriptors" validate:"min=0,max=16777216"`
}

// defaultMemoryMegabytes is assumed if the memory is not known.
const defaultMemoryMegabytes = 512

// MemoryBytes returns the memory that the daemon may use, in bytes.
func (m HostedMachine) MemoryBytes() int64 {
	return int64(cmp.Or(m.MemoryMegabytes, defaultMemoryMegabytes) * (1 << 20))
}

// capacityUnit is the part of a core from which capacity classes are counted.
const capacityUnit = 1.0 / 128

// CapacityClass returns 0 if the machine is not known, else a number that is one more for each
// doubling of the processor time.
func (m HostedMachine) CapacityClass() uint8 {
	units := m.Processors * cmp.Or(m.ProcessorShare, 1) / capacityUnit
	if units < 1 {
		return 0
	}
	return uint8(min(math.Log2(units)+1, membership.MaxCapacityClass))
}

// HostedDrain bounds a planned stop.
type HostedDrain struct {
	// GraceSeconds is when the platform kills the process.
	GraceSeconds float64 `koanf:"grace_seconds" validate:"min=1,max=3600"`
}

// Grace is when the platform kills a process that is told to stop.
func (d HostedDrain) Grace() time.Duration {
	return time.Duration(d.GraceSeconds * float64(time.Second))
}

// HeartbeatInterval is the time between two reports of the back end.
func (b HostedBackend) HeartbeatInterval() time.Duration {
	return time.Duration(b.HeartbeatMilliseconds) * time.Millisecond
}

// DefaultHosted returns the settings before the file is applied.
func DefaultHosted() Hosted {
	return Hosted{
		Backend:   HostedBackend{HeartbeatMilliseconds: 1500},
		Authority: HostedAuthority{ReadsPerSecond: 100, ValueBytes: 1 << 20, ApplyMilliseconds: 2000},
		Retries:   HostedRetries{Ratio: 0.1, Slack: 10, WindowSeconds: 10, CallDepth: 2},
		Drain:     HostedDrain{GraceSeconds: 30},
		Log:       Log{Level: "info"},
	}
}

// IsHosted tells whether a settings file is one of a hosted daemon.
func IsHosted(path string) bool {
	text, mistake := readFile(path)
	if mistake != nil {
		return false
	}
	parsed, mistake := parseDocument(path, text)
	if mistake != nil || parsed.body == nil {
		return false
	}
	return slices.ContainsFunc(pairsOf(parsed.body), func(pair *ast.MappingValueNode) bool {
		return pair.Key.GetToken().Value == hostedSection
	})
}

// LoadHosted reads the settings file of a hosted daemon and applies overrides.
func LoadHosted(path string, overrides []Override) (Hosted, []*result.Error) {
	text, mistake := readFile(path)
	if mistake != nil {
		return Hosted{}, []*result.Error{mistake}
	}
	return ParseHosted(path, text, overrides)
}

// ParseHosted is LoadHosted on the text of a file.
func ParseHosted(path string, text []byte, overrides []Override) (Hosted, []*result.Error) {
	return parse(path, text, overrides, DefaultHosted(), checkHosted)
}

// checkHosted refuses one address for two ports.
func checkHosted(settings Hosted, locator locator) []*result.Error {
	users := map[netip.AddrPort]string{}
	var mistakes []*result.Error
	for _, listener := range []Listener{
		{Field: "listen.callers", Address: settings.Listen.Callers},
		{Field: "listen.gate", Address: settings.Listen.Gate},
		{Field: "listen.control", Address: settings.Listen.Control},
		{Field: "listen.ready", Address: settings.Listen.Ready},
		{Field: "listen.reports", Address: settings.Listen.Reports},
		{Field: "listen.metrics", Address: settings.Listen.Metrics},
	} {
		mistakes = append(mistakes, checkDistinct(users, listener, locator)...)
	}
	return mistakes
}
