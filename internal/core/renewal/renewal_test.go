package renewal

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTheFirstDeadConnectionRenewsAtOnce(t *testing.T) {
	check := is.New(t)
	decider := &Decider{}
	wait, renew := decider.Dead(time.Minute, time.Second)
	check.True(renew)
	check.Equal(wait, time.Duration(0))
}

func TestConnectionsThatWereRenewedAreNoNews(t *testing.T) {
	check := is.New(t)
	decider := &Decider{}
	decider.Dead(time.Minute, time.Second)
	_, again := decider.Dead(time.Minute, 2*time.Second) // before the renewal has come
	check.True(!again)
	decider.Renew(time.Minute)
	_, again = decider.Dead(2*time.Minute, 59*time.Second)
	check.True(!again)
}

func TestConnectionsThatDieAgainAreRenewedAtAPace(t *testing.T) {
	check := is.New(t)
	decider := &Decider{}
	decider.Dead(time.Minute, time.Second)
	decider.Renew(time.Minute)
	wait, renew := decider.Dead(time.Minute+300*time.Millisecond, time.Minute+time.Millisecond)
	check.True(renew)
	check.Equal(wait, 700*time.Millisecond)
	decider.Renew(time.Minute + Pause)
	wait, renew = decider.Dead(time.Hour, time.Hour-time.Millisecond)
	check.True(renew)
	check.Equal(wait, time.Duration(0))
}
