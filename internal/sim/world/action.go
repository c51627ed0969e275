package world

import (
	"fmt"
	"time"
)

// Kind names what an action does.
type Kind string

// The kinds of actions.
const (
	Wait             Kind = "wait"
	Submit           Kind = "submit"
	Withdraw         Kind = "withdraw"
	Status           Kind = "status"
	KillDaemon       Kind = "kill_daemon"
	KillZone         Kind = "kill_zone"
	KillHerd         Kind = "kill_herd"
	ReturnAll        Kind = "return_all"
	RestartDaemon    Kind = "restart_daemon"
	MoveDaemon       Kind = "move_daemon"
	PauseDaemon      Kind = "pause_daemon"
	PauseReaders     Kind = "pause_readers"
	WakeAll          Kind = "wake_all"
	CutRegions       Kind = "cut_regions"
	CutOneWay        Kind = "cut_one_way"
	CutZone          Kind = "cut_zone"
	CutDaemon        Kind = "cut_daemon"
	CutPlatform      Kind = "cut_platform"
	Heal             Kind = "heal"
	NetworkFaults    Kind = "network_faults"
	PlatformOutage   Kind = "platform_outage"
	PlatformSilence  Kind = "platform_silence"
	PlatformSlow     Kind = "platform_slow"
	PlatformLoses    Kind = "platform_loses_answers"
	PlatformLags     Kind = "platform_lags"
	PlatformCrosses  Kind = "platform_crosses_events"
	PlatformCompacts Kind = "platform_compacts"
	LeasesLapse      Kind = "leases_lapse"
	PlatformHeals    Kind = "platform_heals"
	ClockRate        Kind = "clock_rate"
	WallJump         Kind = "wall_clock_jump"
	MachinesWrong    Kind = "machine_list_wrong"
	LeaveDaemon      Kind = "leave_daemon"
)

// kindWeight says how often a kind is drawn, and whether it is a fault.
type kindWeight struct {
	kind   Kind
	weight int
	fault  bool
}

// kinds is the table from which actions are drawn.
var kinds = []kindWeight{
	{kind: Wait, weight: 20},
	{kind: Submit, weight: 50},
	{kind: Withdraw, weight: 6},
	{kind: Status, weight: 20},
	{kind: KillDaemon, weight: 8, fault: true},
	{kind: KillZone, weight: 2, fault: true},
	{kind: KillHerd, weight: 2, fault: true},
	{kind: ReturnAll, weight: 10},
	{kind: RestartDaemon, weight: 8, fault: true},
	{kind: MoveDaemon, weight: 3, fault: true},
	{kind: PauseDaemon, weight: 6, fault: true},
	{kind: PauseReaders, weight: 3, fault: true},
	{kind: WakeAll, weight: 10},
	{kind: CutRegions, weight: 2, fault: true},
	{kind: CutOneWay, weight: 3, fault: true},
	{kind: CutZone, weight: 3, fault: true},
	{kind: CutDaemon, weight: 4, fault: true},
	{kind: CutPlatform, weight: 2, fault: true},
	{kind: Heal, weight: 10},
	{kind: NetworkFaults, weight: 4, fault: true},
	{kind: PlatformOutage, weight: 3, fault: true},
	{kind: PlatformSilence, weight: 2, fault: true},
	{kind: PlatformSlow, weight: 3, fault: true},
	{kind: PlatformLoses, weight: 4, fault: true},
	{kind: PlatformLags, weight: 3, fault: true},
	{kind: PlatformCrosses, weight: 3, fault: true},
	{kind: PlatformCompacts, weight: 3, fault: true},
	{kind: LeasesLapse, weight: 3, fault: true},
	{kind: PlatformHeals, weight: 10},
	{kind: ClockRate, weight: 3, fault: true},
	{kind: WallJump, weight: 3, fault: true},
	{kind: MachinesWrong, weight: 2, fault: true},
	{kind: LeaveDaemon, weight: 2, fault: true},
}

// Action is one drawn step of a script. The operands' meaning depends on the
// kind; any value is legal, so that scripts can be cut at will.
type Action struct {
	Kind Kind
	// A and B choose daemons, zones, files or sizes.
	A, B int
	// Wait is how much virtual time passes after the action.
	Wait time.Duration
}

// String returns the action in one line.
func (a Action) String() string {
	return fmt.Sprintf("%s(%d,%d) wait=%v", a.Kind, a.A, a.B, a.Wait)
}

// operandLimit bounds the operands of actions.
const operandLimit = 1 << 16

// shortWait and longWait bound the time after an action.
const (
	shortWait = 400 * time.Millisecond
	longWait  = 12 * time.Second
	// longEvery is how seldom a wait is long.
	longEvery = 12
)

// Draw returns a random number in [0, limit). Rapid and the campaign's own
// generator both provide one.
type Draw func(limit int) int

// DrawAction draws one action.
func DrawAction(draw Draw) Action {
	total := 0
	for _, entry := range kinds {
		total += entry.weight
	}
	action := Action{Kind: Wait}
	choice := draw(total)
	for _, entry := range kinds {
		if choice < entry.weight {
			action.Kind = entry.kind
			break
		}
		choice -= entry.weight
	}
	action.A = draw(operandLimit)
	action.B = draw(operandLimit)
	limit := shortWait
	if action.Kind == Wait || draw(longEvery) == 0 {
		limit = longWait
	}
	const grain = time.Millisecond
	action.Wait = time.Duration(draw(int(limit/grain))) * grain
	return action
}

// isFault reports whether a kind is a fault.
func isFault(kind Kind) bool {
	for _, entry := range kinds {
		if entry.kind == kind {
			return entry.fault
		}
	}
	return false
}
