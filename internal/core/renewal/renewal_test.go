package renewal

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTheFirstDeadConnectionCausesARenewalAtOnce(t *testing.T) {
	check := is.New(t)
	scheduler := &Scheduler{}
	wait, renew := scheduler.ReportDead(time.Minute, time.Second)
	check.True(renew)
	check.Equal(wait, time.Duration(0))
}

func TestConnectionsOpenedBeforeARenewalCauseNoOther(t *testing.T) {
	check := is.New(t)
	scheduler := &Scheduler{}
	scheduler.ReportDead(time.Minute, time.Second)
	_, renewAgain := scheduler.ReportDead(time.Minute, 2*time.Second) // the scheduled renewal is not done yet
	check.True(!renewAgain)
	scheduler.MarkRenewed(time.Minute)
	_, renewAgain = scheduler.ReportDead(2*time.Minute, 59*time.Second)
	check.True(!renewAgain)
}

func TestRepeatedRenewalsKeepTheMinimumInterval(t *testing.T) {
	check := is.New(t)
	scheduler := &Scheduler{}
	scheduler.ReportDead(time.Minute, time.Second)
	scheduler.MarkRenewed(time.Minute)
	wait, renew := scheduler.ReportDead(time.Minute+300*time.Millisecond, time.Minute+time.Millisecond)
	check.True(renew)
	check.Equal(wait, 700*time.Millisecond)
	scheduler.MarkRenewed(time.Minute + MinInterval)
	wait, renew = scheduler.ReportDead(time.Hour, time.Hour-time.Millisecond)
	check.True(renew)
	check.Equal(wait, time.Duration(0))
}
