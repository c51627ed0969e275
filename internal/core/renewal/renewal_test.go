package renewal

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTheFirstDeadConnectionRenewsAtOnce(t *testing.T) {
	check := is.New(t)
	decider := &Scheduler{}
	wait, renew := decider.ReportDead(time.Minute, time.Second)
	check.True(renew)
	check.Equal(wait, time.Duration(0))
}

func TestARenewedConnectionCausesNoFurtherRenewal(t *testing.T) {
	check := is.New(t)
	decider := &Scheduler{}
	decider.ReportDead(time.Minute, time.Second)
	_, again := decider.ReportDead(time.Minute, 2*time.Second) // the scheduled renewal is not done yet
	check.True(!again)
	decider.MarkRenewed(time.Minute)
	_, again = decider.ReportDead(2*time.Minute, 59*time.Second)
	check.True(!again)
}

func TestRepeatedRenewalsKeepTheMinimumInterval(t *testing.T) {
	check := is.New(t)
	decider := &Scheduler{}
	decider.ReportDead(time.Minute, time.Second)
	decider.MarkRenewed(time.Minute)
	wait, renew := decider.ReportDead(time.Minute+300*time.Millisecond, time.Minute+time.Millisecond)
	check.True(renew)
	check.Equal(wait, 700*time.Millisecond)
	decider.MarkRenewed(time.Minute + MinInterval)
	wait, renew = decider.ReportDead(time.Hour, time.Hour-time.Millisecond)
	check.True(renew)
	check.Equal(wait, time.Duration(0))
}
