package world

import "github.com/springstack/springstack/internal/sim/script"

// The kinds of actions.
const (
	Submit           script.Kind = "submit"
	Withdraw         script.Kind = "withdraw"
	Status           script.Kind = "status"
	KillDaemon       script.Kind = "kill_daemon"
	KillZone         script.Kind = "kill_zone"
	KillHerd         script.Kind = "kill_herd"
	ReturnAll        script.Kind = "return_all"
	RestartDaemon    script.Kind = "restart_daemon"
	MoveDaemon       script.Kind = "move_daemon"
	PauseDaemon      script.Kind = "pause_daemon"
	PauseReaders     script.Kind = "pause_readers"
	WakeAll          script.Kind = "wake_all"
	CutRegions       script.Kind = "cut_regions"
	CutOneWay        script.Kind = "cut_one_way"
	CutZone          script.Kind = "cut_zone"
	CutDaemon        script.Kind = "cut_daemon"
	Partition        script.Kind = "partition"
	CrossOver        script.Kind = "cross_over"
	CutPlatform      script.Kind = "cut_platform"
	Heal             script.Kind = "heal"
	NetworkFaults    script.Kind = "network_faults"
	PlatformOutage   script.Kind = "platform_outage"
	PlatformSilence  script.Kind = "platform_silence"
	PlatformSlow     script.Kind = "platform_slow"
	PlatformLoses    script.Kind = "platform_loses_answers"
	PlatformVanishes script.Kind = "platform_vanishes_after_effect"
	PlatformLags     script.Kind = "platform_lags"
	PlatformCrosses  script.Kind = "platform_crosses_events"
	PlatformCompacts script.Kind = "platform_compacts"
	LeasesLapse      script.Kind = "leases_lapse"
	PlatformHeals    script.Kind = "platform_heals"
	ClockRate        script.Kind = "clock_rate"
	WallJump         script.Kind = "wall_clock_jump"
	MachinesWrong    script.Kind = "machine_list_wrong"
	LeaveDaemon      script.Kind = "leave_daemon"
)

// Table lists the kinds of actions.
var Table = script.Table{
	{Kind: script.Wait, Weight: 20},
	{Kind: Submit, Weight: 50},
	{Kind: Withdraw, Weight: 6},
	{Kind: Status, Weight: 20},
	{Kind: KillDaemon, Weight: 8, Fault: true},
	{Kind: KillZone, Weight: 2, Fault: true},
	{Kind: KillHerd, Weight: 2, Fault: true},
	{Kind: ReturnAll, Weight: 10},
	{Kind: RestartDaemon, Weight: 8, Fault: true},
	{Kind: MoveDaemon, Weight: 3, Fault: true},
	{Kind: PauseDaemon, Weight: 6, Fault: true},
	{Kind: PauseReaders, Weight: 3, Fault: true},
	{Kind: WakeAll, Weight: 10},
	{Kind: CutRegions, Weight: 2, Fault: true},
	{Kind: CutOneWay, Weight: 3, Fault: true},
	{Kind: CutZone, Weight: 3, Fault: true},
	{Kind: CutDaemon, Weight: 4, Fault: true},
	{Kind: Partition, Weight: 5, Fault: true},
	{Kind: CrossOver, Weight: 8, Fault: true},
	{Kind: CutPlatform, Weight: 2, Fault: true},
	{Kind: Heal, Weight: 10},
	{Kind: NetworkFaults, Weight: 4, Fault: true},
	{Kind: PlatformOutage, Weight: 3, Fault: true},
	{Kind: PlatformSilence, Weight: 2, Fault: true},
	{Kind: PlatformSlow, Weight: 3, Fault: true},
	{Kind: PlatformLoses, Weight: 4, Fault: true},
	{Kind: PlatformVanishes, Weight: 4, Fault: true},
	{Kind: PlatformLags, Weight: 3, Fault: true},
	{Kind: PlatformCrosses, Weight: 3, Fault: true},
	{Kind: PlatformCompacts, Weight: 3, Fault: true},
	{Kind: LeasesLapse, Weight: 3, Fault: true},
	{Kind: PlatformHeals, Weight: 10},
	{Kind: ClockRate, Weight: 3, Fault: true},
	{Kind: WallJump, Weight: 3, Fault: true},
	{Kind: MachinesWrong, Weight: 2, Fault: true},
	{Kind: LeaveDaemon, Weight: 2, Fault: true},
}
