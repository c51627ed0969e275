package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRunsOutliveACrash(t *testing.T) {
	is := is.New(t)
	model := NewModel(Config{Seed: 1}, 0)
	first := model.Arrive(1, "a")
	model.Crash(2)
	model.Finish(3, first.Run, true)
	is.Equal(model.Arrive(3, "b").Outcome, OutcomeDown)
	model.Restart(4)
	second := model.Arrive(5, "a")
	model.Finish(6, second.Run, true)
	is.Equal(model.Runs(), []Run{
		{Request: "a", Start: 1, End: 2, Ended: true},
		{Request: "a", Start: 5, End: 6, Ended: true, Completed: true},
	})
	is.Equal(model.Running(), 0)
}

func TestPlannedCrashPoints(t *testing.T) {
	is := is.New(t)
	model := NewModel(Config{Seed: 1}, 0)
	model.PlanCrash(CrashMidWork, 1)
	is.Equal(model.Arrive(1, "a").Crash, CrashNone)
	is.Equal(model.Arrive(1, "b").Crash, CrashMidWork)
	is.Equal(model.Arrive(1, "c").Crash, CrashNone)
	model.PlanCrash(CrashBeforeReading, 0)
	is.Equal(model.Arrive(1, "d").Outcome, OutcomeDown)
	is.Equal(len(model.Runs()), 3)
}

func TestColdCallsAndCrowdedCallsAreSlower(t *testing.T) {
	is := is.New(t)
	config := Config{Slots: 1, MeanService: time.Millisecond, Distribution: DistributionConstant, ColdFor: time.Second, ColdFactor: 3}
	model := NewModel(config, 0)
	is.Equal(model.Arrive(0, "cold").Service, 3*time.Millisecond)
	is.Equal(model.Arrive(time.Second, "crowded").Service, 2*time.Millisecond)
	is.Equal(model.MaximumRunning(), 2)
}

func TestShedCallsDoNotRun(t *testing.T) {
	is := is.New(t)
	model := NewModel(Config{ShedAbove: 1}, 0)
	is.Equal(model.Arrive(0, "a").Outcome, OutcomeStarted)
	is.Equal(model.Arrive(0, "b").Outcome, OutcomeShed)
	is.Equal(len(model.Runs()), 1)
	is.Equal(model.ShedCount(), 1)
}

func TestReportsMislead(t *testing.T) {
	is := is.New(t)
	loads := map[ReportMode]int{ReportTruthful: 1, ReportZero: 0, ReportFrozen: 0, ReportLagging: 0}
	for mode, want := range loads {
		model := NewModel(Config{LoadMode: mode, HealthMode: mode, ReportLag: time.Second}, 0)
		model.Arrive(time.Second, "a")
		report, given := model.Load(time.Second + 1)
		is.True(given)
		is.Equal(report.Running, want)
		model.Drain(time.Second + 2)
		is.Equal(model.Healthy(time.Second+3), mode != ReportTruthful)
	}
	silent := NewModel(Config{LoadMode: ReportNone}, 0)
	_, given := silent.Load(0)
	is.True(!given)
}

func TestSameSeedSameTimes(t *testing.T) {
	is := is.New(t)
	for _, shape := range []Distribution{DistributionExponential, DistributionLogNormal} {
		one := NewModel(Config{Seed: 7, Distribution: shape}, 0)
		two := NewModel(Config{Seed: 7, Distribution: shape}, 0)
		for call := range 100 {
			now := time.Duration(call)
			is.Equal(one.Arrive(now, "x"), two.Arrive(now, "x"))
		}
	}
}
